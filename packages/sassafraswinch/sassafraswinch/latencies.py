"""Latency histograms (hdrhistogram): recording, addition, quantiles and encoding."""

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
"""Longer latencies are recorded as this value."""

SIGNIFICANT_FIGURES = 2
"""Precision of the histogram: the error of a quantile is below 1%."""

COUNTER_BYTES = 4
"""Size of one counter; 2**32 calls of one latency are out of reach."""

LatencyCounts = dict[int, int]
"""Counts of latencies by units, rounded down to the steps of the histogram."""

_EXACT_BITS = 8
"""Values up to this many bits have a counter each, at ``SIGNIFICANT_FIGURES``."""

_LONGEST_UNITS = LONGEST_LATENCY_MS * UNITS_PER_MS


def new_histogram() -> "HdrHistogram":
    """Return an empty histogram with the range and precision that all nodes use."""
    # Imported at the first report: the import takes a fiftieth of a second, and
    # processes that only count latencies start without it.
    from hdrh.histogram import HdrHistogram

    return _without_cycle(
        HdrHistogram(1, _LONGEST_UNITS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES)
    )


def _without_cycle(histogram: "HdrHistogram") -> "HdrHistogram":
    # Failure: the library's histogram and its encoder refer to each other, so a
    # discarded histogram is only freed by a full garbage collection, and memory grows
    # by megabytes with every report. A weak reference is safe, as the encoder isn't
    # used without its histogram.
    histogram.encoder.histogram = weakref.proxy(histogram)
    return histogram


def count_latency(counts: LatencyCounts, latency_ms: float) -> None:
    """Count one latency, at a quarter of the cost of the library's recording.

    The value is rounded down to the lowest value that has the same counter in the
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
    """Return a new histogram with the summed counts of all given histograms."""
    total = new_histogram()
    for histogram in histograms:
        total.add(histogram)
    return total


def quantiles_ms(
    histogram: "HdrHistogram", percents: tuple[float, ...]
) -> tuple[float, ...]:
    """Return the latencies that the given percentages of calls didn't exceed.

    The library's own method iterates over the counters one call at a time, which takes
    about six times as long; a report contains hundreds of quantiles.

    Args:
        histogram: made by ``new_histogram``, or decoded.
        percents: percentages, each from 0 to 100.

    Returns:
        Milliseconds, one value for each percentage; zeros for an empty histogram.
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


def counted_quantiles_ms(
    counts: LatencyCounts, percents: tuple[float, ...]
) -> tuple[float, ...]:
    """Return the latencies that the given percentages of counted calls didn't exceed.

    They equal those of ``histogram_of(counts)``, but need no histogram library, which
    isn't built for every processor.

    Args:
        counts: as ``count_latency`` counts them.
        percents: percentages, each above 0 and up to 100.

    Returns:
        Milliseconds, one value for each percentage; zeros if nothing was counted.
    """
    if not counts:
        return (0.0,) * len(percents)
    steps = sorted(counts)
    cumulative = list(accumulate(counts[units] for units in steps))
    ranks = (max(int(percent * cumulative[-1] / 100 + 0.5), 1) for percent in percents)
    return tuple(
        _longest_units(steps[bisect_left(cumulative, rank)]) / UNITS_PER_MS
        for rank in ranks
    )


def _longest_units(units: int) -> int:
    """Return the highest value that is counted like the given one."""
    dropped_bits = max(units.bit_length() - _EXACT_BITS, 0)
    return units | (1 << dropped_bits) - 1


def parse_histogram(text: str) -> "HdrHistogram":
    """Decode the compressed text form, which other hdrhistogram tools write as well.

    Raises:
        ValueError: the text isn't a histogram with the range that nodes use.
    """
    from hdrh.histogram import HdrHistogram

    try:
        histogram = HdrHistogram.decode(text)
    except Exception as error:
        # The library raises its own exceptions as well as those of base64 and zlib.
        raise ValueError(f"invalid latency histogram: {error}") from error
    shape = new_histogram()
    if histogram.counts_len != shape.counts_len:
        raise ValueError(
            f"{histogram.counts_len} counters in the latency histogram, "
            f"expected {shape.counts_len}"
        )
    return _without_cycle(histogram)


def serialize_histogram(histogram: "HdrHistogram") -> str:
    """Encode a histogram as base64 text of the compressed V2 format."""
    return histogram.encode().decode("ascii")
