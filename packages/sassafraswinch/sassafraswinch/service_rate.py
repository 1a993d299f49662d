"""Service rate of a backend server: its capacity and the delay until slots are free."""

from sassafraswinch.limits import ConcurrencyLimit
from sassafraswinch.queue_delay import TARGET_MS

QUEUE_MS = 100.0
"""Maximum length of the queue in time. At 50 surges lose 1 to 5% of all goodput, as the
queue becomes empty while the threshold moves."""

MIN_QUEUE_CALLS = 4
"""Calls that may wait however slowly slots become free."""

SLOT_TIME_GAIN = 0.05
"""Weight of one call in the mean time that a call holds its slot: twenty calls."""

UNKNOWN_CAPACITY_PER_S = 1_000.0
"""Assumed capacity, in calls per second, before any call has ended."""


class ServiceRate:
    """Capacity and delays, computed from the limit and the mean slot time."""

    def __init__(self, *, limit: ConcurrencyLimit):
        self._limit = limit
        self._slot_time_ms = 0.0

    def record_success(self, held_ms: float) -> None:
        """Record the time for which a successful call held its slot."""
        gain = SLOT_TIME_GAIN if self._slot_time_ms else 1.0
        self._slot_time_ms += gain * (held_ms - self._slot_time_ms)

    def record_cancelled(self, held_ms: float) -> None:
        """Record a call that was cancelled after this time.

        It counts only if it took longer than the mean: with a server that is too slow
        for the deadlines only the fast calls succeed, and the capacity would be
        overestimated from them.
        """
        if held_ms > self._slot_time_ms:
            self.record_success(held_ms)

    def delay_ms(self, calls: int) -> float:
        """Return the time until this many slots become free; 0 while unknown."""
        return calls * self._slot_time_ms / self._limit.limit

    def queue_bound(self) -> int:
        """Return the maximum number of waiting calls."""
        gap_ms = self.delay_ms(1)
        return (
            max(MIN_QUEUE_CALLS, int(QUEUE_MS / gap_ms)) if gap_ms else MIN_QUEUE_CALLS
        )

    def excess_calls(self, calls: int) -> float:
        """Return the number of calls above the target; negative for free slots.

        Args:
            calls: calls that run or wait.
        """
        gap_ms = self.delay_ms(1)
        target = TARGET_MS / gap_ms if gap_ms else 0.0
        return calls - self._limit.limit - target

    def capacity_per_s(self) -> float:
        """Return the capacity, in calls per second, at the end of a running ramp.

        Measured by the current limit, a recovering server would make ingress sidecars
        and nodes refuse the very calls that its ramp needs to continue.
        """
        if not self._slot_time_ms:
            return UNKNOWN_CAPACITY_PER_S
        return 1000 * self._limit.goal / self._slot_time_ms
