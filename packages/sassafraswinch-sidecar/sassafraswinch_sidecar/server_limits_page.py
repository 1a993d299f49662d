"""Operator page that lists the servers that named a rate limit or are leaving."""

from collections.abc import Callable, Iterable

from sassafraswinch_sidecar.caller_connection import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)
from sassafraswinch_sidecar.local_notices import OWN_SERVER
from sassafraswinch_sidecar.pages import respond_with_lines
from sassafraswinch_sidecar.placement import PeerLoad

PATH = b"/server-limits"


class ServerLimitsPage:
    """Serves ``/server-limits``, and passes all other paths to another page.

    ``GET /server-limits`` returns a line for each server that has stated something in
    its responses: its limit, whether it is leaving, who reported it, the age of the
    report and the time until a new request would start.

    Args:
        own_ip: address of this host.
        loads: returns the load of each known host, by address.
        others: page that serves the other paths.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        loads: Callable[[], Iterable[tuple[str, PeerLoad]]],
        others: RequestHandler,
        now_ms: Callable[[], float],
    ):
        self._own_ip = own_ip
        self._loads = loads
        self._others = others
        self._now_ms = now_ms

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one request (RequestHandler)."""
        if request.target.partition(b"?")[0] != PATH:
            self._others.handle(request, connection)
            return
        lines = [
            self._line(ip, load)
            for ip, load in sorted(self._loads(), key=lambda each: each[0])
            if load.notice is not None
        ]
        respond_with_lines(request, connection, lines)

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Do nothing: each request is answered at once (RequestHandler)."""

    def _line(self, ip: str, load: PeerLoad) -> str:
        notice, now_ms = load.notice, self._now_ms()
        limit_per_s = notice.rate_limit_per_s
        limit = "none" if limit_per_s is None else f"{limit_per_s:g}"
        wait_ms = (
            0.0
            if limit_per_s is None
            else load.expected_rate_wait_ms(limit_per_s, now_ms)
        )
        source = OWN_SERVER if ip == self._own_ip else "peer"
        return (
            f"ip={ip} instance={notice.instance_id} limit_per_s={limit} "
            f"leaving={notice.leaving} source={source} "
            f"age_ms={now_ms - load.reported_ms:.0f} wait_ms={wait_ms:.0f}"
        )
