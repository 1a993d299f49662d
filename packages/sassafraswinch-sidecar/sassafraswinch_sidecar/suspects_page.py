"""Shows operators the requests that ended servers, and lets them clear one."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import CrashSuspects, SuspectDecision
from sassafraswinch.request_digest import digest_text
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.http_server import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)

PATH = b"/suspects"
CLEAR = b"clear"

OK, NO_CONTENT, NOT_FOUND = 200, 204, 404


class SuspectsPage:
    """Serves ``/suspects``, and leaves all other paths to another page.

    ``GET /suspects`` gives a line for each request that doesn't go its usual way;
    ``POST /suspects/DIGEST/clear`` lets one go again, at all hosts.

    Args:
        suspects: what is known.
        others: page of the other paths.
        now_ms: monotonic clock.
        on_cleared: called when a request was cleared, to tell the other hosts.
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
        self._cleared = on_cleared

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one question (RequestHandler)."""
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
        """Nothing is under way (RequestHandler)."""

    def _list(self, request: HttpRequest, connection: CallerConnection) -> None:
        lines = [_line(each) for each in self._suspects.restricted(self._now_ms())]
        connection.respond(
            request,
            status=OK,
            header_lines=b"Content-Type: text/plain; charset=utf-8\r\n",
            body="".join(f"{line}\n" for line in lines).encode(),
        )

    def _clear(self, text: str) -> bool:
        now_ms = self._now_ms()
        named = tuple(
            each.digest
            for each in self._suspects.restricted(now_ms)
            if digest_text(each.digest) == text
        )
        if not named or not self._suspects.record_answer(named, now_ms):
            return False
        log_event("suspect_cleared", level="warning", digest=text)
        self._cleared()
        return True


def _line(judged: SuspectDecision) -> str:
    return (
        f"digest={digest_text(judged.digest)} standing={judged.restriction.name.lower()} "
        f"ends={len(judged.crashes)} servers={','.join(judged.crashes)} "
        f"trial_in_ms={judged.wait_ms:.0f}"
    )
