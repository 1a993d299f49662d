"""What sidecars tell each other, over loopback."""

import asyncio

import pytest

from sidecar_standins.backend import answer
from sidecar_standins.fleet import running_fleet, sees_all, until

WORK_S = 0.02
"""Time that a server works on a request; hardly any is no demand."""


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "archiv", "schvaleni", "schvaleni") as started:
        for node in started.nodes:
            node.backend.behaviour = work
        yield started


def work(connection, seen):
    respond = connection.transport.write
    asyncio.get_running_loop().call_later(WORK_S, respond, answer(seen))


def gatherers(fleet):
    return [node for node in fleet.nodes if node.sidecar._exchange.is_aggregating]


def demand_at(node):
    view, now_ms = node.sidecar._view, node.sidecar._now_ms()
    return {claim.kind: claim.rate_per_s for claim in view.demand(now_ms)}


async def test_two_of_a_zone_gather_and_the_others_are_told(fleet):
    await until(lambda: gatherers(fleet) == fleet.nodes[:2])
    for node in fleet.nodes[2:]:
        now_ms = node.sidecar._now_ms()
        assert node.sidecar._view.source(now_ms) == fleet.nodes[0].ip


async def test_demand_at_one_entry_is_known_at_all(fleet):
    """A surge arrives at one entry. The others have to refuse their part of it before
    the service is full, though none of it reaches them.
    """
    for number in range(20):
        await fleet.call(fleet.nodes[3], request_id=f"r-{number}")
    await until(lambda: all("orders" in demand_at(node) for node in fleet.nodes))


async def test_lost_gatherers_are_replaced_and_requests_go_on(fleet):
    """Both gatherers of a zone are killed at once. The others must not be left with a
    view that grows old: they would admit by their own demand alone.
    """
    await until(lambda: gatherers(fleet) == fleet.nodes[:2])
    lost, left = fleet.nodes[:2], fleet.nodes[2:]
    for node in lost:
        await node.kill()
    await until(lambda: all(node.sidecar._exchange.is_aggregating for node in left))
    got = await fleet.call(left[0], target="/approve/1", method="POST")
    assert got.status == 200
    for node in lost:
        node.start()
    await until(lambda: all(sees_all(node, fleet) for node in fleet.nodes))
    await until(lambda: gatherers(fleet) == fleet.nodes[:2])


async def test_host_without_a_listed_server_is_told_too(fleet):
    """A server crashes for good and its entry expires. The sidecar beside it still has
    callers, whose demand must count, and needs the view of the others.
    """
    node = fleet.nodes[3]
    await fleet.store.put(f"instance/i-{node.ip}", None)
    first = fleet.nodes[0].sidecar
    await until(lambda: node.ip not in first._fleet.hosts_of("brno-a"))
    for number in range(20):
        await fleet.call(node, request_id=f"r-{number}")
    await until(lambda: "orders" in demand_at(fleet.nodes[0]))
    await until(lambda: not node.sidecar._exchange.is_aggregating)
    assert node.sidecar._view.age_ms(node.sidecar._now_ms()) < 2_000.0
