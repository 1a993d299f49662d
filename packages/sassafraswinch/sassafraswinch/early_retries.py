"""Remembers refused requests, so that a repeat before its time is known as one."""

from collections import OrderedDict

MAX_REMEMBERED = 20_000
"""Refused requests kept; the oldest go first. About 200 bytes each."""


class EarlyRepeats:
    """Which refused requests were told to come back later, and when."""

    def __init__(self, *, max_remembered: int = MAX_REMEMBERED):
        self.max_remembered = max_remembered
        self._come_back_at_ms: OrderedDict[bytes, float] = OrderedDict()

    def refused(self, key: bytes, come_back_at_ms: float) -> None:
        """Note that the request ``key`` was told when to come back."""
        self._come_back_at_ms[key] = come_back_at_ms
        self._come_back_at_ms.move_to_end(key)
        if len(self._come_back_at_ms) > self.max_remembered:
            self._come_back_at_ms.popitem(last=False)

    def wait_left_ms(self, key: bytes, now_ms: float) -> float:
        """Return how much too early the request comes; 0 if it isn't."""
        come_back_at_ms = self._come_back_at_ms.get(key)
        if come_back_at_ms is None:
            return 0.0
        if come_back_at_ms <= now_ms:
            del self._come_back_at_ms[key]
            return 0.0
        return come_back_at_ms - now_ms
