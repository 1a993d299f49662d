"""Cost of ticks, link plans and memory of a node by the number of known hosts."""

import asyncio
import itertools
import time
from collections.abc import Iterator

from pydantic import TypeAdapter

from sassafraswinch.hosts import HostRecord
from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import Membership
from sassafraswinch.messages import HostsReply
from sassafraswinch.node import Node
from sassafraswinch.records import serialize_record
from sassafraswinch_node.wire import encode
from sassafraswinch_standins.slopes_node import SERVICES, host_records, make_node
from sassafraswinch_standins.slopes_timing import (
    Figure,
    best_cpu_us,
    core_percent,
    fit_line,
    held_bytes,
)

_HOST_LIST = TypeAdapter(tuple[HostRecord, ...])

HOST_COUNTS = (17, 140, 560)
TICKS_PER_S = 40
NODE_RATE_TRIAL_S = 2.0
"""Length of the trial at the tick rate of a real node."""


def measure() -> Iterator[Figure]:
    """Measure ticks, link plans and memory by the number of known hosts."""
    ticks_us, plans_us = {}, {}
    for hosts in HOST_COUNTS:
        node, _ = make_node("h1", hosts=hosts)
        ticks_us[hosts] = best_cpu_us(lambda node=node: node.tick(60_000.0), count=400)
        yield Figure(name=f"tick with {hosts} hosts", value=ticks_us[hosts], unit="us")
        plan = LinkPlan(host="h1", availability_zone="zone-1")
        for number in range(SERVICES):
            plan.record_service_demand(f"service-{number}", 0.0)
        membership = node.membership
        plans_us[hosts] = best_cpu_us(
            lambda plan=plan, m=membership: plan.choose(m.peers(1.0), 1.0), count=10
        )
        yield Figure(
            name=f"link plan of {hosts} hosts", value=plans_us[hosts], unit="us"
        )
    base_us, per_host_us = fit_line(ticks_us)
    yield Figure(name="tick, base", value=base_us, unit="us")
    yield Figure(name="tick per host", value=per_host_us, unit="us")
    largest = max(HOST_COUNTS)
    yield Figure(
        name=f"ticks with {largest} hosts",
        value=core_percent(ticks_us[largest], TICKS_PER_S),
        unit="% of a core",
    )
    yield Figure(
        name=f"ticks with {largest} hosts, at the true pace",
        value=100 * asyncio.run(_tick_cpu_share(node)),
        unit="% of a core",
    )
    yield from _plan_figures(largest)
    membership, held = held_bytes(lambda: _filled_membership(largest))
    yield Figure(name=f"membership of {largest} hosts", value=held, unit="B")
    records, versions = host_records(largest), itertools.count(2)
    cost_us = best_cpu_us(
        lambda: membership.apply_host_list(records, next(versions), 0.0), count=50
    )
    yield Figure(name="host list taken", value=cost_us, unit="us")
    reply_bytes = len(encode(HostsReply(hosts=tuple(records)), sent_ms=0))
    yield Figure(name="host list from a peer", value=reply_bytes / 1_000, unit="kB")
    list_bytes = len(serialize_record(_HOST_LIST, tuple(records)))
    yield Figure(name="host list", value=list_bytes / 1_000, unit="kB")
    cost_us = best_cpu_us(lambda: _select_uncached(membership), count=50)
    yield Figure(name="candidates of a service, anew", value=cost_us, unit="us")


async def _tick_cpu_share(node: Node) -> float:
    """Return the share of a core that ticks use in an event loop."""
    start_s, start_cpu_s = time.monotonic(), time.process_time()
    while (elapsed_s := time.monotonic() - start_s) < NODE_RATE_TRIAL_S:
        node.tick(60_000.0)
        await asyncio.sleep(1 / TICKS_PER_S)
    return (time.process_time() - start_cpu_s) / elapsed_s


def _plan_figures(hosts: int) -> Iterator[Figure]:
    records = host_records(hosts)
    for services in (0, 3, 50):
        plan = LinkPlan(host="h1", availability_zone="zone-1")
        for number in range(services):
            plan.record_service_demand(f"service-{number}", 0.0)
        links = len(plan.choose(records, 1.0))
        yield Figure(
            name=f"links planned, {services} services called", value=links, unit="links"
        )


def _filled_membership(hosts: int) -> Membership:
    membership = Membership(self_host="h1")
    membership.apply_host_list(host_records(hosts), 1, 0.0)
    for number in range(SERVICES):
        membership.candidates(f"service-{number}", 0.0)
    return membership


def _select_uncached(membership: Membership) -> None:
    membership.require_fresh_round_trips(0.0)
    membership.candidates("service-7", 0.0)
