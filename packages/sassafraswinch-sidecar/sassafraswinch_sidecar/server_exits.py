"""Exits of the local backend server, and the requests that were running there."""

import os
import zlib
from collections import deque
from collections.abc import Callable

from sassafraswinch.request_digest import Digests, digest_request, digest_text
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.suspect_requests import SuspectRequests

EXIT_NAME_RANDOM_BYTES = 4
"""Random part of an exit's name: an instance may start again under its former id."""

MAX_ABANDONED = 64
"""Unanswered requests that are remembered; a server hangs under the first of them."""

ANSWERED_MEMORY_MS = 10_000.0
"""Time for which a good answer shows that a request doesn't crash its server."""

MAX_ANSWERED = 1_024
"""Answered requests that are remembered: the last seconds of a busy server. A request
that many callers send arrives again within them."""


class ServerExits:
    """Makes suspects of the requests that were running when the server exited.

    Only the sidecar beside a server can see that its process exited, so only this
    sidecar names the exit; all others use that name. Abandoned requests, which were
    cancelled or timed out, count as running until the server answers anything: a
    request under which the server hangs is abandoned long before the hanging server is
    stopped.

    A request that the server answered a moment ago is no suspect. Failure: all servers
    of a service exit together, by a power failure for example, and a page that is
    requested everywhere was running on each. It would be held back when the servers are
    up again.

    Args:
        suspects: records the suspects.
        is_leaving: returns whether an instance was about to leave, in which case its
            exit says nothing about its requests.
        log: log of single requests.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        suspects: SuspectRequests,
        is_leaving: Callable[[str], bool],
        log: RequestLog,
        now_ms: Callable[[], float],
    ):
        self._suspects = suspects
        self._is_leaving = is_leaving
        self._log = log
        self._now_ms = now_ms
        self._answered_at_ms: dict[int, float] = {}
        self._exit_name = ""
        self._abandoned: deque[tuple[str, Digests]] = deque(maxlen=MAX_ABANDONED)

    @property
    def has_abandoned_requests(self) -> bool:
        """Whether requests were abandoned since the server's last answer."""
        return bool(self._abandoned)

    def record_abandoned_request(self, request: RelayRequest) -> None:
        """Record a request that was cancelled or timed out, and may still run."""
        self._abandoned.append((request.instance_id, digest_request(request)))

    def clear_abandoned_requests(self) -> None:
        """Clear the abandoned requests: the server answers, so it survived them."""
        self._abandoned.clear()

    def record_answered_request(self, request: RelayRequest) -> None:
        """Record that the server ran a request successfully."""
        answered_at_ms = self._answered_at_ms
        checksum = _checksum(request)
        answered_at_ms.pop(checksum, None)
        answered_at_ms[checksum] = self._now_ms()
        if len(answered_at_ms) > MAX_ANSWERED:
            del answered_at_ms[next(iter(answered_at_ms))]

    def record_exit(self, instance_id: str) -> None:
        """Record that the server's process exited.

        Args:
            instance_id: instance that requests were running at; empty if none were.
        """
        abandoned = [*self._abandoned]
        self._abandoned.clear()
        if abandoned and not instance_id:
            instance_id, _ = abandoned[-1]
        self._exit_name = f"{instance_id}/{os.urandom(EXIT_NAME_RANDOM_BYTES).hex()}"
        for instance_id, digests in abandoned:
            self._add_suspect(instance_id, digests)

    def record_running_request(self, request: RelayRequest) -> str | None:
        """Record a request that was running at the exit.

        Returns:
            The name of the exit, for the request's owner; None if the exit says nothing
            about the request.
        """
        answered_at_ms = self._answered_at_ms.get(_checksum(request))
        if (
            answered_at_ms is not None
            and self._now_ms() - answered_at_ms < ANSWERED_MEMORY_MS
        ):
            return None
        return self._add_suspect(
            request.instance_id, digest_request(request), request.request_id
        )

    def _add_suspect(
        self, instance_id: str, digests: Digests, request_id: str = ""
    ) -> str | None:
        if self._is_leaving(instance_id):
            return None
        self._log.failed(
            "ran_at_server_end",
            request_id,
            instance=instance_id,
            end=self._exit_name,
            digest=digest_text(digests[0]),
        )
        self._suspects.record_crash(digests, self._exit_name)
        return self._exit_name


def _checksum(request: RelayRequest) -> int:
    """Return a checksum that tells requests apart well enough, in a microsecond."""
    return zlib.crc32(request.body, zlib.crc32(request.target))
