"""How fast slots of a backend server come free."""

from sassafraswinch.limits import ConcurrencyLimit
from sassafraswinch.queue_delay import TARGET_MS

QUEUE_MS = 100.0
"""Length of the queue in time. At 50 the bench's surges lose 1 to 5% of all goodput,
as the queue runs empty while the threshold moves."""

MIN_QUEUE = 4
"""Calls that may wait however slowly slots come free."""

SLOT_TIME_GAIN = 0.05
"""Weight of one call in the mean time that a call holds its slot: twenty calls."""

UNKNOWN_CAPACITY_PER_S = 1_000.0
"""Calls a second that are taken to fit before any call has ended."""


class Pace:
    """Capacity and delays, from the limit and the mean time of a slot."""

    def __init__(self, *, limit: ConcurrencyLimit):
        self._limit = limit
        self._slot_time_ms = 0.0

    def ended(self, held_ms: float) -> None:
        """Note how long a call that ended well held its slot."""
        gain = SLOT_TIME_GAIN if self._slot_time_ms else 1.0
        self._slot_time_ms += gain * (held_ms - self._slot_time_ms)

    def cut(self, held_ms: float) -> None:
        """Note a call that was given up after this time.

        It counts if it took longer than most: with a server too slow for the
        deadlines only the fast calls end well, and the capacity would be
        overrated by them.
        """
        if held_ms > self._slot_time_ms:
            self.ended(held_ms)

    def delay_ms(self, calls: int) -> float:
        """Return the time until so many slots come free; 0 while unknown."""
        return calls * self._slot_time_ms / self._limit.limit

    def queue_bound(self) -> int:
        """Return how many calls may wait."""
        gap_ms = self.delay_ms(1)
        return max(MIN_QUEUE, int(QUEUE_MS / gap_ms)) if gap_ms else MIN_QUEUE

    def excess_calls(self, calls: int) -> float:
        """Return by how much these are too many; negative for free slots.

        Args:
            calls: calls that run or wait.
        """
        gap_ms = self.delay_ms(1)
        target = TARGET_MS / gap_ms if gap_ms else 0.0
        return calls - self._limit.limit - target

    def capacity_per_s(self) -> float:
        """Return the calls a second that can be finished once a ramp is over.

        Measured by the limit of the moment, a server that comes back would
        make entries refuse the very calls that its ramp needs to go on.
        """
        if not self._slot_time_ms:
            return UNKNOWN_CAPACITY_PER_S
        return 1000 * self._limit.goal / self._slot_time_ms
