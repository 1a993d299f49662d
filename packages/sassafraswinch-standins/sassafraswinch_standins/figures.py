"""Figures of one benchmark run, computed from caller reports and server runs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from sassafraswinch_standins.capacity import Demand, ideal_rates, traffic_demands
from sassafraswinch_standins.graph import Graph, ServicePlan
from sassafraswinch_standins.tally import SERIES_INTERVAL_MS

WINDOW_INTERVALS = 10
"""Length of the sliding window that recovery is judged on: one second."""

HOLD_INTERVALS = 20
"""Consecutive normal windows that make a recovery: two seconds."""

RECOVERED_SHARE = 0.95
"""Share of the goodput before the disturbance that counts as recovered."""

PAYING_CLASSES = ("paying-actions", "paying-lookups")
"""Classes whose goodput and objectives are also evaluated separately."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Phases of a run, in milliseconds from the start of the load.

    A disturbance is a load surge, a slowdown or an injected fault.
    """

    baseline_start_ms: float
    """Start of the baseline that recovery is compared with."""
    disturbance_start_ms: float
    """Start of the disturbance, and end of the baseline."""
    disturbance_end_ms: float
    """End of the disturbance."""
    end_ms: float
    """End of the load."""

    def intervals(self, start_ms: float, end_ms: float) -> range:
        """Return the indices of the time series intervals between two times."""
        return range(
            int(start_ms // SERIES_INTERVAL_MS), int(end_ms // SERIES_INTERVAL_MS)
        )


class Series:
    """Time series by kind of traffic, summed over all callers."""

    def __init__(self, reports: Iterable[Mapping[str, Any]]):
        self._totals: dict[tuple[str, str], Counter[int]] = defaultdict(Counter)
        for report in reports:
            for name, figures in report["traffic"].items():
                for field in SERIES_FIELDS:
                    self._totals[name, field].update(dict(enumerate(figures[field])))

    def total(self, names: Iterable[str], field: str, intervals: Iterable[int]) -> int:
        """Return the sum of a field over kinds of traffic and intervals."""
        selected = [self._totals[name, field] for name in names]
        return sum(series[i] for i in intervals for series in selected)


SERIES_FIELDS = ("offered", "good", "good_by_start", "objective_by_start", "refused")


def traffic_name_of(request_id: str) -> str:
    """Return the traffic name in the id of an attempt or of one of its child calls."""
    return request_id.split(":")[1]


def attempt_id(request_id: str) -> str:
    """Return the id of the caller's attempt that a run belongs to."""
    return request_id.partition("/")[0]


def request_of(request_id: str) -> str:
    """Return a run's position in the caller's call tree, without the attempt number.

    Runs of the same call in different attempts of a request have the same position.
    """
    head, slash, children = request_id.partition("/")
    return head.rpartition(".")[0] + slash + children


def wasted_share(runs: Sequence[Mapping[str, Any]], good_attempts: set[str]) -> float:
    """Return the share of the servers' own work done for attempts that weren't good."""
    total = sum(run["busy_ms"] for run in runs)
    useful = sum(
        run["busy_ms"] for run in runs if attempt_id(run["request_id"]) in good_attempts
    )
    return 1 - useful / total if total else 0.0


def amplification(runs: Sequence[Mapping[str, Any]]) -> float:
    """Return the mean number of runs of each call that ran at least once."""
    return len(runs) / max(1, len({request_of(run["request_id"]) for run in runs}))


def count_duplicate_runs(
    runs: Iterable[Mapping[str, Any]], operations: set[str]
) -> int:
    """Count the runs of operations beyond the first one for the same request."""
    counts = Counter(
        request_of(run["request_id"]) for run in runs if run["operation"] in operations
    )
    return sum(count - 1 for count in counts.values())


