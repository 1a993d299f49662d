"""Event queue on simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated time and the actions scheduled in it."""

    def __init__(self):
        self.now_ms = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def schedule(self, wait_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action to run once the wait has passed."""
        at_ms = self.now_ms + wait_ms
        heapq.heappush(self._scheduled, (at_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Run all actions that are due up to a time, in order of their time."""
        while self._scheduled and self._scheduled[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._scheduled)
            action()
