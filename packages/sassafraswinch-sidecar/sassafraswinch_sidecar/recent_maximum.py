"""Maximum over a sliding time window."""

from collections import deque


class RecentMaximum:
    """Greatest value that was recorded in a sliding window.

    Args:
        window_ms: age at which a value no longer counts.
    """

    def __init__(self, *, window_ms: float):
        self._window_ms = window_ms
        self._decreasing: deque[tuple[float, int]] = deque()

    def record_value(self, value: int, now_ms: float) -> None:
        """Record the value that holds from now on."""
        decreasing = self._decreasing
        since_ms = now_ms
        while decreasing and decreasing[-1][1] <= value:
            # The new value outlasts the smaller one and may take over its start.
            since_ms, _ = decreasing.pop()
        decreasing.append((since_ms, value))

    def value(self, now_ms: float) -> int:
        """Return the greatest value of the window; 0 if none was ever recorded.

        A value holds until the next one is recorded, and counts for one window from
        then on.
        """
        decreasing = self._decreasing
        while len(decreasing) > 1 and now_ms - decreasing[1][0] >= self._window_ms:
            decreasing.popleft()
        return decreasing[0][1] if decreasing else 0
