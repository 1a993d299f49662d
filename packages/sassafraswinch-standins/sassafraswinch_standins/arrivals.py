"""Arrival times of the requests of an open-loop load."""

import random
from collections.abc import Iterator

from sassafraswinch_standins.caller_settings import Phase


def arrivals_ms(
    phases: list[Phase], *, duration_ms: float, rng: random.Random
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process with a rate per phase."""
    ends_ms = [phase.at_ms for phase in phases[1:]] + [duration_ms]
    for phase, end_ms in zip(phases, ends_ms, strict=True):
        at_ms = phase.at_ms
        while phase.rate_per_s > 0:
            at_ms += rng.expovariate(phase.rate_per_s) * 1000
            if at_ms >= min(end_ms, duration_ms):
                break
            yield at_ms
