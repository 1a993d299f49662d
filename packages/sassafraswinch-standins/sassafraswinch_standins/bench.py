"""Command line of the benchmarks: admission policies under overload, and latency."""

import itertools
import statistics
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import defopt
import orjson

from sassafraswinch_standins.bench_run import run_once
from sassafraswinch_standins.graph import brno
from sassafraswinch_standins.latency import run_latency
from sassafraswinch_standins.plots import plot_goodput, plot_latency
from sassafraswinch_standins.scenarios import SCENARIOS

ARMS = ("open", "static", "adaptive")
"""Admission policies of the nodes: no control, static limits, adaptive limits."""

FIGURES = (
    "highest_class_share",
    "paying_share",
    "whole_share",
    "inversions",
    "refused_above_lowest",
    "wasted_share",
    "amplification",
    "runs_per_wanted_call",
    "attempts_per_request",
    "recovery_ms",
    "honoured_hints_good_share",
    "wrong_answers",
    "told_not_run_but_ran",
    "doubled_actions",
    "unsure_actions",
    "unsure_actions_not_run",
    "node_cores_normal",
    "node_control_bytes_per_s",
    "node_memory_mb",
)
"""Figures that are summarised over the seeds."""


def summarise(runs: Iterable[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the median, minimum and maximum of each figure over runs.

    A run without a value, such as one that ended before its service recovered, is
    counted under ``never`` and excluded from the median.
    """
    runs = list(runs)
    summary = {}
    for figure in FIGURES:
        values = [run[figure] for run in runs if run[figure] is not None]
        summary[figure] = {
            "median": statistics.median(values) if values else None,
            "min": min(values, default=None),
            "max": max(values, default=None),
            "never": len(runs) - len(values),
        }
    return summary


def format_summary(name: str, arm: str, summary: dict[str, dict[str, Any]]) -> str:
    """Format the summary of one arm for a terminal."""
    lines = [f"{name} / {arm}"]
    for figure, values in summary.items():
        if values["median"] is None:
            lines.append(f"  {figure:28} none in {values['never']} runs")
            continue
        never = f", never in {values['never']}" if values["never"] else ""
        lines.append(
            f"  {figure:28} {values['median']:.4g}"
            f" ({values['min']:.4g} to {values['max']:.4g}{never})"
        )
    return "\n".join(lines)


def overload(
    *,
    scenarios: list[str] | None = None,
    arms: list[str] | None = None,
    seeds: int = 5,
    out: Path = Path("out"),
) -> None:
    """Compare admission policies under overload and faults.

    Within each seed the arms run one after the other.

    Args:
        scenarios: names of the scenarios; all by default.
        arms: admission policies of the nodes; all by default.
        seeds: number of runs of each arm in each scenario.
        out: output directory of overload.json and the plots.
    """
    out.mkdir(parents=True, exist_ok=True)
    graph = brno()
    results: list[dict[str, Any]] = []
    for name in scenarios or list(SCENARIOS):
        for seed, arm in itertools.product(range(1, seeds + 1), arms or list(ARMS)):
            figures = run_once(
                graph=graph, scenario=SCENARIOS[name], gate=arm, seed=seed
            )
            results.append({"scenario": name, "arm": arm, "seed": seed, **figures})
            print(f"ran {name} {arm} seed {seed}", flush=True)
        _write_overload(results, out)
        scenario_runs = [run for run in results if run["scenario"] == name]
        plot_goodput(scenario_runs, SCENARIOS[name].timeline(), out / f"{name}.png")
        for arm in arms or ARMS:
            arm_runs = [run for run in scenario_runs if run["arm"] == arm]
            print(format_summary(name, arm, summarise(arm_runs)), flush=True)


def _write_overload(results: list[dict[str, Any]], out: Path) -> None:
    keys = sorted({(run["scenario"], run["arm"]) for run in results})
    summaries = {
        f"{scenario}/{arm}": summarise(
            run for run in results if run["scenario"] == scenario and run["arm"] == arm
        )
        for scenario, arm in keys
    }
    body = orjson.dumps(
        {"summaries": summaries, "runs": results}, option=orjson.OPT_INDENT_2
    )
    (out / "overload.json").write_bytes(body)


def latency(
    *,
    rates: list[float] | None = None,
    rounds: int = 5,
    round_s: float = 4.0,
    out: Path = Path("out"),
) -> None:
    """Compare calls through two nodes with direct calls and a chain of plain proxies.

    Args:
        rates: calls per second; 100, 190, 280 and 375 by default.
        rounds: number of rounds at each rate; each round loads every arm once.
        round_s: duration of the load on an arm in a round, in seconds.
        out: output directory of latency.json and latency.png.
    """
    out.mkdir(parents=True, exist_ok=True)
    figures = run_latency(
        rates_per_s=rates or [100.0, 190.0, 280.0, 375.0],
        rounds=rounds,
        round_ms=round_s * 1000,
    )
    (out / "latency.json").write_bytes(
        orjson.dumps(figures, option=orjson.OPT_INDENT_2)
    )
    plot_latency(figures, out / "latency.png")
    print(f"unanswered {figures['unanswered']}")
    for (name, by_rate), rate in itertools.product(
        figures["arms"].items(), figures["rates_per_s"]
    ):
        at = by_rate[f"{rate:g}"]
        print(
            f"{name:12} {rate:5g}/s"
            f" p50 {at['p50_ms']:.2f} (added {at['p50_added_ms']:.2f})"
            f" p99 {at['p99_ms']:.2f} (added {at['p99_added_ms']:.2f},"
            f" {at['p99_added_range_ms'][0]:.2f} to"
            f" {at['p99_added_range_ms'][1]:.2f}) ms"
        )


if __name__ == "__main__":
    defopt.run([overload, latency])
