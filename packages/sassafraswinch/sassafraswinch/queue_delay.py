"""Which classes have a standing queue before one backend server."""

from collections.abc import Iterable

from sassafraswinch.waiting import WaitingCall

TARGET_MS = 20.0
"""Delay that every call of a class exceeds in an interval when its queue stands; a
burst that drains doesn't, as its last calls hardly wait."""

TARGET_SLOT_GAPS = 2.0
"""The target is at least this many times the mean time between two slots coming
free: below it one waiting call would already be a standing queue."""


class QueueDelays:
    """The least delay of each class in the running interval, as in CoDel."""

    def __init__(self):
        self._least_ms: dict[int, float] = {}

    def started(self, class_order: int, waited_ms: float) -> None:
        """Note the delay of a call that starts."""
        least_ms = self._least_ms.get(class_order)
        if least_ms is None or waited_ms < least_ms:
            self._least_ms[class_order] = waited_ms

    def standing(
        self, *, waiting: Iterable[WaitingCall], slot_gap_ms: float, now_ms: float
    ) -> int | None:
        """End the interval; return the most important class that only waits.

        Args:
            waiting: calls in the queue now; a class of which none started is
                judged by them.
            slot_gap_ms: mean time between two slots coming free.
            now_ms: monotonic time.
        """
        target_ms = max(TARGET_MS, TARGET_SLOT_GAPS * slot_gap_ms)
        delays_ms, self._least_ms = self._least_ms, {}
        starved: dict[int, float] = {}
        for call in waiting:
            order = call.claim.class_order
            if order not in delays_ms:
                age_ms = now_ms - call.offered_at_ms
                starved[order] = max(starved.get(order, 0.0), age_ms)
        delays_ms |= starved
        return min(
            (order for order, delay_ms in delays_ms.items() if delay_ms > target_ms),
            default=None,
        )
