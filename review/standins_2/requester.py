"""Stand-in for requesters: one request on a new or a kept connection."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Result:
    """Outcome of a request; status 0 is a connection that ended without an answer."""

    id: str
    sent_s: float
    done_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


def encode(
    request_id: str,
    target: str,
    *,
    method: str = "GET",
    host: str = "shop.example",
    deadline_ms: int | None = 5000,
    body: bytes = b"",
    fields: str = "",
) -> bytes:
    """Serialize a request."""
    limit = "" if deadline_ms is None else f"Deadline-Ms: {deadline_ms}\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
        f"{limit}{fields}{length}\r\n"
    )
    return head.encode() + body


async def read_answer(reader, result: Result, method: str = "GET") -> Result:
    """Read one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    result.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            result.headers[name.lower()] = value.strip()
    length = int(result.headers.get("content-length", "0"))
    result.body = await reader.readexactly(length)
    result.done_s = asyncio.get_running_loop().time()
    return result


async def send(
    ip: str, port: int, request_id: str, target: str, *, wait_s: float = 15.0, **kinds
) -> Result:
    """Send a request on a new connection and wait for its answer."""
    loop = asyncio.get_running_loop()
    result = Result(request_id, loop.time())
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode(request_id, target, **kinds))
            await read_answer(reader, result)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        result.error = repr(error)
        result.done_s = loop.time()
    finally:
        if writer is not None:
            writer.close()
    return result
