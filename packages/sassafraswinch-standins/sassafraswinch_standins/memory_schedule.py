"""Simulated clock and scheduler of an in-memory fleet."""

import heapq
import itertools
import random
from collections.abc import Callable

Action = Callable[[], None]


class Schedule:
    """Scheduler that runs actions at simulated times; all randomness is seeded.

    Actions due at the same time run in the order in which they were scheduled.
    """

    def __init__(self, *, seed: int):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.actions_run = 0
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Action]] = []

    def after(self, delay_ms: float, action: Action) -> None:
        """Schedule an action ``delay_ms`` from now."""
        at_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._queue, (at_ms, next(self._sequence), action))

    def every(self, period_ms: float, action: Action, *, first_ms: float = 0.0) -> None:
        """Run an action each ``period_ms`` until it raises ``StopIteration``."""

        def again() -> None:
            try:
                action()
            except StopIteration:
                return
            self.after(period_ms, again)

        self.after(first_ms, again)

    def run_for(self, duration_ms: float) -> None:
        """Advance the clock by ``duration_ms`` and run all actions due by then."""
        until_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            self.actions_run += 1
            action()
        self.now_ms = until_ms
