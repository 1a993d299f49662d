"""Looks requests up among those that ended servers."""

from collections.abc import Callable

from sassafraswinch.crash_suspects import UNSUSPECTED, CrashSuspects, Judgement
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

    def judge(self, request: SentRequest) -> Judgement:
        """Return what a request may do."""
        if not self._suspects.may_know(request.target):
            return UNSUSPECTED
        return self._suspects.judge(digest_request(request), self._now_ms())

    def ended(self, digests: Digests, end: str) -> None:
        """Note that a server ended while it ran a request."""
        if self._suspects.ended(digests, end, self._now_ms()):
            self._changed()

    def answered(self, request: SentRequest) -> None:
        """Note that a server ran a request to a good end."""
        if not self._suspects.may_know(request.target):
            return
        if self._suspects.answered(digest_request(request), self._now_ms()):
            self._changed()
