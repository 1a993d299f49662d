"""How long operations take on a backend server, over a short window."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

WINDOW_MS = 500.0
"""Length of one window: a change of pace shows in the quantiles this soon."""

MIN_SAMPLES = 20
"""Samples below which a window has no say: a tenth of them is two calls."""

TICKS_PER_MS = 10
"""Histograms count in tenths of a millisecond."""

MAX_MS = 60_000
"""Longest time told apart; longer than any deadline."""

DIGITS = 1
"""Significant digits of a histogram: 10% is enough, at a quarter of the cost of 2."""

REFRESH_MS = 50.0
"""Age at which a cached quantile of the running window is read again."""

MAX_OPERATIONS = 256
"""Operations with histograms of their own; further ones share one."""

SHARED = ""
"""Name under which further operations share histograms."""

LIKELY_PERCENT = 50.0
"""Quantile that a call must have time for when slots are free: it will more
likely finish in time than not, and nothing better waits for the slot."""

SAFE_PERCENT = 90.0
"""Quantile that a call must have time for when others wait for the slot: at most
a tenth of the slots' time goes to calls that miss their deadline."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MS * TICKS_PER_MS, DIGITS)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTime:
    """Quantiles of the time that an operation takes."""

    likely_ms: float
    safe_ms: float


UNKNOWN = ServiceTime(likely_ms=0.0, safe_ms=0.0)
"""Nothing recent is known: any call may be tried."""


@dataclass(slots=True, kw_only=True)
class _Windows:
    """The running window of an operation and what the one before it said."""

    histogram: HdrHistogram = field(default_factory=_histogram)
    count: int = 0
    started_at_ms: float
    cached: ServiceTime = UNKNOWN
    cached_at_ms: float = float("-inf")
    cached_count: int = 0


class ServiceTimes:
    """Quantiles by operation, from the last one or two windows.

    When every call of an operation is refused for its deadline, nothing is
    recorded and the windows run empty within two windows: the operation is
    then unknown again and calls pass as probes, so a server that has become
    fast is found out.
    """

    def __init__(self):
        self._windows: dict[str, _Windows] = {}

    def record(self, operation: str, time_ms: float, now_ms: float) -> None:
        """Add the time that one call took, from start to end."""
        windows = self._of(operation, now_ms)
        ticks = int(time_ms * TICKS_PER_MS)
        windows.histogram.record_value(min(max(ticks, 1), MAX_MS * TICKS_PER_MS))
        windows.count += 1

    def record_cut(self, operation: str, time_ms: float, now_ms: float) -> None:
        """Add a call that was given up after this time.

        Its true time is longer than seen. Left out, only fast calls would be
        recorded of a server that has become too slow for the deadlines, and
        the quantiles would never show it. Calls given up early say nothing.
        """
        if time_ms > self.estimate(operation, now_ms).likely_ms:
            self.record(operation, time_ms, now_ms)

    def estimate(self, operation: str, now_ms: float) -> ServiceTime:
        """Return the quantiles, ``UNKNOWN`` without enough recent calls."""
        windows = self._of(operation, now_ms)
        if (
            windows.count >= MIN_SAMPLES
            and windows.count != windows.cached_count
            and now_ms - windows.cached_at_ms >= REFRESH_MS
        ):
            windows.cached = _read(windows.histogram)
            windows.cached_at_ms = now_ms
            windows.cached_count = windows.count
        return windows.cached

    def _of(self, operation: str, now_ms: float) -> _Windows:
        windows = self._windows.get(operation)
        if windows is None:
            if len(self._windows) >= MAX_OPERATIONS and operation != SHARED:
                return self._of(SHARED, now_ms)
            windows = self._windows[operation] = _Windows(started_at_ms=now_ms)
        elif now_ms - windows.started_at_ms >= WINDOW_MS:
            _rotate(windows, now_ms)
        return windows


def _rotate(windows: _Windows, now_ms: float) -> None:
    fresh = now_ms - windows.started_at_ms < 2 * WINDOW_MS
    enough = fresh and windows.count >= MIN_SAMPLES
    windows.cached = _read(windows.histogram) if enough else UNKNOWN
    windows.cached_at_ms = now_ms
    windows.cached_count = 0
    if windows.count:
        windows.histogram.reset()
    windows.count = 0
    windows.started_at_ms = now_ms


def _read(histogram: HdrHistogram) -> ServiceTime:
    return ServiceTime(
        likely_ms=histogram.get_value_at_percentile(LIKELY_PERCENT) / TICKS_PER_MS,
        safe_ms=histogram.get_value_at_percentile(SAFE_PERCENT) / TICKS_PER_MS,
    )
