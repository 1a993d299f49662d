"""What a graph could answer at best, from its slots and mean service times."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass

from sassafraswinch_standins.backend_settings import Order
from sassafraswinch_standins.graph import Graph

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What one call of an operation takes, with everything below it."""

    hold_ms: float
    """Time from its start to its end when nothing waits."""
    slot_ms: dict[str, float]
    """Time for which it holds slots, by service."""
    calls: int
    """Backend calls, itself included."""


def demand(
    graph: Graph,
    service: str,
    method: str,
    path: str,
    *,
    slow: Mapping[str, float],
) -> Demand:
    """Work out the demand of an operation.

    Args:
        graph: the services and their operations.
        service: service of the operation.
        method: HTTP method.
        path: a path that the operation matches.
        slow: factors on the service times of services that are slow.
    """
    plan = graph.operation(service, method, path)
    below = [
        demand(
            graph,
            call.service,
            call.method,
            call.path.replace("{id}", "x"),
            slow=slow,
        )
        for call in plan.calls
    ]
    waits = [child.hold_ms for child in below]
    children_ms = max(waits, default=0.0) if _parallel(plan) else sum(waits)
    hold_ms = plan.service_time_ms * slow.get(service, 1.0) + children_ms
    slot_ms = {service: hold_ms}
    for name, time_ms in itertools.chain(*(child.slot_ms.items() for child in below)):
        slot_ms[name] = slot_ms.get(name, 0.0) + time_ms
    return Demand(
        hold_ms=hold_ms,
        slot_ms=slot_ms,
        calls=1 + sum(child.calls for child in below),
    )


def _parallel(plan) -> bool:
    return plan.order is Order.PARALLEL


def traffic_demands(graph: Graph, *, slow: Mapping[str, float]) -> dict[str, Demand]:
    """Return the demand of one whole request of each kind of traffic."""
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
    """Return the rates that slots could carry, the most important classes first.

    An upper bound: it keeps every slot busy and lets nothing wait or be wasted. Each
    class gets what the classes before it leave; within a class all kinds of traffic
    get the same share of what they offer.

    Args:
        graph: services with their slots, and classes in order.
        offered_per_s: first attempts a second by kind of traffic.
        slow: factors on the service times of services that are slow.

    Returns:
        Whole requests a second by kind of traffic.
    """
    demands = traffic_demands(graph, slow=slow or {})
    left = {s.name: s.servers * s.slots * MS_PER_S for s in graph.services}
    rates: dict[str, float] = {}
    for service_class in graph.classes:
        members = [
            traffic.name
            for traffic in graph.traffic
            if traffic.class_name == service_class["name"]
        ]
        need = {
            service: sum(
                offered_per_s[name] * demands[name].slot_ms.get(service, 0.0)
                for name in members
            )
            for service in left
        }
        share = min(
            (left[service] / need[service] for service in left if need[service] > 0),
            default=1.0,
        )
        share = min(1.0, share)
        rates |= {name: share * offered_per_s[name] for name in members}
        left = {service: left[service] - share * need[service] for service in left}
    return rates


def capacity_per_s(graph: Graph) -> float:
    """Return the whole requests a second that the graph carries in its own mix."""
    total = sum(traffic.weight for traffic in graph.traffic)
    demands = traffic_demands(graph, slow={})
    need = {
        service.name: sum(
            traffic.weight / total * demands[traffic.name].slot_ms.get(service.name, 0)
            for traffic in graph.traffic
        )
        for service in graph.services
    }
    return min(
        s.servers * s.slots * MS_PER_S / need[s.name]
        for s in graph.services
        if need[s.name] > 0
    )
