"""Rank threshold that keeps the queue of one backend server short."""

from dataclasses import dataclass, field
from math import inf

from sassafraswinch.levels import rank_below, rank_position
from sassafraswinch.messages import LEVELS, Rank

INTERVAL_MS = 50.0
"""Time between two decisions: several ticks, and far below a second. At 100 a call
chain under persistent retries wastes a tenth more work, and small services recover
later."""

RATE_GAIN = 0.25
"""Weight of the last interval in the moving averages of rates: about 200 ms."""

SETTLE_MS = 300.0
"""Time in which calls above the target of the queue are to be processed, and free slots
filled: longer than a threshold takes to reach the ingress sidecars and nodes and to
take effect on arriving calls, which is an interval and one or two service times."""

CORRECTION_STEP = 0.01
"""Change of the correction in one interval. It compensates only lasting errors of the
measured rates; a faster one would wind up while the queue drains."""

MIN_CORRECTION, MAX_CORRECTION = 0.8, 1.2
"""Bounds of the correction, as factor on the capacity."""

OPEN_INTERVALS = 6
"""Consecutive intervals after which the threshold is removed, if all calls would be
admitted in each of them."""

OPEN_STEP = 0.15
"""Maximum share of all classes by which a threshold opens in one interval."""

MIN_BOUNDARY = 4 / LEVELS
"""The strictest threshold: the first levels of the first class are always admitted."""

BUCKETS = 16
"""Number of buckets per class in which offered calls are counted: eight levels each."""

BUCKET_LEVELS = LEVELS // BUCKETS


@dataclass(slots=True, kw_only=True)
class _ClassRate:
    """Rate of offered calls of one class."""

    counts: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    progressed: int = 0
    fresh_per_s: float = 0.0
    """Rate of calls without progress, of all levels, including those held back."""
    progressed_per_s: float = 0.0

    def measure(self, open_share: float, seconds: float) -> None:
        """Update the rates after an interval in which this share of levels was open."""
        open_buckets = int(open_share * BUCKETS)
        if open_buckets:
            gain = RATE_GAIN if self.fresh_per_s else 1.0
            fresh_per_s = (
                sum(self.counts[:open_buckets]) * BUCKETS / open_buckets / seconds
            )
            self.fresh_per_s += gain * (fresh_per_s - self.fresh_per_s)
            progressed_per_s = self.progressed / seconds
            self.progressed_per_s += gain * (progressed_per_s - self.progressed_per_s)
        self.counts = [0] * BUCKETS
        self.progressed = 0


