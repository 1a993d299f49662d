"""Tests of the HTTP client: no resent requests and no mixed-up responses."""

import asyncio

import pytest

from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.asgi import read_body, respond
from sassafraswinch_standins.http_client import ExchangeError, HttpClient
from sassafraswinch_standins.serving import serving


async def echo(scope, receive, send):
    body = await read_body(receive)
    if scope["path"] == "/slow":
        await asyncio.sleep(0.05)
    await respond(send, 200, scope["path"].encode() + body)


async def test_connections_are_reused_and_responses_complete():
    client = HttpClient()
    async with serving(echo) as address:
        for size in (0, 10, 1_000_000):
            answer = await client.request(
                address=address, method="POST", target="/p", body=b"x" * size
            )
            assert answer.body == b"/p" + b"x" * size
        assert len(client._idle[address]) == 1
        client.close()


async def test_cancelled_request_leaves_no_response_in_the_pool():
    """A request times out while its response is in transit.

    If the connection were reused, the next request would receive the late response to
    the first one. A timeout or cancellation therefore closes the connection.
    """
    client = HttpClient()
    async with serving(echo) as address:
        await client.request(address=address, method="GET", target="/warm")
        with pytest.raises(TimeoutError):
            await client.request(
                address=address, method="GET", target="/slow", timeout_ms=5
            )
        await asyncio.sleep(0.1)
        answer = await client.request(address=address, method="GET", target="/mine")
        assert answer.body == b"/mine"
        client.close()


async def test_dropped_connection_is_not_resent():
    """A server reads a GET on a reused connection and closes without a response.

    A client that resends would execute the request twice. This client reports
    MAY_HAVE_RUN, and the server receives the request once.
    """
    seen = []

    async def serve_one(reader, writer):
        request = await reader.readuntil(b"\r\n\r\n")
        seen.append(request)
        if len(seen) == 1:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            seen.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    server = await asyncio.start_server(serve_one, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    client = HttpClient()
    await client.request(address=address, method="GET", target="/1")
    with pytest.raises(ExchangeError) as caught:
        await client.request(address=address, method="GET", target="/2")
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(seen) == 2
    server.close()
    await server.wait_closed()
    with pytest.raises(ExchangeError) as caught:
        await client.request(address=address, method="GET", target="/3")
    assert caught.value.verdict is Verdict.NOT_RUN
