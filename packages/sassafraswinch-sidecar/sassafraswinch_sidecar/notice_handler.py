"""Handler of the local server's notices: sets the pace of its queue."""

from collections.abc import Callable

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.http_client import HttpClient, HttpResponse
from sassafraswinch_sidecar.instances import NO_INCARNATION
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.notice_probe import NoticeProbe
from sassafraswinch_sidecar.relay_protocol.ttypes import NoticeReport
from sassafraswinch_sidecar.server_notices import (
    NO_NOTICE,
    NoticeDecoder,
    StampedNotice,
    parse_notice,
    serialize_notice,
)
from sassafraswinch_sidecar.server_queue import ServerQueue


class NoticeHandler:
    """Reads notices in responses and reports, and applies them to the server's queue.

    Args:
        queue: queue before the server.
        notices: latest notice of the server.
        decoder: decodes the notices in responses.
        client: connections to the server.
        names: header names of the deployment.
        now_ms: monotonic clock.
        on_paced: called after the limit has changed, or has become known.
        on_notice: called after a change that peers must learn.
    """

    def __init__(
        self,
        *,
        queue: ServerQueue,
        notices: LocalNotices,
        decoder: NoticeDecoder,
        client: HttpClient,
        names: HeaderNames,
        now_ms: Callable[[], float],
        on_paced: Callable[[], None],
        on_notice: Callable[[], None],
    ):
        self._queue = queue
        self._notices = notices
        self._decoder = decoder
        self._now_ms = now_ms
        self._on_paced = on_paced
        self._on_notice = on_notice
        self._probe = NoticeProbe(
            client=client, names=names, on_answer=self._handle_probe_answer
        )

    def request_notice(self, path: str, host: str) -> None:
        """Ask the server for its notice with a health check, once.

        Args:
            path: path of the server's health check.
            host: value of the ``Host`` field.
        """
        self._probe.send(path, host)

    def report(self) -> NoticeReport | None:
        """Return the notice to report to peers."""
        return serialize_notice(self._notices.latest())

    def record_response(
        self,
        instance_id: str,
        response: HttpResponse,
        incarnation: int = NO_INCARNATION,
    ) -> None:
        """Apply what a response of an instance states.

        Args:
            instance_id: the instance.
            response: the response.
            incarnation: lifetime that was registered when the request was sent.
        """
        former = self._notices.latest()
        notice = self._decoder.parse_notice(response.fields)
        self._notices.record_response(instance_id, notice, incarnation)
        self._queue.trial_slots = None
        self._apply(former)

    def record_registration(self, instance_id: str, incarnation: int) -> None:
        """Apply which lifetime of an instance is registered for the server."""
        former = self._notices.latest()
        self._notices.record_registration(instance_id, incarnation)
        self._apply(former)

    def merge_report(self, report: NoticeReport) -> None:
        """Apply a notice of the server that the sender of a request received."""
        former = self._notices.latest()
        self._notices.merge_report(parse_notice(report))
        self._apply(former)

    def _handle_probe_answer(self, instance_id: str, response: HttpResponse) -> None:
        """Apply the notice in the response to the health check.

        One that states nothing doesn't confirm that a limit which peers know has ended:
        a server need not state it to health checks.
        """
        if self._decoder.parse_notice(response.fields) is NO_NOTICE:
            self._queue.trial_slots = None
            self._on_paced()
        else:
            self.record_response(instance_id, response)

    def _apply(self, former: StampedNotice | None) -> None:
        notices, pace = self._notices, self._queue.pace
        is_changed = pace.limit_per_s != notices.limit_per_s
        if is_changed:
            pace.set_limit(notices.limit_per_s, self._now_ms())
            self._on_paced()
        if is_changed or (notices.leaving and not self._was_leaving(former)):
            self._on_notice()

    def _was_leaving(self, former: StampedNotice | None) -> bool:
        """Return whether a former notice says that the current lifetime is leaving."""
        notices = self._notices
        return (
            former is not None
            and former.leaving
            and former.instance_id == notices.instance_id
            and former.incarnation == notices.incarnation
        )
