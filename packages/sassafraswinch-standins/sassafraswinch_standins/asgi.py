"""Small helpers for applications that speak ASGI without a framework."""

from collections.abc import Awaitable, Callable
from typing import Any

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


async def respond(
    send: Send, status: int, body: bytes, *headers: tuple[bytes, bytes]
) -> None:
    """Send a whole answer."""
    length = (b"content-length", b"%d" % len(body))
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def cut_short(send: Send, body: bytes) -> None:
    """Send an answer that breaks off in the middle.

    It announces twice the bytes that it sends; uvicorn closes the connection of an
    application that returns before its answer is whole.
    """
    length = (b"content-length", b"%d" % (2 * len(body)))
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    await send({"type": "http.response.body", "body": body, "more_body": True})


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    chunks = []
    more = True
    while more:
        event = await receive()
        chunks.append(event.get("body", b""))
        more = event.get("more_body", False)
    return b"".join(chunks)


async def disconnected(receive: Receive) -> None:
    """Wait until the connection of the request is closed."""
    while (await receive())["type"] != "http.disconnect":
        pass
