"""The threshold on rank that keeps the queue of one backend server short."""

from dataclasses import dataclass, field
from math import inf

from sassafraswinch.levels import position, rank_at
from sassafraswinch.messages import LEVELS, Rank

INTERVAL_MS = 50.0
"""Time between two decisions: several ticks, and far below a second. At 100 a chain
under hard repeats wastes a tenth more, and small services recover later."""

RATE_GAIN = 0.25
"""Weight of the last interval in the moving averages of rates: about 200 ms."""

SETTLE_MS = 300.0
"""Time in which calls above the target of the queue shall be worked off, and free
slots filled: longer than the way of a threshold to the entries and back as calls,
which takes an interval and a service time or two."""

TRIM_STEP = 0.01
"""Change of the correction in one interval. It only takes up what the rates get
wrong for good; a quicker one winds up while the queue drains."""

MIN_TRIM, MAX_TRIM = 0.8, 1.2
"""Bounds of the correction, as share of the capacity."""

OPEN_INTERVALS = 6
"""Intervals in a row in which all would be admitted before the threshold goes."""

OPEN_STEP = 0.15
"""Share of all classes that a threshold opens by in one interval."""

MIN_OPEN = 4 / LEVELS
"""The strictest threshold: the first levels of the first class always pass."""

BUCKETS = 16
"""Parts of a class in which offered calls are counted: eight levels each."""

BUCKET_LEVELS = LEVELS // BUCKETS


@dataclass(slots=True, kw_only=True)
class _ClassRate:
    """What is offered of one class."""

    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    progressed: int = 0
    fresh_per_s: float = 0.0
    """Rate of calls without progress, of all levels, whether seen or not."""
    progressed_per_s: float = 0.0

    def measure(self, open_share: float, seconds: float) -> None:
        """Take the counts of an interval in which this share could be seen."""
        seen = int(open_share * BUCKETS)
        if seen:
            gain = RATE_GAIN if self.fresh_per_s else 1.0
            fresh_per_s = sum(self.counts[:seen]) * BUCKETS / seen / seconds
            self.fresh_per_s += gain * (fresh_per_s - self.fresh_per_s)
            progressed_per_s = self.progressed / seconds
            self.progressed_per_s += gain * (progressed_per_s - self.progressed_per_s)
        self.counts = [0] * BUCKETS
        self.progressed = 0


class Threshold:
    """Decides the greatest rank that is admitted.

    It measures the rate of offered calls for each class and admits as many
    ranks as the capacity carries; the queue delay corrects what the rates
    can't tell. Ranks that entries hold back aren't seen: the levels of a class
    are a uniform hash, so its whole rate follows from the levels that were open
    throughout the last two intervals. Entries follow a threshold within one.
    """

    def __init__(self):
        self._place: float | None = None
        self._trim = 1.0
        self._calm_intervals = 0
        self._classes = [_ClassRate()]
        self._lost = 0
        self._lost_class: int | None = None
        self._seen_place = inf
        self._seen_place_before = inf
        self._started_at_ms: float | None = None

    @property
    def rank(self) -> Rank | None:
        """Greatest rank that is admitted; None admits all."""
        return None if self._place is None else rank_at(self._place)

    @property
    def place(self) -> float | None:
        """The threshold on the axis of ``levels.position``."""
        return self._place

    def admits(self, rank: Rank, progress: int) -> bool:
        """Return whether a call may wait; progress lifts it above levels."""
        if self._place is None:
            return True
        if progress and rank.class_order < self._place:
            return True
        return position(rank) < self._place

    def closes(self, class_order: int) -> bool:
        """Return whether no call of a class is admitted, progress or not."""
        return self._place is not None and self._place <= class_order

    def offered(self, rank: Rank, progress: int) -> None:
        """Count a call that was offered."""
        while rank.class_order >= len(self._classes):
            self._classes.append(_ClassRate())
        of_class = self._classes[rank.class_order]
        if progress:
            of_class.progressed += 1
        else:
            of_class.counts[rank.level // BUCKET_LEVELS] += 1

    def lost(self, class_order: int) -> None:
        """Count a call that waited and was refused after all.

        Calls that leave the queue for their age keep it short, and the work
        done for them is wasted: the queue alone would show no pressure.
        """
        self._lost += 1
        if self._lost_class is None or class_order < self._lost_class:
            self._lost_class = class_order

    def held(self, lowest_open: int) -> None:
        """Note that entries are told to hold back all below a class."""
        self._seen_place = min(self._seen_place, lowest_open + 1.0)

    def rate_above_per_s(self, class_order: int) -> float:
        """Return the rate offered by more important classes, calls a second."""
        return sum(
            of_class.fresh_per_s + of_class.progressed_per_s
            for of_class in self._classes[:class_order]
        )

    def due(self, now_ms: float) -> bool:
        """Return whether an interval has ended."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        return now_ms - self._started_at_ms >= INTERVAL_MS

    def decide(
        self,
        *,
        capacity_per_s: float,
        excess_calls: float,
        standing: int | None,
        now_ms: float,
    ) -> None:
        """End an interval.

        The threshold never falls into a class above the standing one: calls
        of that class start in time, whatever the rates seem to say.

        Args:
            capacity_per_s: calls a second that the backend server can finish.
            excess_calls: calls that wait above the target; negative for free slots.
            standing: most important class whose calls all waited longer than
                the target of queue delay; None if there is none.
            now_ms: monotonic time.
        """
        self._measure(now_ms)
        lost, self._lost = self._lost, 0
        lost_class, self._lost_class = self._lost_class, None
        if standing is None:
            standing = lost_class
        if self._place is None:
            if standing is None:
                self._seen_place_before, self._seen_place = self._seen_place, inf
                return
            self._trim = 1.0
        else:
            step = TRIM_STEP if standing is None else -TRIM_STEP
            self._trim = min(max(self._trim + step, MIN_TRIM), MAX_TRIM)
        drain_per_s = (excess_calls + lost) / SETTLE_MS * 1000
        self._move(self._fitting(capacity_per_s * self._trim - drain_per_s), standing)

    def _measure(self, now_ms: float) -> None:
        seconds = max(now_ms - (self._started_at_ms or 0.0), 1.0) / 1000
        self._started_at_ms = now_ms
        place = min(self._seen_place, self._seen_place_before)
        for order, of_class in enumerate(self._classes):
            of_class.measure(min(max(place - order, 0.0), 1.0), seconds)

    def _fitting(self, rate_per_s: float) -> float:
        left = max(rate_per_s, 0.0)
        for order, of_class in enumerate(self._classes):
            left = max(left - of_class.progressed_per_s, 0.0)
            if of_class.fresh_per_s > left:
                return order + left / of_class.fresh_per_s
            left -= of_class.fresh_per_s
        return float(len(self._classes))

    def _move(self, place: float, standing: int | None) -> None:
        classes = len(self._classes)
        before = classes if self._place is None else self._place
        lowest = before if standing is None else standing
        place = max(min(place, before + OPEN_STEP * classes), lowest, MIN_OPEN)
        calm = place >= classes and standing is None
        self._calm_intervals = self._calm_intervals + 1 if calm else 0
        self._place = None if self._calm_intervals >= OPEN_INTERVALS else place
        self._seen_place_before = self._seen_place
        self._seen_place = inf if self._place is None else self._place
