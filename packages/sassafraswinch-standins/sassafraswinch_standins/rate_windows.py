"""Requests within sliding windows, and how many a changing rate limit adds up to."""

import bisect
from collections.abc import Sequence

LimitChange = tuple[float, float | None]
"""Time at which a limit per second is named, and the limit; None for no limit."""


def most_in_window(times: Sequence[float], window: float) -> int:
    """Return the largest number of sorted times in any window of their unit."""
    return max(
        (
            bisect.bisect_left(times, at + window) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )


def requests_within_limits(
    named: Sequence[LimitChange], start_s: float, end_s: float
) -> float:
    """Return how many requests the limits of a span add up to; inf without a limit.

    Args:
        named: the limits in the order of their times; each holds until the next one.
        start_s: start of the span.
        end_s: end of the span.
    """
    total = 0.0
    later_s = [at_s for at_s, _ in named[1:]] + [float("inf")]
    for (from_s, limit_per_s), until_s in zip(named, later_s, strict=True):
        overlap_s = min(end_s, until_s) - max(start_s, from_s)
        if overlap_s > 0:
            total += float("inf") if limit_per_s is None else limit_per_s * overlap_s
    return total
