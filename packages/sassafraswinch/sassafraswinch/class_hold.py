"""Keeps lower classes out for a while after a higher one was refused."""

HOLD_MS = 250.0
"""Time for which classes below a refused one stay closed: two and a half intervals
of the threshold, so that a passing gap doesn't open them; a quarter of the second
in which everything has to be open again."""


class ClassHold:
    """The classes that were refused for want of capacity a moment ago.

    Without it, a slot that comes free just after a paying call was refused goes
    to a trial call: paying refusals and trial answers within the same interval.
    """

    def __init__(self):
        self._until_ms: dict[int, float] = {}

    def refused(self, class_order: int, now_ms: float) -> None:
        """Note that a call of this class was refused for want of capacity."""
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

    def closes(self, class_order: int, now_ms: float) -> bool:
        """Return whether a class is closed because a higher one was refused."""
        if not self._until_ms:
            return False
        lowest = self.lowest_open(now_ms)
        return lowest is not None and lowest < class_order
