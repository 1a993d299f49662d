"""Quick simulation of the sidecars' decisions: load patterns on a simulated clock."""

import itertools
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import defopt
import orjson

from sassafraswinch_standins.simulator_callers import Tally
from sassafraswinch_standins.simulator_fleet import Simulation
from sassafraswinch_standins.simulator_load import PATTERNS

COUNTED_SECONDS = 16
TAIL_SECONDS = 2
"""Length of a run, and of its end, which may be unanswered and isn't counted."""

WINDOW_S = 2
WORST_WINDOWS = 2

Figures = dict[str, float]


def figures_of(tallies: dict[str, Tally], seconds: int) -> Figures:
    """Return the parts of the credit of so many seconds that callers earned."""
    counted = range(seconds)
    owed = [sum(t.owed.get(s, 0.0) for t in tallies.values()) for s in counted]
    earned = [sum(t.earned.get(s, 0.0) for t in tallies.values()) for s in counted]
    windows = [
        sum(earned[at : at + WINDOW_S]) / sum(owed[at : at + WINDOW_S])
        for at in range(0, seconds, WINDOW_S)
    ]
    kinds = {
        name: sum(tally.earned.get(s, 0.0) for s in counted)
        / sum(tally.owed.get(s, 0.0) for s in counted)
        for name, tally in tallies.items()
    }
    again = sum(tally.refused_again for tally in tallies.values())
    return {
        "whole": sum(earned) / sum(owed),
        "worst windows": statistics.mean(sorted(windows)[:WORST_WINDOWS]),
        **kinds,
        "refused again": again / sum(owed),
    }


def play(name: str, seed: int, seconds: int = COUNTED_SECONDS) -> Figures:
    """Play one pattern once."""
    played = Simulation(pattern=PATTERNS[name], seed=seed)
    played.run(seconds + TAIL_SECONDS)
    crashes = played.crashes
    return figures_of(played.tallies, seconds) | {
        "servers ended": crashes.ended,
        "innocent held": len(crashes.held),
    }


def simulate(
    *,
    patterns: list[str] | None = None,
    seeds: int = 5,
    jobs: int = 2,
    out: Path = Path("out"),
) -> None:
    """Play load patterns over the sidecars' decisions, and print means and spread.

    Args:
        patterns: names of load patterns; all by default.
        seeds: runs of each.
        jobs: processor cores to use.
        out: directory for simulator.json.
    """
    names = patterns or list(PATTERNS)
    runs = list(itertools.product(names, range(1, seeds + 1)))
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        played = list(pool.map(play, *zip(*runs, strict=True)))
    by_name: dict[str, list[Figures]] = {}
    for (name, _), figures in zip(runs, played, strict=True):
        by_name.setdefault(name, []).append(figures)
    for name, of_name in by_name.items():
        print(name)
        for figure in of_name[0]:
            values = [figures[figure] for figures in of_name]
            spread = statistics.pstdev(values)
            print(f"  {figure:16} {statistics.mean(values):.3f} +- {spread:.3f}")
    out.mkdir(parents=True, exist_ok=True)
    (out / "simulator.json").write_bytes(
        orjson.dumps(by_name, option=orjson.OPT_INDENT_2)
    )


if __name__ == "__main__":
    defopt.run(simulate)
