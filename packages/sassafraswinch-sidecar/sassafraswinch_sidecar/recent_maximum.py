"""The greatest of the values of the last while."""

from collections import deque


class RecentMaximum:
    """Keeps the greatest value that was noted in a sliding window.

    Args:
        window_ms: age at which a value no longer counts.
    """

    def __init__(self, *, window_ms: float):
        self._window_ms = window_ms
        self._falling: deque[tuple[float, int]] = deque()

    def record_value(self, value: int, now_ms: float) -> None:
        """Take in the value that holds from now on."""
        falling = self._falling
        since_ms = now_ms
        while falling and falling[-1][1] <= value:
            # It outlasts the smaller one, so that one's time may count as its own.
            since_ms, _ = falling.pop()
        falling.append((since_ms, value))

    def value(self, now_ms: float) -> int:
        """Return the greatest value of the window; 0 if none was ever noted.

        A value holds until the next one, and counts for a window from then on.
        """
        falling = self._falling
        while len(falling) > 1 and now_ms - falling[1][0] >= self._window_ms:
            falling.popleft()
        return falling[0][1] if falling else 0
