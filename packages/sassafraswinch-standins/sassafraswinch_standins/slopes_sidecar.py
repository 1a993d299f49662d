"""Cost of a sidecar's messages and decisions by the size of the fleet."""

import random
from collections.abc import Callable, Iterator
from functools import partial

from sassafraswinch.capacity_shares import Claim
from sassafraswinch_node.frames import LENGTH_BYTES
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.host_reports import serialize_demand
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.message_codec import (
    Message,
    parse_message,
    serialize_message,
)
from sassafraswinch_sidecar.placement import PeerLoad, Placement, capacities_of
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HostReport,
    SentCount,
    ServerLoad,
    SummaryReply,
)
from sassafraswinch_sidecar.zone_aggregator import ZoneAggregator
from sassafraswinch_sidecar.zone_role import ZoneRole
from sassafraswinch_standins.slopes_timing import Figure, best_cpu_us

FLEETS = (17, 140, 560)
"""Fleet sizes in hosts."""

ZONES = 6
SERVICES = 50
SERVICES_CALLED = (3, 50)
"""Numbers of services that the requests of one ingress sidecar use."""

PRIORITIES = 3
ROUTES = 4
"""Routes whose requests arrive at one ingress sidecar."""

CALLS_PER_ROUND = 200
"""Calls of the measured function in each round."""


def demand_of(services: int) -> list[Claim]:
    """Return the demand of an ingress sidecar whose routes use some services."""
    names = [f"service-{number}" for number in range(services)]
    return [
        Claim(
            kind=f"route-{number}",
            priority=number % PRIORITIES,
            rate_per_s=3.25,
            costs=dict.fromkeys(names[number::ROUTES], 0.05),
        )
        for number in range(min(ROUTES, services))
    ]


def report(services: int) -> HostReport:
    """Return the report of a host whose requests use some services."""
    return HostReport(
        revision=120_000,
        load=ServerLoad(in_flight=60, queued=9, limit=110),
        leaving=False,
        following=False,
        isolated=False,
        demand=serialize_demand(demand_of(services)),
        counts=[SentCount(f"service-{n}", 3_750, 12) for n in range(services)],
        relies=True,
    )


def hosts(count: int) -> list[Instance]:
    """Return the instances of a fleet."""
    return [
        Instance(
            id=f"i-{number:04x}",
            service=f"service-{number % SERVICES}",
            ip=f"10.{number // 250}.0.{number % 250}",
            port=8080,
            availability_zone=f"zone-{number % ZONES}",
            slots=110,
            leaving=False,
            cold_ms=0.0,
        )
        for number in range(count)
    ]


def measure() -> Iterator[Figure]:
    """Measure messages, then decisions by size of the fleet."""
    yield from _message_figures()
    for count in FLEETS:
        yield from _decision_figures(count)


def _message_figures() -> Iterator[Figure]:
    for services in SERVICES_CALLED:
        yield from _codec_figures(f"report, {services} services", report(services))
    for count in FLEETS:
        yield from _aggregation_figures(count)


def _codec_figures(name: str, message: Message) -> Iterator[Figure]:
    frame = serialize_message(message)
    payload = frame[LENGTH_BYTES:]
    yield Figure(name=f"{name}, frame", value=len(frame), unit="B")
    yield _cost_figure(f"{name}, written", partial(serialize_message, message))
    yield _cost_figure(f"{name}, read", partial(parse_message, payload))


def _aggregation_figures(count: int) -> Iterator[Figure]:
    """Measure the cost of fleet totals at an aggregator and at a host of its zone."""
    aggregators = [
        ZoneAggregator(
            availability_zone=f"zone-{n}", is_near_limit=lambda name, use: True
        )
        for n in range(ZONES)
    ]
    for number, found in enumerate(hosts(count)):
        aggregators[number % ZONES].record_report(
            found.ip, report(SERVICES_CALLED[0]), 0.0
        )
    first, *others = aggregators
    for other in others:
        first.record_summary(other.summary(), 0.0)
    own = first.summary()
    digest = first.digest(own, 120_000, 0.0)
    view = FleetView(own_ip="10.9.0.1")
    yield from _codec_figures(f"digest of {count} hosts", digest)
    reply = SummaryReply(120_000, ["10.0.0.0", "10.0.0.6"], own)
    yield from _codec_figures(f"zone's sum of {count} hosts", reply)
    yield _cost_figure(f"zone added up, {count} hosts", first.summary)
    yield _cost_figure(
        f"digest made, {count} hosts", lambda: first.digest(own, 120_000, 0.0)
    )
    yield _cost_figure(
        f"digest taken, {count} hosts", lambda: view.apply_digest(digest, 0.0)
    )


def _decision_figures(count: int) -> Iterator[Figure]:
    instances = hosts(count)
    loads = {found.ip: PeerLoad(in_flight=60, limit=103) for found in instances}
    admission = IngressAdmission(rng=random.Random(1))
    demand = demand_of(SERVICES_CALLED[0])
    capacities = capacities_of(instances, loads.get)
    placement = Placement(
        own_ip="10.9.0.1",
        availability_zone="zone-0",
        load_of=loads.get,
        cold_left_ms=lambda found, now_ms: 0.0,
        rng=random.Random(1),
    )
    of_service = [found for found in instances if found.service == "service-0"]
    zone = {f"10.1.0.{n}": n < 2 for n in range(count // ZONES)}
    role = ZoneRole(own_ip="10.2.0.0", active_sidecars=2, step_ms=50.0)
    measured = {
        "slots that can be reached": lambda: capacities_of(instances, loads.get),
        "admission decided": lambda: admission.decide_shares(
            capacities, 1_000.0, demand
        ),
        "watch duty decided": lambda: role.update_role(zone, 1_000.0),
        "instance chosen": lambda: placement.choose_instance(of_service, (), 0.0),
    }
    for name, action in measured.items():
        yield _cost_figure(f"{name}, {count} hosts", action)


def _cost_figure(name: str, action: Callable[[], object]) -> Figure:
    cost_us = best_cpu_us(action, count=CALLS_PER_ROUND)
    return Figure(name=name, value=cost_us, unit="us")
