"""Simulated time, and what is to happen in it."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Simulated time and what is to happen."""

    def __init__(self):
        self.now_ms = 0.0
        self._coming: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, wait_ms: float, action: Callable[[], None]) -> None:
        """Do something later."""
        at_ms = self.now_ms + wait_ms
        heapq.heappush(self._coming, (at_ms, next(self._order), action))

    def run(self, until_ms: float) -> None:
        """Let time pass."""
        while self._coming and self._coming[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._coming)
            action()
