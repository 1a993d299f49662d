"""One run of the overload benchmark: a scenario on a fleet of real processes."""

import itertools
import tempfile
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

from sassafraswinch_standins.caller_settings import CallerSettings
from sassafraswinch_standins.capacity import capacity_per_s, traffic_demands
from sassafraswinch_standins.clock import now_ms
from sassafraswinch_standins.figures import (
    Series,
    amplification,
    count_duplicate_runs,
    goodput,
    inversions,
    recovery_ms,
    request_of,
    traffic_name_of,
    wasted_share,
)
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.graph import AVAILABILITY_ZONES, Graph
from sassafraswinch_standins.scenarios import LOAD_SHARE, Scenario
from sassafraswinch_standins.tally import SERIES_INTERVAL_MS

CALLER_STARTUP_MS = 1_500.0
"""Time for caller processes to import their modules before the load starts."""

NON_REPEATABLE_OPERATIONS = {"approve-order", "release-order"}
NON_REPEATABLE_TRAFFIC = {"approve", "release"}


def _callers(
    fleet: Fleet, scenario: Scenario, seed: int, start_at_ms: float
) -> list[CallerSettings]:
    graph = fleet.graph
    rate_per_s = capacity_per_s(graph) * LOAD_SHARE / len(AVAILABILITY_ZONES)
    return [
        CallerSettings(
            name=f"caller-{zone}",
            entries=fleet.entries(zone),
            seed=seed * 100 + number,
            phases=scenario.phases(rate_per_s),
            duration_ms=scenario.timeline().end_ms,
            start_at_ms=start_at_ms,
            traffic=list(graph.traffic),
            retries=scenario.retries,
        )
        for number, zone in enumerate(AVAILABILITY_ZONES)
    ]


def _sleep_until(at_ms: float) -> None:
    time.sleep(max(0.0, at_ms - now_ms()) / 1000)


def run_once(
    *, graph: Graph, scenario: Scenario, gate: str, seed: int
) -> dict[str, Any]:
    """Run a scenario once on a new fleet and return its figures.

    Args:
        graph: services and traffic of the fleet.
        scenario: load, and the faults injected during it.
        gate: admission policy of the nodes.
        seed: seed of the load and of service times.
    """
    with (
        tempfile.TemporaryDirectory(prefix="sassafraswinch-bench-") as directory,
        Fleet(
            graph=graph,
            directory=Path(directory),
            gate=gate,
            relay_links=scenario.relay_links,
            seed=seed,
        ) as fleet,
    ):
        return _run_load(fleet, scenario, seed)


def _run_load(fleet: Fleet, scenario: Scenario, seed: int) -> dict[str, Any]:
    timeline = scenario.timeline()
    start_at_ms = now_ms() + CALLER_STARTUP_MS
    callers = [
        fleet.start_caller(settings)
        for settings in _callers(fleet, scenario, seed, start_at_ms)
    ]
    _sleep_until(start_at_ms)
    cpu_s = fleet.node_cpu_s()
    _sleep_until(start_at_ms + timeline.disturbance_start_ms)
    normal_cpu_s = fleet.node_cpu_s() - cpu_s
    control_bytes_per_s = fleet.node_status_median("control_bytes_per_s")
    scenario.start_disturbance(fleet)
    _sleep_until(start_at_ms + timeline.disturbance_end_ms)
    scenario.end_disturbance(fleet)
    _sleep_until(start_at_ms + timeline.end_ms)
    reports = [fleet.collect(caller, timeline.end_ms / 1000) for caller in callers]
    figures = measure(fleet.graph, scenario, reports, fleet.runs(), start_at_ms)
    normal_load_s = timeline.disturbance_start_ms / 1000
    figures["node_cores_normal"] = normal_cpu_s / normal_load_s / len(fleet.hosts)
    figures["node_control_bytes_per_s"] = control_bytes_per_s
    figures["node_memory_mb"] = fleet.node_status_median("memory_mb")
    return figures


