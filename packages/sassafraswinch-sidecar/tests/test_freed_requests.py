"""Ended requests are freed by their last reference, with the garbage collector off.

Guards against requests in reference cycles: the collector is triggered by counts of
objects, so long bodies exceed the memory of the process before it runs.
"""

import asyncio
import gc

import pytest

from sassafraswinch_sidecar.body_transfer import IncomingBody, OutgoingBody
from sassafraswinch_sidecar.executor import Execution
from sassafraswinch_sidecar.http_client import Exchange, HttpResponse
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest, RelayResponse
from sassafraswinch_sidecar.server_queue import QueuedRequest
from sidecar_standins.backend import answer
from sidecar_standins.fleet import (
    ROUTES,
    call,
    request_bytes,
    route,
    running_fleet,
    until,
)

HOLDERS = (
    CallerConnection,
    Exchange,
    Execution,
    HttpRequest,
    HttpResponse,
    QueuedRequest,
    Relay,
    RelayRequest,
    RelayResponse,
    IncomingBody,
    OutgoingBody,
)
"""Types whose instances refer to a body, or to another one that does."""

BODIES = {"short": b"b" * 20_000, "long": b"b" * 300_000}
"""Long bodies cross links in chunks."""

LOCAL, REMOTE = "/schvaleni/1", "/archiv/1"


@pytest.fixture(params=BODIES)
async def fleet(request):
    """Return a fleet whose last host calls its own server and that of the first."""
    async with running_fleet("archiv", "schvaleni") as fleet:
        routes = [
            route("archiv", "/archiv/", "archiv", timeout_ms=700.0),
            route("schvaleni", "/schvaleni/", "schvaleni", timeout_ms=700.0),
            route("once", "/once/", "archiv", idempotent=False, timeout_ms=700.0),
        ]
        fleet.body = BODIES[request.param]
        await fleet.store.put(ROUTES, {"version": 2, "routes": routes})
        nodes = fleet.nodes
        await until(lambda: all(n.sidecar._fleet.table.version == 2 for n in nodes))
        await call(nodes[1].settings.address("outbound"), target=REMOTE)
        await call(nodes[1].settings.address("outbound"), target=LOCAL)
        for node in nodes:
            node.backend.seen.clear()
        gc.collect()
        gc.disable()
        yield fleet
        gc.enable()


def survivors():
    """Return the number of instances that hold a body, by type."""
    held = [each for each in gc.get_objects() if isinstance(each, HOLDERS)]
    return {
        kind.__name__: sum(isinstance(each, kind) for each in held)
        for kind in HOLDERS
        if any(isinstance(each, kind) for each in held)
    }


async def assert_none_survives():
    """Wait until nothing is in flight, and assert that nothing is left of it."""
    try:
        await until(lambda: not survivors(), seconds=2.0)
    except TimeoutError:
        pytest.fail(f"not freed: {survivors()}")


async def assert_nothing_is_held(fleet):
    """Assert that the counts of held bytes are back to 0."""
    sidecars = [node.sidecar for node in fleet.nodes]
    await until(lambda: not any(each._held.total_bytes for each in sidecars))


async def send(fleet, target, **options):
    address = fleet.nodes[1].settings.address("outbound")
    return await call(address, method="POST", target=target, body=fleet.body, **options)


def behave(fleet, behaviour):
    for node in fleet.nodes:
        node.backend.behaviour = behaviour


def respond_with(**options):
    return lambda connection, seen: connection.transport.write(answer(seen, **options))


def hang(connection, seen):
    """Never respond."""


@pytest.mark.parametrize("target", [LOCAL, REMOTE])
async def test_answered_request_is_freed(fleet, target):
    behave(fleet, respond_with(body=fleet.body))
    assert (await send(fleet, target)).status == 200
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
async def test_rejected_request_is_freed(fleet, target):
    behave(fleet, respond_with(status=503, fields=b"X-Not-Run: 1\r\n", signed=False))
    assert (await send(fleet, target)).status == 503
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE])
async def test_failed_request_is_freed(fleet, target):
    behave(fleet, respond_with(status=500, body=fleet.body))
    assert (await send(fleet, target)).status == 500
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
async def test_timed_out_request_is_freed(fleet, target):
    behave(fleet, hang)
    assert (await send(fleet, target)).status == 504
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
async def test_reset_request_is_freed(fleet, target):
    behave(fleet, lambda connection, seen: connection.transport.abort())
    assert (await send(fleet, target)).status in (502, 504)
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE])
async def test_request_at_an_exited_server_is_freed(fleet, target):
    for node in fleet.nodes:
        node.backend.close()
    await asyncio.sleep(0.05)
    assert (await send(fleet, target)).status == 503
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
async def test_requests_refused_or_withdrawn_in_the_queue_are_freed(fleet, target):
    """More requests than slots: some are refused, others expire while queued."""
    behave(fleet, hang)
    sent = (send(fleet, target, request_id=f"r-{number}") for number in range(40))
    statuses = {got.status for got in await asyncio.gather(*sent)}
    assert {503, 504} <= statuses
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
@pytest.mark.parametrize("count", [1, 30])
async def test_requests_of_departed_callers_are_freed(fleet, target, count):
    """Running requests and, with more requests than slots, queued ones."""
    behave(fleet, hang)
    address = fleet.nodes[1].settings.address("outbound")
    for number in range(count):
        _, writer = await asyncio.open_connection(address.ip, address.port)
        request = request_bytes(
            method="POST", target=target, body=fleet.body, request_id=f"r-{number}"
        )
        writer.write(request)
        await asyncio.sleep(0.005)
        writer.close()
    await until(lambda: any(node.backend.seen for node in fleet.nodes))
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


async def test_incomplete_request_is_freed(fleet):
    address = fleet.nodes[1].settings.address("outbound")
    _, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(request_bytes(method="POST", target=REMOTE, body=fleet.body)[:-10])
    await asyncio.sleep(0.05)
    writer.close()
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [REMOTE, "/once/1"])
async def test_request_on_a_lost_link_is_freed(fleet, target):
    behave(fleet, hang)
    sending = asyncio.create_task(send(fleet, target))
    await until(lambda: any(node.backend.seen for node in fleet.nodes))
    for peer in fleet.nodes[1].sidecar._links.peers.values():
        peer.link.abort("lost")
    assert (await sending).status in (502, 504)
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


@pytest.mark.parametrize("target", [LOCAL, REMOTE, "/once/1"])
async def test_requests_ended_by_a_stop_are_freed(fleet, target):
    behave(fleet, hang)
    sending = asyncio.create_task(send(fleet, target, time_left_ms=600))
    await until(lambda: any(node.backend.seen for node in fleet.nodes))
    fleet.nodes[1].sidecar._stopping.set()
    await sending
    await until(fleet.nodes[1].task.done)
    await assert_none_survives()
    await assert_nothing_is_held(fleet)


async def test_stopped_sidecar_holds_nothing_unsent_to_its_peers(fleet, monkeypatch):
    """Guards against a count that the last periodic check before the stop has left."""
    sidecar = fleet.nodes[1].sidecar
    monkeypatch.setattr(sidecar._links, "unsent_bytes", lambda: 1_000)
    await until(lambda: sidecar._held.total_bytes)
    sidecar._stopping.set()
    await until(fleet.nodes[1].task.done)
    await assert_nothing_is_held(fleet)
