"""Standing queues: detects the classes with a persistent queue at a backend server."""

from math import inf

from sassafraswinch.waiting import Claim, WaitingCalls

TARGET_MS = 20.0
"""Target of queue delay: a queue whose delay stays above it for a whole interval is a
standing queue, while a burst drains within it. It is twice the spacing of ticks, at
which the queue is sampled."""

TARGET_SLOT_GAPS = 2.0
"""Lower bound on the target, as multiple of the mean time between two slots becoming
free: below it a single waiting call would already be a standing queue."""


class QueueDelays:
    """Minimum queue delay up to each class in the current interval, as in CoDel.

    CoDel uses the delays of the calls that start. In a queue ordered by claim those are
    misleading: calls of a low level pass a standing queue of others and hardly wait.
    The queue length, converted to time, is used instead.
    """

    def __init__(self):
        self._least_ms: list[float] = []

    def sample(self, waiting: WaitingCalls, slot_gap_ms: float) -> None:
        """Sample the queue; must be called several times in an interval.

        Args:
            waiting: calls in the queue now.
            slot_gap_ms: mean time between two slots becoming free.
        """
        classes = waiting.last_class() + 1 if waiting else 0
        self._least_ms += [inf] * (classes - len(self._least_ms))
        for order, least_ms in enumerate(self._least_ms):
            calls = waiting.ahead_of(Claim(order, 1, 0))
            self._least_ms[order] = min(least_ms, calls * slot_gap_ms)

    def end_interval(self, slot_gap_ms: float) -> int | None:
        """End the interval; return the most important class with a standing queue."""
        target_ms = max(TARGET_MS, TARGET_SLOT_GAPS * slot_gap_ms)
        least_ms, self._least_ms = self._least_ms, []
        standing = (order for order, ms in enumerate(least_ms) if target_ms < ms < inf)
        return next(standing, None)
