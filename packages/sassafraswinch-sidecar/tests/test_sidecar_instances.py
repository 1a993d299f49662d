"""Tests of the instance that a request is sent to when backend servers are replaced."""

import pytest

from sassafraswinch_sidecar.placement import capacities_of
from sassafraswinch_sidecar.server_monitor import REPORTED_INSTANCE_LIFE_MS
from sidecar_standins.backend import serve_as
from sidecar_standins.fleet import INSTANCE, running_fleet, until


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "archiv", "schvaleni") as started:
        yield started


async def assert_three_refused(fleet):
    for number in range(3):
        got = await fleet.call(
            fleet.nodes[0], target="/approve/1", request_id=f"r-{number}"
        )
        assert got.status == 503


async def test_restarted_server_is_reached_before_the_platform_lists_its_new_id(fleet):
    """All hosts lose power. The servers restart with new instance ids, while the
    platform still lists the old ones for seconds, so healthy servers refuse each
    request. The id in such a refusal is trusted, because the sidecar has just started.
    """
    node = fleet.nodes[2]

    node.backend.behaviour = serve_as("i-new")
    for number in range(3):
        got = await fleet.call(
            fleet.nodes[0],
            target="/approve/1",
            method="POST",
            request_id=f"r-{number}",
        )
        assert got.status == 200
    ids = [seen.headers[b"x-expected-instance"] for seen in node.backend.seen]
    assert ids.count(b"i-new") == 3
    assert len(ids) == 4


async def test_other_server_at_a_reused_address_gets_no_requests(fleet):
    """A server exits, and its address is reused by a server of another service. The
    sidecar there has run for long, so its settings may be older than the server.
    Nothing is sent to the new id before the platform lists its service.
    """
    node = fleet.nodes[2]
    watch = node.sidecar._executor._watch
    watch._started_ms -= 60_000.0
    # The clock is frozen, so that the reported id doesn't expire during slow calls.
    frozen_ms = watch._now_ms()
    watch._now_ms = lambda: frozen_ms

    node.backend.behaviour = serve_as("i-other")
    await assert_three_refused(fleet)
    ids = {seen.headers[b"x-expected-instance"] for seen in node.backend.seen}
    assert b"i-other" not in ids
    assert len(node.backend.seen) == 1


async def test_second_server_at_an_address_is_not_trusted_after_a_sidecar_restart(
    fleet,
):
    """A sidecar alone has just restarted when its server exits and the address is
    reused by another service. The sidecar has already reached the first server, so the
    id reported by the second one isn't trusted.
    """
    node = fleet.nodes[2]
    got = await fleet.call(fleet.nodes[0], target="/approve/1")
    assert got.status == 200

    node.backend.behaviour = serve_as("i-other")
    await assert_three_refused(fleet)
    ids = {seen.headers[b"x-expected-instance"] for seen in node.backend.seen}
    assert b"i-other" not in ids


async def test_new_instance_at_the_address_of_an_idle_server_is_served(fleet):
    """A server leaves while no request is in flight, and another one replaces it. No
    connection breaks, so the change isn't detected, and every request for the new
    instance would be refused for ever, because of the id that the old one reported.
    """
    node = fleet.nodes[2]
    assert (await fleet.call(fleet.nodes[0], target="/approve/1")).status == 200
    await node.put_instance(fleet.store, name="i-second")
    node_fleet = fleet.nodes[0].sidecar._fleet
    await until(
        lambda: [i.id for i in node_fleet.of_service("schvaleni")] == ["i-second"]
    )
    node.sidecar._executor._watch._reported_ms -= REPORTED_INSTANCE_LIFE_MS
    got = await fleet.call(fleet.nodes[0], target="/approve/1", request_id="r-2")
    assert got.status == 200
    expected = node.backend.seen[-1].headers[b"x-expected-instance"]
    assert expected == b"i-second"


async def test_newer_instance_at_an_address_replaces_the_older_one(fleet):
    node = fleet.nodes[2]
    await node.put_instance(fleet.store, name="i-second")
    node_fleet = node.sidecar._fleet
    await until(
        lambda: [i.id for i in node_fleet.of_service("schvaleni")] == ["i-second"]
    )
    await node.put_instance(fleet.store)
    await until(lambda: node.sidecar._data.revision == fleet.store.revision)
    assert [i.id for i in node_fleet.of_service("schvaleni")] == ["i-second"]
    # Counting the slots twice would admit twice the server's capacity.
    slots = capacities_of(node_fleet.serving(), node.sidecar._loads.load_of)[
        "schvaleni"
    ].slots
    assert slots == node.sidecar._executor.load().limit


async def test_server_of_a_host_isolated_from_the_platform_is_used(fleet):
    """One host can't reach the platform. The registration of its server expires on all
    sidecars, and the service has no other server. Its sidecar has links to all others
    and reports that it is isolated, so the others continue to use the server.
    """
    node = fleet.nodes[2]
    fleet.store.cut_off.add(node.ip)
    await fleet.store.put(f"{INSTANCE}i-{node.ip}", None)
    await until(lambda: all(isolated(other, node) for other in fleet.nodes))
    got = await fleet.call(fleet.nodes[0], target="/approve/1", method="POST")
    assert got.status == 200
    fleet.store.cut_off.clear()
    await until(lambda: not fleet.nodes[0].sidecar._fleet.of_service("schvaleni"))
    got = await fleet.call(
        fleet.nodes[0], target="/approve/1", method="POST", request_id="r-2"
    )
    assert got.status == 503


def isolated(node, expired_node):
    """Return whether a node uses a server whose registration has expired."""
    instances = node.sidecar._fleet.of_service(expired_node.service)
    return [each.ip for each in instances] == [
        expired_node.ip
    ] and not node.sidecar._fleet.instances_at(expired_node.ip)
