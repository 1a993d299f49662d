"""Upper bound of a graph's throughput, from its slots and mean service times."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass

from sassafraswinch_standins.backend_settings import Order
from sassafraswinch_standins.graph import Graph

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Service demand of one call of an operation, including its child calls."""

    hold_ms: float
    """Time from its start to its end without any queueing."""
    slot_ms: dict[str, float]
    """Slot time by service, in milliseconds."""
    calls: int
    """Number of backend calls, including this one."""


def demand(
    graph: Graph,
    service: str,
    method: str,
    path: str,
    *,
    slow: Mapping[str, float],
) -> Demand:
    """Compute the service demand of an operation.

    Args:
        graph: the services and their operations.
        service: service of the operation.
        method: HTTP method.
        path: a path that matches the operation.
        slow: factors on the service times of slowed services.
    """
    plan = graph.operation(service, method, path)
    children = [
        demand(
            graph,
            call.service,
            call.method,
            call.path.replace("{id}", "x"),
            slow=slow,
        )
        for call in plan.calls
    ]
    children_hold_ms = [child.hold_ms for child in children]
    children_ms = (
        max(children_hold_ms, default=0.0)
        if _is_parallel(plan)
        else sum(children_hold_ms)
    )
    hold_ms = plan.service_time_ms * slow.get(service, 1.0) + children_ms
    slot_ms = {service: hold_ms}
    for name, time_ms in itertools.chain(
        *(child.slot_ms.items() for child in children)
    ):
        slot_ms[name] = slot_ms.get(name, 0.0) + time_ms
    return Demand(
        hold_ms=hold_ms,
        slot_ms=slot_ms,
        calls=1 + sum(child.calls for child in children),
    )


def _is_parallel(plan) -> bool:
    return plan.order is Order.PARALLEL


def traffic_demands(graph: Graph, *, slow: Mapping[str, float]) -> dict[str, Demand]:
    """Return the service demand of a request with its call tree, by traffic name."""
    return {
        traffic.name: demand(
            graph,
            traffic.service,
            traffic.method,
            traffic.path.replace("{id}", "x"),
            slow=slow,
        )
        for traffic in graph.traffic
    }


def ideal_rates(
    graph: Graph,
    *,
    offered_per_s: Mapping[str, float],
    slow: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the highest rates that the slots allow, in strict priority of classes.

    This is an upper bound: it assumes that slots are never idle while there is demand,
    that requests never queue and that no work is wasted. Each class gets the capacity
    that the classes before it don't use; within a class, the same share of every kind
    of traffic is served.

    Args:
        graph: services with their slots, and classes in order of priority.
        offered_per_s: first attempts per second by traffic name.
        slow: factors on the service times of slowed services.

    Returns:
        Completed requests per second by traffic name.
    """
    demands = traffic_demands(graph, slow=slow or {})
    free_slot_ms = {s.name: s.servers * s.slots * MS_PER_S for s in graph.services}
    rates: dict[str, float] = {}
    for service_class in graph.classes:
        members = [
            traffic.name
            for traffic in graph.traffic
            if traffic.class_name == service_class["name"]
        ]
        demand_ms = {
            service: sum(
                offered_per_s[name] * demands[name].slot_ms.get(service, 0.0)
                for name in members
            )
            for service in free_slot_ms
        }
        share = min(
            (
                free_slot_ms[service] / demand_ms[service]
                for service in free_slot_ms
                if demand_ms[service] > 0
            ),
            default=1.0,
        )
        share = min(1.0, share)
        rates |= {name: share * offered_per_s[name] for name in members}
        free_slot_ms = {
            service: free_slot_ms[service] - share * demand_ms[service]
            for service in free_slot_ms
        }
    return rates


def capacity_per_s(graph: Graph) -> float:
    """Return the requests per second that the graph sustains with its traffic mix."""
    total = sum(traffic.weight for traffic in graph.traffic)
    demands = traffic_demands(graph, slow={})
    demand_ms = {
        service.name: sum(
            traffic.weight / total * demands[traffic.name].slot_ms.get(service.name, 0)
            for traffic in graph.traffic
        )
        for service in graph.services
    }
    return min(
        s.servers * s.slots * MS_PER_S / demand_ms[s.name]
        for s in graph.services
        if demand_ms[s.name] > 0
    )
