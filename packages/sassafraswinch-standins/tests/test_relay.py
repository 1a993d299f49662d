"""Tests of the TCP relay and its faults."""

import asyncio

import pytest

from sassafraswinch_standins.relay import Relay
from sassafraswinch_standins.relay_settings import Direction, Fault, RouteSettings


class EchoServer:
    """Handler that echoes and records the data it receives."""

    def __init__(self):
        self.received = b""

    async def __call__(self, reader, writer):
        while data := await reader.read(1000):
            self.received += data
            writer.write(data)
        writer.close()


@pytest.fixture
async def echo():
    return EchoServer()


@pytest.fixture
async def route(echo):
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    target = "{}:{}".format(*server.sockets[0].getsockname())
    relay = Relay(routes=[RouteSettings(name="r", target=target)])
    await relay.start()
    yield relay.routes["r"]
    relay.stop()
    server.close()


async def open_connection(route):
    host, _, port = route.address.partition(":")
    return await asyncio.open_connection(host, int(port))


async def request(connection, data, timeout_s=5.0):
    reader, writer = connection
    writer.write(data)
    async with asyncio.timeout(timeout_s):
        return await reader.readexactly(len(data))


async def test_forwards_bytes_in_order_when_the_delay_changes(route):
    connection = await open_connection(route)
    assert await request(connection, b"one") == b"one"
    route.delay_ms = 50
    connection[1].write(b"slow ")
    await asyncio.sleep(0.01)
    route.delay_ms = 0
    assert await request(connection, b"fast ") + await connection[0].readexactly(5) == (
        b"slow fast "
    )
    connection[1].close()


async def test_open_connection_is_silent_while_new_ones_work(route, echo):
    """A middlebox drops the state of a connection; both ends keep it open, silently."""
    old = await open_connection(route)
    assert await request(old, b"a") == b"a"
    route.set_fault(Fault.SILENT, only_open=True)
    with pytest.raises(TimeoutError):
        await request(old, b"lost", timeout_s=0.05)
    assert not old[0].at_eof()
    assert await request(await open_connection(route), b"new") == b"new"
    assert b"lost" not in echo.received


async def test_one_direction_silent(route, echo):
    """Responses are dropped while requests still arrive."""
    connection = await open_connection(route)
    assert await request(connection, b"a") == b"a"
    route.set_fault(Fault.SILENT, direction=Direction.TO_CLIENT)
    with pytest.raises(TimeoutError):
        await request(connection, b"heard", timeout_s=0.1)
    assert echo.received == b"aheard"


async def test_cut_resets_and_refuses(route):
    connection = await open_connection(route)
    assert await request(connection, b"a") == b"a"
    route.set_fault(Fault.CUT)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await request(connection, b"b")
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await request(await open_connection(route), b"c")
    route.set_fault(Fault.NONE)
    assert await request(await open_connection(route), b"d") == b"d"


async def test_held_connection_delivers_all_in_order_once_the_fault_ends(route, echo):
    """A middlebox holds the data of an open connection and delivers it much later.

    New connections are not affected.
    """
    connection = await open_connection(route)
    assert await request(connection, b"one") == b"one"
    route.set_fault(Fault.HELD)
    connection[1].write(b"two ")
    assert await request(await open_connection(route), b"new") == b"new"
    while not route.held:
        await asyncio.sleep(0.01)
    assert b"two" not in echo.received
    connection[1].write(b"three")
    route.set_fault(Fault.NONE)
    assert await connection[0].readexactly(9) == b"two three"
    assert route.held == 0
