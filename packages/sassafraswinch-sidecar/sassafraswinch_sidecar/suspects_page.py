"""Operator page that lists the crash suspects and clears single ones."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import CrashSuspects, SuspectDecision
from sassafraswinch.request_digest import digest_text
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.caller_connection import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)
from sassafraswinch_sidecar.pages import respond_with_lines

PATH = b"/suspects"
CLEAR = b"clear"

NO_CONTENT, NOT_FOUND = 204, 404


class SuspectsPage:
    """Serves ``/suspects``, and passes all other paths to another page.

    ``GET /suspects`` returns a line for each restricted request;
    ``POST /suspects/DIGEST/clear`` lifts the restriction of one, at all hosts.

    Args:
        suspects: the suspects known to this host.
        others: page that serves the other paths.
        now_ms: monotonic clock.
        on_cleared: called when a request was cleared, to send it to the other hosts.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        others: RequestHandler,
        now_ms: Callable[[], float],
        on_cleared: Callable[[], None],
    ):
        self._suspects = suspects
        self._others = others
        self._now_ms = now_ms
        self._on_cleared = on_cleared

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one request (RequestHandler)."""
        parts = request.target.partition(b"?")[0].strip(b"/").split(b"/")
        if b"/" + parts[0] != PATH:
            self._others.handle(request, connection)
        elif len(parts) == 1 and request.method == b"GET":
            self._list(request, connection)
        elif len(parts) == 3 and parts[2] == CLEAR and request.method == b"POST":
            status = (
                NO_CONTENT if self._clear(parts[1].decode("latin-1")) else NOT_FOUND
            )
            connection.respond(request, status=status, header_lines=b"")
        else:
            connection.respond(request, status=NOT_FOUND, header_lines=b"")

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Do nothing: each request is answered at once (RequestHandler)."""

    def _list(self, request: HttpRequest, connection: CallerConnection) -> None:
        lines = [_line(each) for each in self._suspects.restricted(self._now_ms())]
        respond_with_lines(request, connection, lines)

    def _clear(self, digest: str) -> bool:
        now_ms = self._now_ms()
        digests = tuple(
            each.digest
            for each in self._suspects.restricted(now_ms)
            if digest_text(each.digest) == digest
        )
        if not digests or not self._suspects.record_answer(digests, now_ms):
            return False
        log_event("suspect_cleared", level="warning", digest=digest)
        self._on_cleared()
        return True


def _line(judged: SuspectDecision) -> str:
    return (
        f"digest={digest_text(judged.digest)} "
        f"standing={judged.restriction.name.lower()} "
        f"ends={len(judged.crashes)} servers={','.join(judged.crashes)} "
        f"trial_in_ms={judged.wait_ms:.0f}"
    )
