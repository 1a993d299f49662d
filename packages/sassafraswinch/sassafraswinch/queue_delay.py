"""Which classes have a standing queue before one backend server."""

from math import inf

from sassafraswinch.waiting import Claim, WaitingCalls

TARGET_MS = 20.0
"""Queue delay that is never undercut in an interval when the queue stands; a burst
drains within it. Twice the spacing of ticks, at which the queue is looked at."""

TARGET_SLOT_GAPS = 2.0
"""The target is at least this many times the mean time between two slots coming
free: below it one waiting call would already be a standing queue."""


class QueueDelays:
    """The least delay up to each class in the running interval, as in CoDel.

    CoDel takes the delays of the calls that start. In a queue ordered by claim
    they say nothing: calls of a low level pass a standing queue of others and
    hardly wait. The queue's length in time does say it.
    """

    def __init__(self):
        self._least_ms: list[float] = []

    def sample(self, waiting: WaitingCalls, slot_gap_ms: float) -> None:
        """Look at the queue; to be done several times in an interval.

        Args:
            waiting: calls in the queue now.
            slot_gap_ms: mean time between two slots coming free.
        """
        classes = waiting.last_class() + 1 if waiting else 0
        self._least_ms += [inf] * (classes - len(self._least_ms))
        for order, least_ms in enumerate(self._least_ms):
            calls = waiting.ahead_of(Claim(order, 1, 0))
            self._least_ms[order] = min(least_ms, calls * slot_gap_ms)

    def standing(self, slot_gap_ms: float) -> int | None:
        """End the interval; return the most important class whose queue stands."""
        target_ms = max(TARGET_MS, TARGET_SLOT_GAPS * slot_gap_ms)
        least_ms, self._least_ms = self._least_ms, []
        standing = (order for order, ms in enumerate(least_ms) if target_ms < ms < inf)
        return next(standing, None)
