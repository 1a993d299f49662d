"""Lookup of requests among the crash suspects, by their content."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import UNSUSPECTED, CrashSuspects, Judgement
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

    def judge(self, request: SentRequest) -> Judgement:
        """Return whether and under which restrictions a request may run."""
        if not self._suspects.may_know(request.target):
            return UNSUSPECTED
        return self._suspects.judge(digest_request(request), self._now_ms())

    def ended(self, digests: Digests, exit_name: str) -> None:
        """Record that a server exited while it ran a request."""
        if self._suspects.ended(digests, exit_name, self._now_ms()):
            self._on_change()

    def answered(self, request: SentRequest) -> None:
        """Record that a server ran a request successfully."""
        if not self._suspects.may_know(request.target):
            return
        if self._suspects.answered(digest_request(request), self._now_ms()):
            self._on_change()
