"""Tests of the exchange of reports and digests between sidecars, over loopback."""

import asyncio

import pytest

from sidecar_standins.backend import answer
from sidecar_standins.fleet import running_fleet, sees_all, until

WORK_S = 0.02
"""Service time of a request; with almost none there is no demand."""


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "archiv", "schvaleni", "schvaleni") as started:
        for node in started.nodes:
            node.backend.behaviour = respond_late
        yield started


def respond_late(connection, seen):
    respond = connection.transport.write
    asyncio.get_running_loop().call_later(WORK_S, respond, answer(seen))


def aggregators(fleet):
    return [node for node in fleet.nodes if node.sidecar._exchange.is_aggregating]


def demand_at(node):
    view, now_ms = node.sidecar._view, node.sidecar._now_ms()
    return {claim.kind: claim.rate_per_s for claim in view.demand(now_ms)}


async def test_two_sidecars_of_a_zone_aggregate_and_the_others_receive_digests(fleet):
    await until(lambda: aggregators(fleet) == fleet.nodes[:2])
    for node in fleet.nodes[2:]:
        now_ms = node.sidecar._now_ms()
        assert node.sidecar._view.source(now_ms) == fleet.nodes[0].ip


async def test_demand_at_one_ingress_sidecar_is_known_at_all_others(fleet):
    """A surge arrives at one ingress sidecar. The others have to refuse their share of
    requests before the service is overloaded, although the surge doesn't reach them.
    """
    for number in range(20):
        await fleet.call(fleet.nodes[3], request_id=f"r-{number}")
    await until(lambda: all("orders/archiv" in demand_at(node) for node in fleet.nodes))


async def test_lost_aggregators_are_replaced_and_requests_continue(fleet):
    """Both aggregators of a zone are killed at once. The other sidecars must not be
    left with a stale view: they would admit requests by their own demand alone.
    """
    await until(lambda: aggregators(fleet) == fleet.nodes[:2])
    lost, remaining = fleet.nodes[:2], fleet.nodes[2:]
    for node in lost:
        await node.kill()
    await until(
        lambda: all(node.sidecar._exchange.is_aggregating for node in remaining)
    )
    got = await fleet.call(remaining[0], target="/approve/1", method="POST")
    assert got.status == 200
    for node in lost:
        node.start()
    await until(lambda: all(sees_all(node, fleet) for node in fleet.nodes))
    await until(lambda: aggregators(fleet) == fleet.nodes[:2])


async def test_host_without_a_registered_server_receives_digests_too(fleet):
    """A server crashes for good and its registration expires. The sidecar beside it
    still has callers, whose demand must count, and needs the view of the fleet.
    """
    node = fleet.nodes[3]
    await fleet.store.put(f"instance/i-{node.ip}", None)
    first = fleet.nodes[0].sidecar
    await until(lambda: node.ip not in first._fleet.hosts_of("brno-a"))
    for number in range(20):
        await fleet.call(node, request_id=f"r-{number}")
    await until(lambda: "orders/archiv" in demand_at(fleet.nodes[0]))
    await until(lambda: not node.sidecar._exchange.is_aggregating)
    assert node.sidecar._view.age_ms(node.sidecar._now_ms()) < 2_000.0