def measure(
    graph: Graph,
    scenario: Scenario,
    reports: list[dict[str, Any]],
    runs: list[dict[str, Any]],
    started_at_ms: float,
) -> dict[str, Any]:
    """Compute the figures of a run.

    Args:
        graph: services and traffic of the fleet.
        scenario: the scenario that ran.
        reports: reports of the callers.
        runs: records of the operations that ran on backend servers.
        started_at_ms: start of the load.
    """
    timeline = scenario.timeline()
    series = Series(reports)
    all_traffic = [traffic.name for traffic in graph.traffic]
    good_attempts = {i for report in reports for i in report["ids"]["good"]}
    not_run = merge_reasons(report["ids"]["not_run"] for report in reports)
    unsure = merge_reasons(report["ids"]["may_have_run"] for report in reports)
    ran = {run["request_id"] for run in runs}
    calls = {n: d.calls for n, d in traffic_demands(graph, slow={}).items()}
    figures = [item for r in reports for item in r["traffic"].items()]
    inverted, refused = inversions(graph, series, runs, started_at_ms, timeline)
    wanted_calls = sum(calls[name] * f["first_attempts"] for name, f in figures)
    hinted = sum(f["hinted_repeats"] for _, f in figures)
    intervals = timeline.intervals(0, timeline.end_ms)
    return goodput(graph, series, timeline, slow=scenario.slow) | {
        "inversions": inverted,
        "refused_above_lowest": refused,
        "wasted_share": wasted_share(runs, good_attempts),
        "amplification": amplification(runs),
        "runs_per_wanted_call": len(runs) / max(1, wanted_calls),
        "attempts_per_request": sum(f["attempts"] for _, f in figures)
        / max(1, sum(f["first_attempts"] for _, f in figures)),
        "recovery_ms": recovery_ms(graph, series, timeline),
        "honoured_hints": hinted,
        "honoured_hints_good_share": sum(f["hinted_good"] for _, f in figures)
        / max(1, hinted),
        "wrong_answers": sum(f["outcomes"]["wrong"] for _, f in figures),
        "told_not_run_but_ran": len(ran & set(not_run)),
        "unsure_actions": len(non_repeatable_attempts(unsure)),
        "unsure_actions_not_run": len(non_repeatable_attempts(unsure) - ran),
        "doubled_actions": count_duplicate_runs(runs, NON_REPEATABLE_OPERATIONS),
        "violations": violations(runs, not_run),
        "outcomes": _outcomes(figures),
        "latency": _latencies(figures),
        "reasons": _reasons(figures),
        "series_ms": SERIES_INTERVAL_MS,
        "good_series": {
            name: [series.total([name], "good", [i]) for i in intervals]
            for name in all_traffic
        },
        "offered_series": [
            series.total(all_traffic, "offered", [i]) for i in intervals
        ],
    }


def merge_reasons(groups: Iterable[Mapping[str, str]]) -> dict[str, str]:
    """Merge mappings of attempt ids to reasons."""
    return dict(itertools.chain.from_iterable(group.items() for group in groups))


def non_repeatable_attempts(attempts: Iterable[str]) -> set[str]:
    """Return the attempts whose traffic must not be retried after it ran."""
    return {i for i in attempts if traffic_name_of(i) in NON_REPEATABLE_TRAFFIC}


def violations(
    runs: Sequence[Mapping[str, Any]], not_run: Mapping[str, str]
) -> list[dict[str, Any]]:
    """Return the runs that violate an execution guarantee.

    These are the runs of attempts that were reported to the caller as not run, and all
    runs of a non-repeatable operation that ran more than once for a request.
    """
    actions: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for run in runs:
        if run["operation"] in NON_REPEATABLE_OPERATIONS:
            actions[request_of(run["request_id"])].append(run)
    duplicates = [run for group in actions.values() if len(group) > 1 for run in group]
    contradicting = [run for run in runs if run["request_id"] in not_run]
    return [
        {**run, "told_not_run": not_run.get(run["request_id"])}
        for run in {id(run): run for run in [*contradicting, *duplicates]}.values()
    ]


def _outcomes(figures) -> dict[str, dict[str, int]]:
    totals: dict[str, dict[str, int]] = {}
    for _, item in figures:
        class_outcomes = totals.setdefault(item["class_name"], {})
        for outcome, count in item["outcomes"].items():
            class_outcomes[outcome] = class_outcomes.get(outcome, 0) + count
    return totals


def _reasons(figures) -> dict[str, int]:
    totals: dict[str, int] = {}
    for _, item in figures:
        for reason, count in item["reasons"].items():
            totals[reason] = totals.get(reason, 0) + count
    return totals


def _latencies(figures) -> dict[str, dict[str, float]]:
    """Return the highest value of each latency quantile over callers, by traffic."""
    worst: dict[str, dict[str, float]] = {}
    for name, item in figures:
        traffic_quantiles = worst.setdefault(name, {})
        for quantile, value_ms in item["latency"].items():
            traffic_quantiles[quantile] = max(
                traffic_quantiles.get(quantile, 0.0), value_ms
            )
    return worst
