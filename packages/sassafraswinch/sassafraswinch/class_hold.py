"""Temporary hold: closes lower classes for a while after a higher one was refused."""

HOLD_MS = 250.0
"""Time for which classes below a refused one stay closed: two and a half intervals
of the threshold, so that a brief gap doesn't reopen them; a quarter of the second
within which all classes have to be open again."""


class ClassHold:
    """Classes with calls that were recently refused for lack of capacity.

    Without the hold, a slot that becomes free just after a paying call was refused goes
    to a trial call, so paying calls are refused and trial calls answered within the
    same interval.
    """

    def __init__(self):
        self._until_ms: dict[int, float] = {}

    def record_refusal(self, class_order: int, now_ms: float) -> None:
        """Record that a call of this class was refused for lack of capacity."""
        self._until_ms[class_order] = now_ms + HOLD_MS

    def lowest_open(self, now_ms: float) -> int | None:
        """Return the greatest class order that is open; None if all are."""
        if not self._until_ms:
            return None
        self._until_ms = {
            order: until_ms
            for order, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
        return min(self._until_ms, default=None)

    def is_closed(self, class_order: int, now_ms: float) -> bool:
        """Return whether a class is closed because a higher one was refused."""
        if not self._until_ms:
            return False
        lowest = self.lowest_open(now_ms)
        return lowest is not None and lowest < class_order
