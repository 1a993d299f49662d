"""Latencies in hdrhistogram: recording, sums, quantiles and their text form."""

import weakref
from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

UNITS_PER_MS = 10
"""Latencies are counted in tenths of a millisecond."""

LONGEST_LATENCY_MS = 60_000
"""Longer latencies are recorded as this one."""

SIGNIFICANT_FIGURES = 2
"""A quantile is off by less than 1% of itself."""

COUNTER_BYTES = 4
"""Size of one counter; 2**32 calls in one slot can't be reached."""

LatencyCounts = dict[int, int]
"""Counts of fresh latencies by units, in the steps of the histogram."""

_EXACT_BITS = 8
"""Values of so many bits have a counter each, at ``SIGNIFICANT_FIGURES``."""

_LONGEST_UNITS = LONGEST_LATENCY_MS * UNITS_PER_MS


def new_histogram() -> "HdrHistogram":
    """Return an empty histogram of the one shape that all nodes use."""
    # Imported for the first report: it takes a fiftieth of a second, and processes
    # that only count start without it.
    from hdrh.histogram import HdrHistogram

    return _without_cycle(
        HdrHistogram(1, _LONGEST_UNITS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES)
    )


def _without_cycle(histogram: "HdrHistogram") -> "HdrHistogram":
    # Failure: histogram and encoder of the library hold each other, so a dropped one
    # stays until a full garbage collection; shows as memory that grows by megabytes
    # with every report. A weak reference holds, for the encoder isn't used without
    # its histogram.
    histogram.encoder.histogram = weakref.proxy(histogram)
    return histogram


def count_latency(counts: LatencyCounts, latency_ms: float) -> None:
    """Count one latency, at a quarter of what the library's own recording costs.

    The value is rounded down to the lowest one that shares its counter in the
    histogram, so that no precision is lost and ``counts`` stays small.
    """
    units = min(int(latency_ms * UNITS_PER_MS), _LONGEST_UNITS)
    dropped_bits = units.bit_length() - _EXACT_BITS
    if dropped_bits > 0:
        units = units >> dropped_bits << dropped_bits
    counts[units] = counts.get(units, 0) + 1


def histogram_of(counts: LatencyCounts) -> "HdrHistogram":
    """Return a new histogram of counted latencies."""
    histogram = new_histogram()
    for units, count in counts.items():
        histogram.record_value(units, count)
    return histogram


def add_histograms(histograms: "Iterable[HdrHistogram]") -> "HdrHistogram":
    """Return a new histogram that holds the counts of all given ones."""
    total = new_histogram()
    for histogram in histograms:
        total.add(histogram)
    return total


def quantiles_ms(
    histogram: "HdrHistogram", percents: tuple[float, ...]
) -> tuple[float, ...]:
    """Return the latencies that the given percents of calls didn't exceed.

    The library's own method walks the counters one call at a time, which takes
    about six times as long; a report asks for hundreds of them.

    Args:
        histogram: made by ``new_histogram``, or decoded.
        percents: each from 0 to 100.

    Returns:
        Milliseconds, one for each percent; zeros for an empty histogram.
    """
    if not histogram.total_count:
        return (0.0,) * len(percents)
    last = histogram.get_counts_array_index(histogram.max_value)
    cumulative = list(accumulate(histogram.counts[: last + 1]))
    return tuple(
        _latency_ms_at(
            histogram,
            bisect_left(cumulative, histogram.get_target_count_at_percentile(percent)),
        )
        for percent in percents
    )


def _latency_ms_at(histogram: "HdrHistogram", index: int) -> float:
    lowest = histogram.get_value_from_index(index)
    return histogram.get_highest_equivalent_value(lowest) / UNITS_PER_MS


def parse_histogram(text: str) -> "HdrHistogram":
    """Decode the compressed text form that other hdrhistogram tools write too.

    Raises:
        ValueError: the text isn't a histogram of the shape that nodes use.
    """
    from hdrh.histogram import HdrHistogram

    try:
        histogram = HdrHistogram.decode(text)
    except Exception as error:
        # The library raises its own types as well as those of base64 and zlib.
        raise ValueError(f"not a histogram: {error}") from error
    shape = new_histogram()
    if histogram.counts_len != shape.counts_len:
        raise ValueError(f"{histogram.counts_len} counters, not {shape.counts_len}")
    return _without_cycle(histogram)


def serialize_histogram(histogram: "HdrHistogram") -> str:
    """Encode a histogram as base64 text of the compressed V2 form."""
    return histogram.encode().decode("ascii")
