"""One simulated clock and the order of what happens on it."""

import heapq
import itertools
import random
from collections.abc import Callable

Action = Callable[[], None]


class Schedule:
    """Runs actions at their simulated times; a seed decides all that is random.

    Actions of one time run in the order in which they were planned.
    """

    def __init__(self, *, seed: int):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.actions_run = 0
        self._sequence = itertools.count()
        self._planned: list[tuple[float, int, Action]] = []

    def after(self, delay_ms: float, action: Action) -> None:
        """Plan an action for ``delay_ms`` from now."""
        at_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._planned, (at_ms, next(self._sequence), action))

    def every(self, period_ms: float, action: Action, *, first_ms: float = 0.0) -> None:
        """Plan an action for each ``period_ms``, until it raises ``StopIteration``."""

        def again() -> None:
            try:
                action()
            except StopIteration:
                return
            self.after(period_ms, again)

        self.after(first_ms, again)

    def run_for(self, duration_ms: float) -> None:
        """Let time pass, and run all that falls in it."""
        until_ms = self.now_ms + duration_ms
        while self._planned and self._planned[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._planned)
            self.actions_run += 1
            action()
        self.now_ms = until_ms
