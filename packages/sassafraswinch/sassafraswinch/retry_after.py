"""When a refused caller shall come back."""

import random

MIN_MS = 100.0
"""Shortest wait told: below this a caller's repeat meets the same queue."""

MAX_MS = 5_000.0
"""Longest wait told: a caller that could be served shall not stay away longer."""

JITTER_MS = 100.0
"""Random part of a wait: callers refused in one instant don't come back in one. A
share of the wait would move returns of late turns into earlier seconds."""

FULL_SHARE = 0.5
"""Least share of ``MAX_MS`` told when the line is longer than that: all waits would
be the same there, and the returns would be as steep as the refusals."""

MIN_PACE_PER_S = 0.1
"""Slowest line of returning callers, calls a second."""

MIN_RETURNS_SHARE = 0.05
"""Share of the capacity that returning callers may take while nothing is spare:
they are probes, and most of them are refused again cheaply."""


class ReturnSchedule:
    """Spreads the returns of refused callers over the capacity that is spare.

    It counts the callers that were told to come back and have not yet had
    their turn. Turns pass at the rate of the spare capacity, and each refused
    caller is sent to the end of this line.
    """

    def __init__(self):
        self._due = 0.0
        self._updated_at_ms = 0.0

    def next_ms(self, *, spare_per_s: float, now_ms: float, rng: random.Random) -> int:
        """Return the wait for one more refused caller, in whole milliseconds.

        Args:
            spare_per_s: returning calls that can be served, a second.
            now_ms: monotonic time.
            rng: source of the jitter.
        """
        pace_per_ms = max(spare_per_s, MIN_PACE_PER_S) / 1000
        elapsed_ms = max(0.0, now_ms - self._updated_at_ms)
        self._due = max(0.0, self._due - elapsed_ms * pace_per_ms)
        self._updated_at_ms = now_ms
        self._due = min(self._due + 1, MAX_MS * pace_per_ms + 1)
        wait_ms = MIN_MS + self._due / pace_per_ms
        if wait_ms < MAX_MS:
            return int(wait_ms + rng.uniform(0, JITTER_MS))
        return int(rng.uniform(FULL_SHARE * MAX_MS, MAX_MS))
