"""Hops and connectivity of the links that 560 nodes plan to spread documents."""

import random
from collections import Counter
from collections.abc import Iterator, Mapping

from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import HostRecord
from sassafraswinch.read_budget import DOCUMENT_WATCHES
from sassafraswinch_standins.slopes_node import SERVICES, host_records
from sassafraswinch_standins.slopes_timing import Figure

HOSTS = 560
SERVICES_CALLED_BY_HOST = (0, 3)
"""Numbers of services that each host calls."""

Graph = Mapping[str, set[str]]


def planned_graph(records: tuple[HostRecord, ...], called: int, seed: int) -> Graph:
    """Return the links of a fleet as neighbours by host; links work in both ways."""
    rng = random.Random(seed)
    neighbours: dict[str, set[str]] = {record.name: set() for record in records}
    for record in records:
        plan = LinkPlan(host=record.name, availability_zone=record.availability_zone)
        for number in rng.sample(range(SERVICES), called):
            plan.record_service_demand(f"service-{number}", 0.0)
        for other in plan.choose(records, 1.0):
            neighbours[record.name].add(other)
            neighbours[other].add(record.name)
    return neighbours


def hops_from(graph: Graph, sources: set[str]) -> dict[str, int]:
    """Return the number of hops from the nearest source to each reachable host."""
    hops = dict.fromkeys(sources, 0)
    frontier, distance = set(sources), 0
    while frontier:
        distance += 1
        frontier = {far for near in frontier for far in graph[near]} - hops.keys()
        hops |= dict.fromkeys(frontier, distance)
    return hops


def largest_component(graph: Graph, members: set[str]) -> int:
    """Return the size of the largest connected component among ``members``."""
    inside = {name: graph[name] & members for name in members}
    remaining, largest = set(members), 0
    while remaining:
        component = hops_from(inside, {next(iter(remaining))}).keys()
        largest = max(largest, len(component))
        remaining -= component
    return largest


def measure() -> Iterator[Figure]:
    """Measure hops from the watchers, and connectivity of a partitioned zone."""
    records = host_records(HOSTS)
    zone = {r.name for r in records if r.availability_zone == "zone-0"}
    for called in SERVICES_CALLED_BY_HOST:
        graph = planned_graph(records, called, seed=1)
        watchers = set(random.Random(2).sample(sorted(graph), DOCUMENT_WATCHES))
        hops = Counter(hops_from(graph, watchers).values())
        label = f"{called} services called"
        yield Figure(name=f"{label}: hosts reached", value=hops.total(), unit="hosts")
        yield Figure(name=f"{label}: most hops", value=max(hops), unit="hops")
        degrees = [len(neighbours) for neighbours in graph.values()]
        mean = sum(degrees) / len(degrees)
        yield Figure(name=f"{label}: links of a host", value=mean, unit="links")
        yield Figure(
            name=f"{label}: zone of {len(zone)} cut off, largest connected part",
            value=largest_component(graph, zone),
            unit="hosts",
        )
