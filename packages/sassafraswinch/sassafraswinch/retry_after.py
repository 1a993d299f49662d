"""Retry-after schedule: spreads the retries of refused callers over spare capacity."""

import random

MIN_MS = 100.0
"""Minimum retry-after delay: an earlier retry meets the same queue."""

MAX_MS = 5_000.0
"""Maximum retry-after delay: a caller that could be served again must not wait
longer."""

JITTER_MS = 100.0
"""Jitter of a delay, so that callers refused at the same time don't retry at the same
time. It is a constant, as a share of the delay would move late retries into earlier
seconds."""

MIN_SATURATED_DELAY_SHARE = 0.5
"""Minimum share of ``MAX_MS`` in the delay once the backlog of retries is longer than
that. With equal delays the retries would arrive as steeply as the refusals."""

MIN_DRAIN_PER_S = 0.1
"""Minimum rate at which the backlog of retries drains, calls a second."""

MIN_PROBE_SHARE = 0.05
"""Share of the capacity for retries while no capacity is spare: they are probes, and
most of them are refused again cheaply."""


class RetryAfterSchedule:
    """Spreads the retries of refused callers over the spare capacity.

    It counts the refused callers whose retry time has not come yet. This backlog drains
    at the rate of the spare capacity, and each refused caller joins its end.
    """

    def __init__(self):
        self._backlog = 0.0
        self._updated_at_ms = 0.0

    def next_retry_after_ms(
        self, *, spare_per_s: float, now_ms: float, rng: random.Random
    ) -> int:
        """Return the retry-after delay of one more refused caller, in whole ms.

        Args:
            spare_per_s: retries that can be served, a second.
            now_ms: monotonic time.
            rng: source of the jitter.
        """
        drain_per_ms = max(spare_per_s, MIN_DRAIN_PER_S) / 1000
        elapsed_ms = max(0.0, now_ms - self._updated_at_ms)
        self._backlog = max(0.0, self._backlog - elapsed_ms * drain_per_ms)
        self._updated_at_ms = now_ms
        self._backlog = min(self._backlog + 1, MAX_MS * drain_per_ms + 1)
        wait_ms = MIN_MS + self._backlog / drain_per_ms
        if wait_ms < MAX_MS:
            return int(wait_ms + rng.uniform(0, JITTER_MS))
        return int(rng.uniform(MIN_SATURATED_DELAY_SHARE * MAX_MS, MAX_MS))
