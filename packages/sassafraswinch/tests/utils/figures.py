"""Metrics of a simulation: goodput, priority inversions, recovery time, queue delay."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.verdict import Reason

from .fake_server import GateSimulation

BIN_MS = 100.0
INVERSION_MS = 100.0
RECOVERED_SHARE = 0.95
HELD_BINS = 5


@dataclass(slots=True, kw_only=True)
class Figures:
    paying_percent: float
    all_percent: float
    inversions: int
    mixed_intervals: int
    recovery_ms: float
    queue_p99_ms: float
    paying_p99_ms: float
    shed_percent: float
    wasted_percent: float
    """Share of the calls executed by the first server without a good outcome."""
    refused_below_percent: float
    """Share of the refusals made by the gate, after the ingress admitted the call."""


def measure(
    trial: GateSimulation, *, start_ms: float, end_ms: float, run_ms: float
) -> Figures:
    """Return the metrics of the overload between two times."""
    offered = [d for d in trial.done if start_ms <= d.call.offered_at_ms < end_ms]
    good = [d for d in offered if d.good]
    paying = [d for d in good if d.call.rank.class_order == 0]
    server = trial.server
    steps = range(int(start_ms), int(end_ms), 10)
    capacity = sum(
        10 * server.slots / (server.mean_ms * server.slowness(at)) for at in steps
    )
    fresh = Counter(
        call.rank.class_order
        for call in trial.fresh
        if start_ms <= call.offered_at_ms < end_ms
    )
    started = [c for c in trial.starts if start_ms <= c.started_at_ms < end_ms]
    waits = sorted(c.started_at_ms - c.offered_at_ms for c in started)
    latencies = sorted(d.at_ms - d.call.offered_at_ms for d in paying)
    ran = [d for d in offered if d.outcome is BackendOutcome.OK]
    sheds = sum(d.outcome is BackendOutcome.SHED for d in offered)
    refused = sum(isinstance(d.outcome, Reason) for d in trial.done)
    refused_downstream = refused - trial.entry_refusals
    inversions, mixed = _count_inversions(trial)
    return Figures(
        paying_percent=100 * len(paying) / max(min(fresh[0], capacity), 1),
        all_percent=100 * len(good) / max(min(fresh.total(), capacity), 1),
        inversions=inversions,
        mixed_intervals=mixed,
        recovery_ms=_recovery_ms(trial, start_ms, end_ms, run_ms),
        queue_p99_ms=waits[int(len(waits) * 0.99)] if waits else 0.0,
        paying_p99_ms=latencies[int(len(latencies) * 0.99)] if latencies else 0.0,
        shed_percent=100 * sheds / max(len(started), 1),
        refused_below_percent=100
        * refused_downstream
        / max(refused_downstream + trial.entry_refusals, 1),
        wasted_percent=100 * sum(not d.good for d in ran) / max(len(ran), 1),
    )


def _count_inversions(trial: GateSimulation) -> tuple[int, int]:
    refused = [
        d.at_ms
        for d in trial.done
        if d.call.rank.class_order == 0 and not isinstance(d.outcome, BackendOutcome)
    ]
    trial_starts = [c for c in trial.starts if c.rank.class_order > 0]
    inversions_found = 0
    for call in trial_starts:
        index = bisect_left(refused, call.started_at_ms)
        if index and call.started_at_ms - refused[index - 1] < INVERSION_MS:
            inversions_found += 1
    bins = {int(at // INVERSION_MS) for at in refused}
    started = {int(c.started_at_ms // INVERSION_MS) for c in trial_starts}
    return inversions_found, len(bins & started)


def _recovery_ms(
    trial: GateSimulation, start_ms: float, end_ms: float, run_ms: float
) -> float:
    bins = Counter(int(d.at_ms // BIN_MS) for d in trial.done if d.good)
    before = [
        bins[b] for b in range(int(start_ms // BIN_MS / 2), int(start_ms // BIN_MS))
    ]
    level = RECOVERED_SHARE * sum(before) / len(before)
    first, last = int(end_ms // BIN_MS), int(run_ms // BIN_MS)
    for b in range(first, last - HELD_BINS + 1):
        held = [bins[i] for i in range(b, b + HELD_BINS)]
        if sum(held) / HELD_BINS >= level:
            return (b - first) * BIN_MS
    return float("inf")
