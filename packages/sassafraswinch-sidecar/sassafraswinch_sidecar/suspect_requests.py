"""Lookup of requests among the crash suspects, by their content."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import UNRESTRICTED, CrashSuspects, SuspectDecision
from sassafraswinch.request_digest import Digests, SentRequest, digest_request

HELD_BACK = "held-back"
"""Refusal reason: servers crashed under this request, so it must not run now."""

COPY_RUNS = "copy-runs"
"""Refusal reason: a copy of this request, which is a suspect, is running."""

SUSPECT_RUNS = "suspect-runs"
"""Refusal reason: this request is a suspect, and another suspect is running at the
server. If they run separately, the next crash or answer shows which is at fault."""


class SuspectRequests:
    """Crash suspects, looked up and updated by request.

    Args:
        suspects: the suspects known to this host.
        now_ms: monotonic clock.
        on_change: called after a change that other hosts don't know of.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        now_ms: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self._suspects = suspects
        self._now_ms = now_ms
        self._on_change = on_change

    def decide(self, request: SentRequest) -> SuspectDecision:
        """Return whether and under which restrictions a request may run."""
        if not self._suspects.may_contain(request.target):
            return UNRESTRICTED
        return self._suspects.decide(digest_request(request), self._now_ms())

    def record_crash(self, digests: Digests, exit_name: str) -> None:
        """Record that a server exited while it ran a request."""
        if self._suspects.record_crash(digests, exit_name, self._now_ms()):
            self._on_change()

    def record_answer(self, request: SentRequest) -> None:
        """Record that a server ran a request successfully."""
        if not self._suspects.may_contain(request.target):
            return
        if self._suspects.record_answer(digest_request(request), self._now_ms()):
            self._on_change()
