"""Sliding windows of outcome counts and latencies, divided into fixed slots."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from sassafraswinch.latencies import add_histograms, new_histogram

MINUTE_MS = 60_000
BURN_WINDOWS_MS = (
    MINUTE_MS,
    5 * MINUTE_MS,
    30 * MINUTE_MS,
    60 * MINUTE_MS,
    360 * MINUTE_MS,
)
"""Lengths of the count windows, shortest first."""

LATENCY_WINDOWS_MS = (5 * MINUTE_MS, 60 * MINUTE_MS)
"""Lengths of the latency windows: few, as a histogram takes a hundred times the
memory of counts."""

COUNT_SLOTS = 12
"""Full slots of a count window; it covers up to 1/12 more than its length."""

LATENCY_SLOTS = 2
"""Full slots of a latency window; it covers up to 1/2 more than its length."""

COUNT_SLOT_MS = BURN_WINDOWS_MS[0] // COUNT_SLOTS
"""Shortest slot of counts; all other slots are integer multiples of it."""

LATENCY_SLOT_MS = LATENCY_WINDOWS_MS[0] // LATENCY_SLOTS
"""Shortest slot of latencies."""


def window_name(window_ms: int) -> str:
    """Return the short name of a window, such as ``5m`` or ``6h``."""
    minutes = window_ms // MINUTE_MS
    return f"{minutes // 60}h" if minutes % 60 == 0 else f"{minutes}m"


@dataclass(slots=True, kw_only=True)
class OutcomeCounts:
    """Numbers of calls by outcome, as counted by the objective."""

    good: int = 0
    """Answered completely within the objective's latency."""
    late: int = 0
    """Answered completely, but after that latency."""
    refused: int = 0
    """Proved not run, for a reason that isn't the caller's."""
    unknown: int = 0
    """May have run: the caller received the verdict MAY_HAVE_RUN."""
    not_counted: int = 0
    """Cancelled by the caller, or refused for a reason of the caller."""

    @property
    def counted(self) -> int:
        """Calls that the objective counts."""
        return self.good + self.bad

    @property
    def bad(self) -> int:
        """Calls that consume the error budget of the objective."""
        return self.late + self.refused + self.unknown

    def add(self, other: "OutcomeCounts") -> None:
        """Add the counts of ``other`` to these."""
        self.good += other.good
        self.late += other.late
        self.refused += other.refused
        self.unknown += other.unknown
        self.not_counted += other.not_counted


class CountWindow:
    """Outcome counts of the last ``window_ms``, in ``COUNT_SLOTS`` + 1 slots."""

    __slots__ = ("window_ms", "_slot_ms", "_numbers", "_slots")

    def __init__(self, *, window_ms: int):
        self.window_ms = window_ms
        self._slot_ms = window_ms // COUNT_SLOTS
        self._numbers = [-1] * (COUNT_SLOTS + 1)
        self._slots = [OutcomeCounts() for _ in self._numbers]

    def add(self, counts: OutcomeCounts, at_ms: float) -> None:
        """Add counts to the slot of ``at_ms``, which may be in the past."""
        number = int(at_ms // self._slot_ms)
        index = number % len(self._slots)
        if self._numbers[index] > number:
            return
        if self._numbers[index] < number:
            self._numbers[index] = number
            self._slots[index] = OutcomeCounts()
        self._slots[index].add(counts)

    def total(self, now_ms: float) -> OutcomeCounts:
        """Return the total over the window that ends at ``now_ms``."""
        newest = int(now_ms // self._slot_ms)
        total = OutcomeCounts()
        for number, slot in zip(self._numbers, self._slots, strict=True):
            if newest - COUNT_SLOTS <= number <= newest:
                total.add(slot)
        return total


class LatencyWindow:
    """Latencies of the last ``window_ms``; a slot without calls takes no memory."""

    __slots__ = ("window_ms", "_slot_ms", "_slots")

    def __init__(self, *, window_ms: int):
        self.window_ms = window_ms
        self._slot_ms = window_ms // LATENCY_SLOTS
        self._slots: dict[int, HdrHistogram] = {}

    def add(self, histogram: HdrHistogram, at_ms: float) -> None:
        """Add a histogram's counts to the slot of ``at_ms``."""
        number = int(at_ms // self._slot_ms)
        if number not in self._slots:
            self._drop_old(number)
            self._slots[number] = new_histogram()
        self._slots[number].add(histogram)

    def total(self, now_ms: float) -> HdrHistogram:
        """Return a new histogram over the window that ends at ``now_ms``."""
        self._drop_old(int(now_ms // self._slot_ms))
        return add_histograms(self._slots.values())

    def _drop_old(self, newest: int) -> None:
        self._slots = {
            number: histogram
            for number, histogram in self._slots.items()
            if number >= newest - LATENCY_SLOTS
        }
