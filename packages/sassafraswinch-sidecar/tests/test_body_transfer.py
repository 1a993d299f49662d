"""Long bodies cross links whole, beside other messages, and within the memory limit."""

import asyncio
import math

import pytest
from hypothesis import given, strategies as st

from sassafraswinch_sidecar.body_transfer import (
    CHUNK_BYTES,
    IncomingBodies,
    OutgoingBodies,
)
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.relay_protocol.ttypes import BodyChunk, RelayRequest
from sidecar_standins.backend import answer
from sidecar_standins.fleet import running_fleet, until

LONG = b"0123456789abcdef" * 1_000_000
"""Longer than eight times what a frame could carry."""

ONCE = "/approve/1"


@pytest.fixture
async def fleet():
    async with running_fleet("schvaleni", "schvaleni", "archiv") as fleet:
        yield fleet


@pytest.fixture
def front(fleet):
    """Return a host whose requests cross a link."""
    return fleet.nodes[2]


def links_of(front):
    return [
        peer.link
        for peer in front.sidecar._links.peers.values()
        if peer.link is not None
    ]


async def hold_transfer(fleet, front, sending):
    """Return once a long body is granted of which nothing is sent."""
    for link in links_of(front):
        link.pause_writing()
    task = asyncio.create_task(sending)
    executors = [node.sidecar for node in fleet.nodes if node is not front]
    await until(lambda: any(each._held.total_bytes for each in executors))
    return task


def seen_of(fleet):
    return [seen for node in fleet.nodes for seen in node.backend.seen]


async def send_long(fleet, front, **options):
    return await fleet.call(front, method="POST", target=ONCE, body=LONG, **options)


async def test_long_body_and_response_cross_a_link(fleet, front):
    """Guards against links that are closed by a message within the limits."""
    for node in fleet.nodes:
        node.backend.behaviour = lambda connection, seen: connection.transport.write(
            answer(seen, body=seen.body)
        )
    got = await send_long(fleet, front)
    assert (got.status, got.body == LONG) == (200, True)
    assert [seen.body == LONG for seen in seen_of(fleet)] == [True]


async def test_body_beyond_the_memory_limit_is_refused_unrun(fleet, front):
    for node in fleet.nodes_of("schvaleni"):
        node.sidecar._held.max_bytes = len(LONG) - 1
    assert (await send_long(fleet, front)).status == 503
    assert not seen_of(fleet)
    small = await fleet.call(front, method="POST", target=ONCE, body=b"x")
    assert small.status == 200


async def test_small_request_passes_a_long_body(fleet, front):
    """Guards against requests that wait behind a long body on the same link."""
    behind = 5
    order = []

    async def send(name, body, request_id):
        got = await fleet.call(
            front, method="POST", target=ONCE, body=body, request_id=request_id
        )
        order.append((name, got.status))

    long = await hold_transfer(fleet, front, send("long", LONG, "long"))
    small = (send("small", b"x", f"small-{number}") for number in range(behind))
    await asyncio.gather(*small)
    for link in links_of(front):
        link.resume_writing()
    await long
    assert order == [("small", 200)] * behind + [("long", 200)]


async def test_request_whose_body_was_not_sent_completely_is_placed_again(fleet, front):
    """Guards against a 502 for a request that certainly didn't run."""
    long = await hold_transfer(fleet, front, send_long(fleet, front))
    (link,) = (each for each in links_of(front) if each.unsent_requests())
    link.abort("lost")
    for each in links_of(front):
        each.resume_writing()
    assert (await long).status == 200
    assert len(seen_of(fleet)) == 1


async def test_body_of_a_departed_caller_is_dropped(fleet, front):
    long = await hold_transfer(fleet, front, send_long(fleet, front))
    long.cancel()
    await until(lambda: not any(node.sidecar._held.total_bytes for node in fleet.nodes))
    assert not seen_of(fleet)
    assert (await fleet.call(front, method="POST", target=ONCE)).status == 200


async def test_body_of_a_refused_request_is_dropped_by_its_owner(fleet, front):
    """Guards against bodies kept until their link ends, which nobody counts."""
    for node in fleet.nodes_of("schvaleni"):
        node.sidecar._held.max_bytes = len(LONG) - 1
    assert (await send_long(fleet, front)).status == 503
    assert not any(link.unsent_requests() for link in links_of(front))


async def test_response_that_nobody_awaits_is_declined(fleet, front):
    """Guards against memory that stays reserved for the response to a caller that left
    while its request, which may not run twice, was running.
    """
    started = asyncio.Event()
    finish = asyncio.Event()
    tasks = []

    async def serve_late(connection, seen):
        started.set()
        await finish.wait()
        connection.transport.write(answer(seen, body=LONG))

    for node in fleet.nodes:
        node.backend.behaviour = lambda connection, seen: tasks.append(
            asyncio.create_task(serve_late(connection, seen))
        )
    caller = asyncio.create_task(fleet.call(front, method="POST", target=ONCE))
    await started.wait()
    caller.cancel()
    await until(lambda: not front.sidecar._owner.in_flight)
    finish.set()
    await asyncio.gather(*tasks)
    (ran,) = (node for node in fleet.nodes if node.backend.seen)
    await until(lambda: not ran.sidecar._executor.in_flight)
    await until(lambda: not any(node.sidecar._held.total_bytes for node in fleet.nodes))


def new_request(call_id, body):
    return RelayRequest(call_id=call_id, body=body, remaining_ms=1_000)


@given(
    sizes=st.lists(st.integers(min_value=1, max_value=5 * CHUNK_BYTES), max_size=5),
    cancelled=st.sets(st.integers(min_value=0, max_value=4)),
    pauses=st.sets(st.integers(min_value=1, max_value=20)),
)
def test_bodies_arrive_whole_in_any_order_of_events(sizes, cancelled, pauses):
    """Bodies of many lengths are sent in turn, with pauses and cancellations."""

    async def transfer():
        held = HeldBytes(max_bytes=math.inf)
        arrived, dropped, written = {}, [], []
        incoming = IncomingBodies()

        def write(chunk):
            written.append(chunk)
            if len(written) in pauses:
                outgoing.pause()

        outgoing = OutgoingBodies(write=write, held=held)
        for number, size in enumerate(sizes):
            request = new_request(number, bytes([number]) * size)
            outgoing.announce(request)
            assert (request.body, request.body_bytes) == (b"", size)
            incoming.expect(
                request,
                lambda complete: arrived.update({complete.call_id: complete.body}),
                lambda number=number: dropped.append(number),
            )
        for number in range(len(sizes)):
            outgoing.grant(number)
            if number in cancelled:
                outgoing.cancel(number)
                incoming.cancel(number)
        for _ in range(200):
            await asyncio.sleep(0)
            outgoing.resume()
        for chunk in written:
            incoming.receive(chunk)
        expected = {n: bytes([n]) * size for n, size in enumerate(sizes)}
        gone = {number for number in cancelled if number in dropped}
        assert {n: bytes(body) for n, body in arrived.items()} == {
            n: body for n, body in expected.items() if n not in gone
        }
        assert not list(outgoing.unsent_requests())

    asyncio.run(transfer())


async def test_body_longer_than_announced_is_an_error():
    incoming = IncomingBodies()
    request = RelayRequest(call_id=1, body=b"", body_bytes=3, remaining_ms=1_000)
    incoming.expect(request, lambda complete: None, lambda: None)
    with pytest.raises(ValueError, match="longer than announced"):
        incoming.receive(BodyChunk(call_id=1, data=b"1234"))
