"""Requests that tests send with the HTTP client."""

import asyncio

from sassafraswinch_sidecar.http_client import Exchange

from .fleet import request_bytes


def new_exchange(request_id="r-1", method="GET"):
    """Return an exchange, and the future of its response or fault."""
    done = asyncio.get_running_loop().create_future()
    expected = request_id.encode()

    def is_own(response):
        return (b"x-request-id", expected) in [(n, v) for n, _, v in response.fields]

    exchange = Exchange(
        request_bytes(request_id=request_id, method=method),
        method.encode(),
        is_own,
        lambda _, end: done.set_result(end),
        request_id=expected,
        deadline_ms=asyncio.get_running_loop().time() * 1000 + 3_000.0,
    )
    return exchange, done


async def send_request(client, request_id="r-1", method="GET", **options):
    """Send a request; return its response or fault."""
    exchange, done = new_exchange(request_id, method)
    client.send(exchange, **options)
    return await asyncio.wait_for(done, 20)
