"""Figures of one bench run, from the callers' reports and the servers' runs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from sassafraswinch_standins.capacity import Demand, ideal_rates, traffic_demands
from sassafraswinch_standins.graph import Graph, ServicePlan
from sassafraswinch_standins.tally import SERIES_MS

WINDOW = 10
"""Intervals over which recovery is judged: one second."""

HELD = 20
"""Intervals for which a recovery must hold: two seconds."""

RECOVERED_SHARE = 0.95
"""Share of the goodput before the pressure that counts as recovered."""

PAYING = ("paying-actions", "paying-lookups")
"""Classes whose goodput and objectives are judged on their own."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """When the pressure of a run begins and ends; all from the start of the load."""

    before_ms: float
    """Start of the normal level that recovery is compared with."""
    from_ms: float
    until_ms: float
    end_ms: float

    def intervals(self, start_ms: float, end_ms: float) -> range:
        """Return the intervals of the time series between two times."""
        return range(int(start_ms // SERIES_MS), int(end_ms // SERIES_MS))


class Series:
    """Time series of all callers, summed, by kind of traffic."""

    def __init__(self, reports: Iterable[Mapping[str, Any]]):
        self._sums: dict[tuple[str, str], Counter[int]] = defaultdict(Counter)
        for report in reports:
            for name, figures in report["traffic"].items():
                for field in SERIES_FIELDS:
                    self._sums[name, field].update(dict(enumerate(figures[field])))

    def total(self, names: Iterable[str], field: str, intervals: Iterable[int]) -> int:
        """Return the sum of a series of some kinds of traffic over intervals."""
        chosen = [self._sums[name, field] for name in names]
        return sum(series[i] for i in intervals for series in chosen)


SERIES_FIELDS = ("offered", "good", "good_by_start", "objective_by_start", "refused")


def traffic_of(request_id: str) -> str:
    """Return the kind of traffic in the id of a try or of its child calls."""
    return request_id.split(":")[1]


def try_of(request_id: str) -> str:
    """Return the caller's try that a run belongs to."""
    return request_id.partition("/")[0]


def request_of(request_id: str) -> str:
    """Return the place of a run in the caller's request, whichever try it was."""
    head, slash, children = request_id.partition("/")
    return head.rpartition(".")[0] + slash + children


def wasted_share(runs: Sequence[Mapping[str, Any]], good_tries: set[str]) -> float:
    """Return the share of the servers' own work for tries that weren't answered."""
    total = sum(run["busy_ms"] for run in runs)
    useful = sum(
        run["busy_ms"] for run in runs if try_of(run["request_id"]) in good_tries
    )
    return 1 - useful / total if total else 0.0


def amplification(runs: Sequence[Mapping[str, Any]]) -> float:
    """Return how often the calls that ran at all ran, on average."""
    return len(runs) / max(1, len({request_of(run["request_id"]) for run in runs}))


def doubled(runs: Iterable[Mapping[str, Any]], operations: set[str]) -> int:
    """Return how many runs of operations repeat one of the same caller's request."""
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
    """Count refusals of a class while a lower one was let in on its way.

    An attempt counts when, in its interval of 100 ms, a request of a lower class began
    to run on any service that the refused one needs.

    Returns:
        Inverted refusals, and all refusals of classes that have a lower one.
    """
    order = {c["name"]: number for number, c in enumerate(graph.classes)}
    ranks = {t.name: order[t.class_name] for t in graph.traffic}
    lowest: dict[tuple[str, int], int] = defaultdict(int)
    for run in runs:
        interval = int((run["started_at_ms"] - started_at_ms) // SERIES_MS)
        place = (run["service"], interval)
        lowest[place] = max(lowest[place], ranks[traffic_of(run["request_id"])])
    demands = traffic_demands(graph, slow={})
    inverted = refused = 0
    for name, rank in ranks.items():
        if rank == max(ranks.values()):
            continue
        for interval in timeline.intervals(0, timeline.end_ms):
            count = series.total([name], "refused", [interval])
            below = max(lowest[s, interval] for s in demands[name].slot_ms)
            refused += count
            inverted += count if below > rank else 0
    return inverted, refused


def recovery_ms(graph: Graph, series: Series, timeline: Timeline) -> float | None:
    """Return the time from the end of the pressure until service is normal again.

    Normal: over each window of a second, for two seconds on end, requests that began
    in it are answered in 95% of the share before the pressure, and paying ones within
    their objective. Shares instead of counts, since the arrivals themselves vary.

    Returns:
        Milliseconds; None when it didn't come before the end of the run.
    """
    everything = [traffic.name for traffic in graph.traffic]
    paying = [t.name for t in graph.traffic if t.class_name in PAYING]

    def share(names: list[str], field: str, intervals: range) -> float:
        offered = series.total(names, "offered", intervals)
        return series.total(names, field, intervals) / offered if offered else 1.0

    before = timeline.intervals(timeline.before_ms, timeline.from_ms)
    least = RECOVERED_SHARE * share(everything, "good_by_start", before)
    least_paying = RECOVERED_SHARE * share(paying, "objective_by_start", before)
    first, *_, last = timeline.intervals(timeline.until_ms, timeline.end_ms)
    normal_for = 0
    for start in range(first, last - WINDOW + 2):
        window = range(start, start + WINDOW)
        normal = share(everything, "good_by_start", window) >= least and (
            share(paying, "objective_by_start", window) >= least_paying
        )
        normal_for = normal_for + 1 if normal else 0
        if normal_for >= HELD:
            return (start - HELD + 1) * SERIES_MS - timeline.until_ms
    return None


def goodput(
    graph: Graph,
    series: Series,
    timeline: Timeline,
    *,
    slow: Mapping[str, float],
) -> dict[str, Any]:
    """Return the good requests of the pressure against what slots could carry.

    Requests are weighed by the time for which they hold slots of the service that is
    nearest to its limit. Counted alone, cheap requests of a low class that take the
    place of dear ones of a high class would give more than all of the capacity.
    """
    during = timeline.intervals(timeline.from_ms, timeline.until_ms)
    if len(during) < WINDOW:
        during = timeline.intervals(timeline.from_ms, timeline.end_ms)
        slow = {}
    seconds = len(during) * SERIES_MS / 1000
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
        "paying_share": ratio(PAYING),
        "whole_share": ratio(everything),
    }


def bottleneck(
    graph: Graph, rates_per_s: Mapping[str, float], demands: Mapping[str, Demand]
) -> str:
    """Return the service whose slots are used most at given rates."""

    def used(service: ServicePlan) -> float:
        slot_ms = sum(
            rate * demands[name].slot_ms.get(service.name, 0.0)
            for name, rate in rates_per_s.items()
        )
        return slot_ms / (service.servers * service.slots)

    return max(graph.services, key=used).name
