"""Demo of overload control: the Brno fleet, scaled down, under a load surge."""

import time
from collections.abc import Iterable, Mapping
from typing import Any

import defopt

from sassafraswinch_standins.bench_run import run_once
from sassafraswinch_standins.graph import Graph, brno
from sassafraswinch_standins.scenarios import SCENARIOS

COLUMN_HEADINGS = (
    "class",
    "offered",
    "served",
    "refused",
    "uncertain",
    "failed",
    "share",
)

COLUMN_WIDTHS = (16, 9, 9, 9, 11, 9, 7)


def class_rows(
    graph: Graph, outcomes: Mapping[str, Mapping[str, int]]
) -> list[tuple[str, ...]]:
    """Return a table row of outcome counts for each class, highest priority first."""
    rows = []
    for name in (c["name"] for c in graph.classes if c["name"] in outcomes):
        counts = outcomes[name]
        offered = sum(counts.values())
        rows.append(
            (
                name,
                str(offered),
                str(counts["good"]),
                str(counts["not_run"] + counts["unreachable"]),
                str(counts["may_have_run"]),
                str(counts["failed"] + counts["wrong"]),
                f"{counts['good'] / offered:.0%}" if offered else "-",
            )
        )
    return rows


def format_table(rows: Iterable[tuple[str, ...]]) -> str:
    """Format the column headings and the rows as aligned text."""
    lines = (
        "".join(
            cell.ljust(width) for cell, width in zip(row, COLUMN_WIDTHS, strict=True)
        )
        for row in (COLUMN_HEADINGS, *rows)
    )
    return "\n".join(line.rstrip() for line in lines)


def report(graph: Graph, figures: Mapping[str, Any]) -> str:
    """Format the figures of a run for a terminal."""
    recovery_ms = figures["recovery_ms"]
    recovered = "not within the run" if recovery_ms is None else f"{recovery_ms:.0f} ms"
    return "\n".join(
        (
            format_table(class_rows(graph, figures["outcomes"])),
            "",
            f"paying goodput in the surge: {figures['paying_share']:.0%} of capacity",
            f"whole goodput in the surge:  {figures['whole_share']:.0%} of capacity",
            f"recovery after the surge:    {recovered}",
            f"work wasted:                 {figures['wasted_share']:.1%}",
            f"wrong answers:               {figures['wrong_answers']}",
            f"told not run, but ran:       {figures['told_not_run_but_ran']}",
            f"actions run twice:           {figures['doubled_actions']}",
        )
    )


def demo(*, gate: str = "adaptive", seed: int = 1) -> None:
    """Start the fleet, triple the load for six seconds, and print the outcome.

    Args:
        gate: admission policy of the nodes: adaptive, static or open.
        seed: seed of the load and of service times.
    """
    graph = brno()
    scenario = SCENARIOS["surge"]
    servers = sum(service.servers for service in graph.services)
    print(f"starting {servers} hosts in three availability zones, gate {gate}")
    started_s = time.monotonic()
    figures = run_once(graph=graph, scenario=scenario, gate=gate, seed=seed)
    print(report(graph, figures))
    print(f"took {time.monotonic() - started_s:.0f} s")


if __name__ == "__main__":
    defopt.run(demo)
