"""Command that simulates the sidecars' decisions under load patterns."""

import itertools
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import defopt
import orjson

from sassafraswinch_standins.simulator_callers import Tally
from sassafraswinch_standins.simulator_fleet import Simulation
from sassafraswinch_standins.simulator_limits import limit_figures
from sassafraswinch_standins.simulator_load import PATTERNS

MEASURED_SECONDS = 16
TAIL_SECONDS = 2
"""Measured length of a run, and the time after it that lets its requests finish.

Requests that arrive after the measured length are not counted.
"""

WINDOW_S = 2
WORST_WINDOWS = 2

Figures = dict[str, float]


def credit_shares(tallies: dict[str, Tally], seconds: int) -> Figures:
    """Return the shares of the offered credit that callers earned.

    Only requests that were first sent in the given number of seconds are counted.
    """
    measured = range(seconds)
    offered_credit = [
        sum(t.offered_credit.get(s, 0.0) for t in tallies.values()) for s in measured
    ]
    earned = [
        sum(t.earned_credit.get(s, 0.0) for t in tallies.values()) for s in measured
    ]
    windows = [
        sum(earned[start : start + WINDOW_S])
        / sum(offered_credit[start : start + WINDOW_S])
        for start in range(0, seconds, WINDOW_S)
    ]
    earned_by_kind = {
        name: sum(tally.earned_credit.get(s, 0.0) for s in measured)
        / sum(tally.offered_credit.get(s, 0.0) for s in measured)
        for name, tally in tallies.items()
    }
    failed_after_refusals = sum(
        tally.failed_after_refusals for tally in tallies.values()
    )
    return {
        "whole": sum(earned) / sum(offered_credit),
        "worst windows": statistics.mean(sorted(windows)[:WORST_WINDOWS]),
        **earned_by_kind,
        "refused again": failed_after_refusals / sum(offered_credit),
    }


def play(name: str, seed: int, seconds: int = MEASURED_SECONDS) -> Figures:
    """Run one load pattern once and return its figures."""
    simulation = Simulation(pattern=PATTERNS[name], seed=seed)
    simulation.run(seconds + TAIL_SECONDS)
    crashes = simulation.crashes
    return credit_shares(simulation.tallies, seconds) | {
        "servers ended": crashes.crash_count,
        "innocent held": len(crashes.innocent_held_back),
        **limit_figures(simulation.pattern, list(simulation.hosts.values())),
    }


def simulate(
    *,
    patterns: list[str] | None = None,
    seeds: int = 5,
    jobs: int = 2,
    out: Path = Path("out"),
) -> None:
    """Simulate load patterns and print the mean and standard deviation of each figure.

    Args:
        patterns: names of the load patterns; all by default.
        seeds: number of runs of each pattern.
        jobs: number of parallel processes.
        out: directory in which simulator.json is written.
    """
    names = patterns or list(PATTERNS)
    runs = list(itertools.product(names, range(1, seeds + 1)))
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        results = list(pool.map(play, *zip(*runs, strict=True)))
    by_name: dict[str, list[Figures]] = {}
    for (name, _), figures in zip(runs, results, strict=True):
        by_name.setdefault(name, []).append(figures)
    for name, results_of_name in by_name.items():
        print(name)
        for figure in results_of_name[0]:
            values = [figures[figure] for figures in results_of_name]
            deviation = statistics.pstdev(values)
            print(f"  {figure:16} {statistics.mean(values):.3f} +- {deviation:.3f}")
    out.mkdir(parents=True, exist_ok=True)
    (out / "simulator.json").write_bytes(
        orjson.dumps(by_name, option=orjson.OPT_INDENT_2)
    )


if __name__ == "__main__":
    defopt.run(simulate)
