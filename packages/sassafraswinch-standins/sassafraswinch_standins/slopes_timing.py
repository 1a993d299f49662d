"""Measurement of processor time and memory, and linear fits."""

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

Made = TypeVar("Made")

ROUNDS = 5
"""Rounds of a measurement; the fastest counts, since other load only adds time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured number."""

    name: str
    value: float
    unit: str


def best_cpu_us(action: Callable[[], object], *, count: int) -> float:
    """Return the processor time of one call of ``action`` in microseconds.

    Args:
        action: function to measure.
        count: number of calls in each round.
    """
    rounds_ns = []
    for _ in range(ROUNDS):
        gc.collect()
        start_ns = time.process_time_ns()
        for _ in range(count):
            action()
        rounds_ns.append(time.process_time_ns() - start_ns)
    return min(rounds_ns) / count / 1_000


def held_bytes(make: Callable[[], Made]) -> tuple[Made, int]:
    """Return the result of ``make``, and the bytes still allocated for it."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, after - before


def peak_bytes(action: Callable[[], object]) -> int:
    """Return the peak number of allocated bytes while ``action`` runs."""
    gc.collect()
    tracemalloc.start()
    action()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak


def fit_line(points: Mapping[float, float]) -> tuple[float, float]:
    """Return intercept and slope of a linear least-squares fit.

    Args:
        points: measured values by size; at least two sizes.
    """
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / sum(
        (x - mean_x) ** 2 for x in points
    )
    return mean_y - slope * mean_x, slope


def core_percent(cost_us: float, times_per_s: float) -> float:
    """Return the percentage of one core that a periodic cost uses."""
    return cost_us * times_per_s / 10_000


def is_busy(load_average: float, cores: int) -> bool:
    """Return whether the load average exceeds half the cores.

    Figures that are measured then count as trials.
    """
    return load_average > cores / 2


def machine() -> dict[str, float | bool]:
    """Return load average and cores of this host, and whether it is busy."""
    cores = os.cpu_count() or 1
    load_average = os.getloadavg()[0]
    return {
        "load_average": round(load_average, 1),
        "cores": cores,
        "trial": is_busy(load_average, cores),
    }
