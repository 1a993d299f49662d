"""Helper functions for ASGI applications that use no web framework."""

from collections.abc import Awaitable, Callable
from typing import Any

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


async def respond(
    send: Send, status: int, body: bytes, *headers: tuple[bytes, bytes]
) -> None:
    """Send a complete response."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def send_truncated(send: Send, body: bytes) -> None:
    """Send a truncated response.

    The content length is twice the number of bytes sent; uvicorn closes the
    connection of an application that returns before its response is complete.
    """
    length = (b"content-length", b"%d" % (2 * len(body)))
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def read_body(receive: Receive) -> bytes:
    """Return the full body of a request."""
    chunks = []
    more = True
    while more:
        event = await receive()
        chunks.append(event.get("body", b""))
        more = event.get("more_body", False)
    return b"".join(chunks)


async def wait_disconnected(receive: Receive) -> None:
    """Wait until the client closes the connection of the request."""
    while (await receive())["type"] != "http.disconnect":
        pass
