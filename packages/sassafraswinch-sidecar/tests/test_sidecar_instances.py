"""Which instance of a backend server runs a request, when servers change hands."""

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


async def test_restarted_server_is_reached_before_the_platform_knows_its_new_id(fleet):
    """All hosts lose power. The servers are back under new ids, and for seconds the
    platform still tells the old ones: each request would be refused by a server that
    is fine. The server itself tells who it is, and its sidecar has just started.
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


async def test_server_at_a_reused_address_gets_no_request_by_its_word_alone(fleet):
    """A server ends, and its address goes to a server of another service. The sidecar
    there has run for long, so its settings may be older than the server: nothing is
    sent to the new id before the platform tells its service.
    """
    node = fleet.nodes[2]
    watch = node.sidecar._executor._watch
    watch._started_ms -= 60_000.0
    # Its clock stands still: the server's word lasts however long the calls take.
    stopped_ms = watch._now_ms()
    watch._now_ms = lambda: stopped_ms

    node.backend.behaviour = serve_as("i-other")
    await assert_three_refused(fleet)
    ids = {seen.headers[b"x-expected-instance"] for seen in node.backend.seen}
    assert b"i-other" not in ids
    assert len(node.backend.seen) == 1


async def test_second_server_at_an_address_is_not_trusted_even_soon_after_a_start(
    fleet,
):
    """A sidecar has just been restarted by itself when its server ends and the address
    goes to another service. It has answered for the first server, so the second one's
    word alone counts for nothing.
    """
    node = fleet.nodes[2]
    got = await fleet.call(fleet.nodes[0], target="/approve/1")
    assert got.status == 200

    node.backend.behaviour = serve_as("i-other")
    await assert_three_refused(fleet)
    ids = {seen.headers[b"x-expected-instance"] for seen in node.backend.seen}
    assert b"i-other" not in ids


async def test_new_instance_at_the_address_of_an_idle_server_is_served(fleet):
    """A server leaves while nothing is under way, and another one starts in its place.
    Nobody notices the change: no connection breaks, and every request for the new
    instance is refused on the word of the old one, for ever.
    """
    node = fleet.nodes[2]
    assert (await fleet.call(fleet.nodes[0], target="/approve/1")).status == 200
    await node.put_instance(fleet.store, name="i-second")
    found = fleet.nodes[0].sidecar._fleet
    await until(lambda: [i.id for i in found.of_service("schvaleni")] == ["i-second"])
    node.sidecar._executor._watch._reported_ms -= REPORTED_INSTANCE_LIFE_MS
    got = await fleet.call(fleet.nodes[0], target="/approve/1", request_id="r-2")
    assert got.status == 200
    asked = node.backend.seen[-1].headers[b"x-expected-instance"]
    assert asked == b"i-second"


async def test_newer_instance_at_an_address_replaces_the_older_one(fleet):
    node = fleet.nodes[2]
    await node.put_instance(fleet.store, name="i-second")
    found = node.sidecar._fleet
    await until(lambda: [i.id for i in found.of_service("schvaleni")] == ["i-second"])
    await node.put_instance(fleet.store)
    await until(lambda: node.sidecar._data.revision == fleet.store.revision)
    assert [i.id for i in found.of_service("schvaleni")] == ["i-second"]
    # Counted twice, the same slots would let in twice what the server can run.
    slots = capacities_of(found.serving(), node.sidecar._loads.load_of)[
        "schvaleni"
    ].slots
    assert slots == node.sidecar._executor.load().limit


async def test_server_of_a_host_that_is_cut_off_from_the_platform_is_used(fleet):
    """One host can't reach the platform. The entry of its server expires, all sidecars
    hear of that, and the service has no other server. Its sidecar is linked to all and
    asks the platform in vain, so the others may go on using the server.
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


def isolated(node, lapsed):
    """Return whether a node uses a server that the platform doesn't list."""
    found = node.sidecar._fleet.of_service(lapsed.service)
    return [each.ip for each in found] == [
        lapsed.ip
    ] and not node.sidecar._fleet.instances_at(lapsed.ip)