class Threshold:
    """Controller of the greatest rank that is admitted.

    It measures the rate of offered calls for each class and admits as many ranks as the
    capacity allows; the queue delay corrects for errors of the rates. Calls held back
    at the ingress aren't observed: the levels of a class are a uniform hash, so its
    full rate is extrapolated from the levels that were open throughout the last two
    intervals. Ingress sidecars and nodes apply a threshold within one interval.
    """

    def __init__(self):
        self._boundary: float | None = None
        self._correction = 1.0
        self._calm_intervals = 0
        self._classes = [_ClassRate()]
        self._lost = 0
        self._lost_class: int | None = None
        self._open_boundary = inf
        self._previous_open_boundary = inf
        self._started_at_ms: float | None = None

    @property
    def rank(self) -> Rank | None:
        """Greatest rank that is admitted; None if all are."""
        return None if self._boundary is None else rank_below(self._boundary)

    @property
    def boundary(self) -> float | None:
        """Threshold on the axis of ``levels.rank_position``; None admits all."""
        return self._boundary

    def admits(self, rank: Rank, progress: int) -> bool:
        """Return whether a call may wait; with progress its level is ignored."""
        if self._boundary is None:
            return True
        if progress and rank.class_order < self._boundary:
            return True
        return rank_position(rank) < self._boundary

    def is_closed(self, class_order: int) -> bool:
        """Return whether no call of a class is admitted, even with progress."""
        return self._boundary is not None and self._boundary <= class_order

    def record_offer(self, rank: Rank, progress: int) -> None:
        """Count an offered call."""
        while rank.class_order >= len(self._classes):
            self._classes.append(_ClassRate())
        class_rate = self._classes[rank.class_order]
        if progress:
            class_rate.progressed += 1
        else:
            class_rate.counts[rank.level // BUCKET_LEVELS] += 1

    def record_loss(self, class_order: int) -> None:
        """Count a call that was refused after it had waited.

        Calls that time out in the queue keep it short, and the work already done for
        them is wasted: the queue length alone would show no overload.
        """
        self._lost += 1
        if self._lost_class is None or class_order < self._lost_class:
            self._lost_class = class_order

    def record_hold(self, lowest_open: int) -> None:
        """Record that all classes below this one are to be held back at the ingress."""
        self._open_boundary = min(self._open_boundary, lowest_open + 1.0)

    def rate_above_per_s(self, class_order: int) -> float:
        """Return the offered rate of more important classes, in calls per second."""
        return sum(
            class_rate.fresh_per_s + class_rate.progressed_per_s
            for class_rate in self._classes[:class_order]
        )

    def is_due(self, now_ms: float) -> bool:
        """Return whether the current interval is over."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        return now_ms - self._started_at_ms >= INTERVAL_MS

    def end_interval(
        self,
        *,
        capacity_per_s: float,
        excess_calls: float,
        standing: int | None,
        now_ms: float,
    ) -> None:
        """End an interval and update the threshold.

        The threshold never falls into a class above the one with a standing queue:
        calls of such a class start in time, whatever the measured rates are.

        Args:
            capacity_per_s: calls per second that the backend server can finish.
            excess_calls: calls that wait above the target; negative for free slots.
            standing: most important class with a standing queue, whose calls all waited
                longer than the target of queue delay; None if there is none.
            now_ms: monotonic time.
        """
        self._measure(now_ms)
        lost, self._lost = self._lost, 0
        lost_class, self._lost_class = self._lost_class, None
        if standing is None:
            standing = lost_class
        if self._boundary is None:
            if standing is None:
                self._previous_open_boundary, self._open_boundary = (
                    self._open_boundary,
                    inf,
                )
                return
            self._correction = 1.0
        else:
            step = CORRECTION_STEP if standing is None else -CORRECTION_STEP
            self._correction = min(
                max(self._correction + step, MIN_CORRECTION), MAX_CORRECTION
            )
        drain_per_s = (excess_calls + lost) / SETTLE_MS * 1000
        self._move_boundary(
            self._boundary_for(capacity_per_s * self._correction - drain_per_s),
            standing,
        )

    def _measure(self, now_ms: float) -> None:
        seconds = max(now_ms - (self._started_at_ms or 0.0), 1.0) / 1000
        self._started_at_ms = now_ms
        boundary = min(self._open_boundary, self._previous_open_boundary)
        for order, class_rate in enumerate(self._classes):
            class_rate.measure(min(max(boundary - order, 0.0), 1.0), seconds)

    def _boundary_for(self, rate_per_s: float) -> float:
        left = max(rate_per_s, 0.0)
        for order, class_rate in enumerate(self._classes):
            left = max(left - class_rate.progressed_per_s, 0.0)
            if class_rate.fresh_per_s > left:
                return order + left / class_rate.fresh_per_s
            left -= class_rate.fresh_per_s
        return float(len(self._classes))

    def _move_boundary(self, boundary: float, standing: int | None) -> None:
        classes = len(self._classes)
        before = classes if self._boundary is None else self._boundary
        lowest = before if standing is None else standing
        boundary = max(
            min(boundary, before + OPEN_STEP * classes), lowest, MIN_BOUNDARY
        )
        calm = boundary >= classes and standing is None
        self._calm_intervals = self._calm_intervals + 1 if calm else 0
        self._boundary = None if self._calm_intervals >= OPEN_INTERVALS else boundary
        self._previous_open_boundary = self._open_boundary
        self._open_boundary = inf if self._boundary is None else self._boundary
