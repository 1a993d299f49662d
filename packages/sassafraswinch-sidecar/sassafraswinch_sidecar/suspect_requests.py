"""Looks requests up among those that ended servers."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import UNRESTRICTED, CrashSuspects, SuspectDecision
from sassafraswinch.request_digest import Digests, SentRequest, digest_request

HELD_BACK = "held-back"
"""Reason of refusals: servers ended under this request, so it must not run now."""

COPY_RUNS = "copy-runs"
"""Reason of refusals: a copy of this request runs, and servers ended under it."""

SUSPECT_RUNS = "suspect-runs"
"""Reason of refusals: servers ended under this request, and under another one that runs
here. Apart, the next end or answer tells them apart."""


class SuspectRequests:
    """The suspects, by the content of requests.

    Args:
        suspects: what is known.
        now_ms: monotonic clock.
        on_change: called when this sidecar learns something that others don't know.
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
        self._changed = on_change

    def decide(self, request: SentRequest) -> SuspectDecision:
        """Return what a request may do."""
        if not self._suspects.may_contain(request.target):
            return UNRESTRICTED
        return self._suspects.decide(digest_request(request), self._now_ms())

    def record_crash(self, digests: Digests, end: str) -> None:
        """Note that a server ended while it ran a request."""
        if self._suspects.record_crash(digests, end, self._now_ms()):
            self._changed()

    def record_answer(self, request: SentRequest) -> None:
        """Note that a server ran a request to a good end."""
        if not self._suspects.may_contain(request.target):
            return
        if self._suspects.record_answer(digest_request(request), self._now_ms()):
            self._changed()