def inversions(
    graph: Graph,
    series: Series,
    runs: Iterable[Mapping[str, Any]],
    started_at_ms: float,
    timeline: Timeline,
) -> tuple[int, int]:
    """Count refusals of a class while a lower class was admitted (priority inversions).

    A refused attempt counts as an inversion when, in its interval of 100 ms, a request
    of a lower class started to run on any service in the refused request's call tree.

    Returns:
        Number of inversions, and number of refusals of all classes but the lowest.
    """
    order = {c["name"]: number for number, c in enumerate(graph.classes)}
    class_ranks = {t.name: order[t.class_name] for t in graph.traffic}
    lowest_started: dict[tuple[str, int], int] = defaultdict(int)
    for run in runs:
        interval = int((run["started_at_ms"] - started_at_ms) // SERIES_INTERVAL_MS)
        place = (run["service"], interval)
        lowest_started[place] = max(
            lowest_started[place], class_ranks[traffic_name_of(run["request_id"])]
        )
    demands = traffic_demands(graph, slow={})
    inverted = refused = 0
    for name, rank in class_ranks.items():
        if rank == max(class_ranks.values()):
            continue
        for interval in timeline.intervals(0, timeline.end_ms):
            count = series.total([name], "refused", [interval])
            lowest_in_tree = max(
                lowest_started[s, interval] for s in demands[name].slot_ms
            )
            refused += count
            inverted += count if lowest_in_tree > rank else 0
    return inverted, refused


def recovery_ms(graph: Graph, series: Series, timeline: Timeline) -> float | None:
    """Return the time from the end of the disturbance until service is normal again.

    Service is normal when, for two seconds of consecutive windows of one second, the
    share of good requests among those started in the window is at least 95% of the
    share before the disturbance, and so is the share of paying requests that met their
    objective. Shares are compared instead of counts because the arrival rate varies.

    Returns:
        Milliseconds, or None if service didn't recover before the end of the run.
    """
    everything = [traffic.name for traffic in graph.traffic]
    paying = [t.name for t in graph.traffic if t.class_name in PAYING_CLASSES]

    def share(names: list[str], field: str, intervals: range) -> float:
        offered = series.total(names, "offered", intervals)
        return series.total(names, field, intervals) / offered if offered else 1.0

    before = timeline.intervals(
        timeline.baseline_start_ms, timeline.disturbance_start_ms
    )
    min_share = RECOVERED_SHARE * share(everything, "good_by_start", before)
    min_paying_share = RECOVERED_SHARE * share(paying, "objective_by_start", before)
    first, *_, last = timeline.intervals(timeline.disturbance_end_ms, timeline.end_ms)
    normal_intervals = 0
    for start in range(first, last - WINDOW_INTERVALS + 2):
        window = range(start, start + WINDOW_INTERVALS)
        normal = share(everything, "good_by_start", window) >= min_share and (
            share(paying, "objective_by_start", window) >= min_paying_share
        )
        normal_intervals = normal_intervals + 1 if normal else 0
        if normal_intervals >= HOLD_INTERVALS:
            return (
                start - HOLD_INTERVALS + 1
            ) * SERIES_INTERVAL_MS - timeline.disturbance_end_ms
    return None


def goodput(
    graph: Graph,
    series: Series,
    timeline: Timeline,
    *,
    slow: Mapping[str, float],
) -> dict[str, Any]:
    """Return the goodput during the disturbance relative to the ideal rates.

    Requests are weighted by their slot time on the bottleneck service. With plain
    counts, cheap requests of a low class that displace expensive ones of a high class
    would yield more than 100% of the capacity.

    If the disturbance is shorter than a second, goodput is taken from its start to the
    end of the run, with normal service times.

    Args:
        graph: services, traffic and classes of the fleet.
        series: time series of the callers.
        timeline: phases of the run.
        slow: factors on the service times of slowed services.
    """
    during = timeline.intervals(
        timeline.disturbance_start_ms, timeline.disturbance_end_ms
    )
    if len(during) < WINDOW_INTERVALS:
        during = timeline.intervals(timeline.disturbance_start_ms, timeline.end_ms)
        slow = {}
    seconds = len(during) * SERIES_INTERVAL_MS / 1000
    offered = {
        t.name: series.total([t.name], "offered", during) / seconds
        for t in graph.traffic
    }
    good = {
        t.name: series.total([t.name], "good", during) / seconds for t in graph.traffic
    }
    ideal = ideal_rates(graph, offered_per_s=offered, slow=slow)
    demands = traffic_demands(graph, slow=slow)
    service = bottleneck(graph, ideal, demands)
    weights = {name: demands[name].slot_ms.get(service, 0.0) for name in demands}

    def ratio(classes: Sequence[str]) -> float:
        names = [t.name for t in graph.traffic if t.class_name in classes]
        best = sum(ideal[name] * weights[name] for name in names)
        return sum(good[n] * weights[n] for n in names) / best if best else 1.0

    everything = [c["name"] for c in graph.classes]
    return {
        "offered_per_s": offered,
        "good_per_s": good,
        "ideal_per_s": ideal,
        "highest_class_share": ratio(everything[:1]),
        "paying_share": ratio(PAYING_CLASSES),
        "whole_share": ratio(everything),
    }


def bottleneck(
    graph: Graph, rates_per_s: Mapping[str, float], demands: Mapping[str, Demand]
) -> str:
    """Return the service with the highest slot utilisation at the given rates."""

    def utilisation(service: ServicePlan) -> float:
        slot_ms = sum(
            rate * demands[name].slot_ms.get(service.name, 0.0)
            for name, rate in rates_per_s.items()
        )
        return slot_ms / (service.servers * service.slots)

    return max(graph.services, key=utilisation).name
