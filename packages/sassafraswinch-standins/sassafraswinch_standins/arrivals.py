"""Starts of the requests of an open-loop load."""

import random
from collections.abc import Iterator

from sassafraswinch_standins.caller_settings import Phase


def arrivals_ms(
    phases: list[Phase], *, duration_ms: float, rng: random.Random
) -> Iterator[float]:
    """Yield the starts of requests: a Poisson process whose rate follows phases."""
    ends = [phase.at_ms for phase in phases[1:]] + [duration_ms]
    for phase, ends_at_ms in zip(phases, ends, strict=True):
        at_ms = phase.at_ms
        while phase.rate_per_s > 0:
            at_ms += rng.expovariate(phase.rate_per_s) * 1000
            if at_ms >= min(ends_at_ms, duration_ms):
                break
            yield at_ms
