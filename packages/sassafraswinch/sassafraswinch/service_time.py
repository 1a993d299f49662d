"""Service time estimation: quantiles by operation over a short window."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

WINDOW_MS = 500.0
"""Length of one window: a change of service time shows in the quantiles this soon."""

MIN_SAMPLES = 20
"""Minimum samples for the quantiles of a window: a tenth of them is two calls."""

TICKS_PER_MS = 10
"""Histograms count in tenths of a millisecond."""

MAX_TIME_MS = 60_000
"""Maximum recorded time; longer than any deadline."""

SIGNIFICANT_DIGITS = 1
"""Significant digits of a histogram: 10% is enough, at a quarter of the cost of 2."""

QUANTILE_CACHE_MS = 50.0
"""Age at which a cached quantile of the current window is recomputed."""

MAX_OPERATIONS = 256
"""Operations with histograms of their own; further ones share one."""

SHARED_OPERATION = ""
"""Name under which further operations share histograms."""

LIKELY_PERCENT = 50.0
"""Quantile that the time left of a call must cover while slots are free: the call is
more likely to finish in time than not, and no other call waits for the slot."""

SAFE_PERCENT = 90.0
"""Quantile that the time left of a call must cover while others wait for the slot: at
most a tenth of the slot time goes to calls that miss their deadline."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_MS * TICKS_PER_MS, SIGNIFICANT_DIGITS)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTime:
    """Quantiles of the service time of an operation."""

    likely_ms: float
    safe_ms: float


UNKNOWN = ServiceTime(likely_ms=0.0, safe_ms=0.0)
"""Estimate without recent samples: any call is admitted."""


@dataclass(slots=True, kw_only=True)
class _Windows:
    """Current window of an operation and the cached quantiles."""

    histogram: HdrHistogram = field(default_factory=_histogram)
    count: int = 0
    started_at_ms: float
    cached: ServiceTime = UNKNOWN
    cached_at_ms: float = float("-inf")
    cached_count: int = 0


class ServiceTimes:
    """Service time quantiles by operation, from the last one or two windows.

    When every call of an operation is refused for its deadline, nothing is recorded and
    the estimate expires within two windows. It is then unknown again and calls pass as
    probes, which detect a backend server that has become fast.
    """

    def __init__(self):
        self._windows: dict[str, _Windows] = {}

    def record(self, operation: str, time_ms: float, now_ms: float) -> None:
        """Record the time of one call, from start to end."""
        windows = self._windows_of(operation, now_ms)
        ticks = int(time_ms * TICKS_PER_MS)
        windows.histogram.record_value(min(max(ticks, 1), MAX_TIME_MS * TICKS_PER_MS))
        windows.count += 1

    def record_cancelled(self, operation: str, time_ms: float, now_ms: float) -> None:
        """Record the time after which a call was cancelled.

        Its service time is longer than that. Without cancelled calls only fast calls
        would be recorded of a backend server that has become too slow for the
        deadlines, and the quantiles would never show it. Calls cancelled earlier than
        the current estimate carry no information.
        """
        if time_ms > self.estimate(operation, now_ms).likely_ms:
            self.record(operation, time_ms, now_ms)

    def estimate(self, operation: str, now_ms: float) -> ServiceTime:
        """Return the quantiles; ``UNKNOWN`` without enough recent calls."""
        windows = self._windows_of(operation, now_ms)
        if (
            windows.count >= MIN_SAMPLES
            and windows.count != windows.cached_count
            and now_ms - windows.cached_at_ms >= QUANTILE_CACHE_MS
        ):
            windows.cached = _quantiles(windows.histogram)
            windows.cached_at_ms = now_ms
            windows.cached_count = windows.count
        return windows.cached

    def _windows_of(self, operation: str, now_ms: float) -> _Windows:
        windows = self._windows.get(operation)
        if windows is None:
            if len(self._windows) >= MAX_OPERATIONS and operation != SHARED_OPERATION:
                return self._windows_of(SHARED_OPERATION, now_ms)
            windows = self._windows[operation] = _Windows(started_at_ms=now_ms)
        elif now_ms - windows.started_at_ms >= WINDOW_MS:
            _rotate(windows, now_ms)
        return windows


def _rotate(windows: _Windows, now_ms: float) -> None:
    is_recent = now_ms - windows.started_at_ms < 2 * WINDOW_MS
    is_complete = is_recent and windows.count >= MIN_SAMPLES
    windows.cached = _quantiles(windows.histogram) if is_complete else UNKNOWN
    windows.cached_at_ms = now_ms
    windows.cached_count = 0
    if windows.count:
        windows.histogram.reset()
    windows.count = 0
    windows.started_at_ms = now_ms


def _quantiles(histogram: HdrHistogram) -> ServiceTime:
    return ServiceTime(
        likely_ms=histogram.get_value_at_percentile(LIKELY_PERCENT) / TICKS_PER_MS,
        safe_ms=histogram.get_value_at_percentile(SAFE_PERCENT) / TICKS_PER_MS,
    )
