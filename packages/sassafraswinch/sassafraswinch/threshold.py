"""The threshold on rank that keeps the queue of one backend server short."""

from sassafraswinch.levels import position, rank_at
from sassafraswinch.messages import LEVELS, Rank

INTERVAL_MS = 100.0
"""Time between two decisions, as CoDel's: longer than bursts, far below a second."""

RATE_GAIN = 0.4
"""Weight of the last interval in the moving averages of rates."""

TRIM_DOWN = 0.95
"""Factor on the admitted rate after an interval with a standing queue."""

TRIM_UP = 1.03
"""Factor on the admitted rate after an interval without one."""

MIN_TRIM, MAX_TRIM = 0.7, 1.3
"""Bounds of the correction of the capacity that rates are measured against."""

OPEN_INTERVALS = 3
"""Intervals in a row in which all would be admitted before the threshold goes."""

OPEN_STEP = 0.25
"""Share of all classes that a threshold opens by in one interval."""

MIN_OPEN = 4 / LEVELS
"""The strictest threshold: the first levels of the first class always pass."""


class Threshold:
    """Decides the greatest rank that is admitted.

    It measures the rate of offered calls for each class and admits as many
    ranks as the capacity carries; the queue delay corrects what the rates
    can't tell. Ranks that entries hold back aren't seen: the levels of a class
    are a uniform hash, so its whole rate follows from the open levels.
    """

    def __init__(self):
        self._place: float | None = None
        self._trim = 1.0
        self._calm_intervals = 0
        self._counts: list[int] = [0]
        self._fixed_counts: list[int] = [0]
        self._rates_per_s: list[float] = [0.0]
        self._fixed_per_s: list[float] = [0.0]
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

    def offered(self, rank: Rank, progress: int) -> None:
        """Count a call that was offered."""
        order = rank.class_order
        while order >= len(self._counts):
            self._counts.append(0)
            self._fixed_counts.append(0)
            self._rates_per_s.append(0.0)
            self._fixed_per_s.append(0.0)
        if progress:
            self._fixed_counts[order] += 1
        elif self._place is None or position(rank) < self._place:
            self._counts[order] += 1

    def rate_above_per_s(self, class_order: int) -> float:
        """Return the rate offered by more important classes, calls a second."""
        return sum(self._rates_per_s[:class_order] + self._fixed_per_s[:class_order])

    def due(self, now_ms: float) -> bool:
        """Return whether an interval has ended."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        return now_ms - self._started_at_ms >= INTERVAL_MS

    def decide(
        self, *, capacity_per_s: float, standing: int | None, now_ms: float
    ) -> None:
        """End an interval.

        The threshold never falls into a class above the standing one: calls
        of that class start in time, whatever the rates seem to say.

        Args:
            capacity_per_s: calls a second that the backend server can finish.
            standing: most important class whose calls all waited longer than
                the target of queue delay; None if there is none.
            now_ms: monotonic time.
        """
        self._measure(now_ms)
        if self._place is None:
            if standing is None:
                return
            self._trim = 1.0
        else:
            factor = TRIM_UP if standing is None else TRIM_DOWN
            self._trim = min(max(self._trim * factor, MIN_TRIM), MAX_TRIM)
        self._move(self._fitting(capacity_per_s * self._trim), standing)

    def _measure(self, now_ms: float) -> None:
        seconds = max(now_ms - (self._started_at_ms or 0.0), 1.0) / 1000
        self._started_at_ms = now_ms
        for order in range(len(self._counts)):
            open_share = self._open_share(order)
            if open_share > 0:
                rate = self._counts[order] / open_share / seconds
                self._rates_per_s[order] += RATE_GAIN * (
                    rate - self._rates_per_s[order]
                )
                fixed = self._fixed_counts[order] / seconds
                self._fixed_per_s[order] += RATE_GAIN * (
                    fixed - self._fixed_per_s[order]
                )
            self._counts[order] = self._fixed_counts[order] = 0

    def _open_share(self, order: int) -> float:
        if self._place is None:
            return 1.0
        return min(max(self._place - order, 0.0), 1.0)

    def _fitting(self, rate_per_s: float) -> float:
        left = rate_per_s
        for order, rate in enumerate(self._rates_per_s):
            left -= self._fixed_per_s[order]
            if rate > max(left, 0.0):
                return order + max(left, 0.0) / rate
            left -= rate
        return float(len(self._rates_per_s))

    def _move(self, place: float, standing: int | None) -> None:
        classes = len(self._rates_per_s)
        before = classes if self._place is None else self._place
        lowest = before if standing is None else standing
        place = max(min(place, before + OPEN_STEP * classes), lowest, MIN_OPEN)
        calm = place >= classes and standing is None
        self._calm_intervals = self._calm_intervals + 1 if calm else 0
        self._place = None if self._calm_intervals >= OPEN_INTERVALS else place
