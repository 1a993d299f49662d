"""HTTP/1.1 messages as the stand-ins read and write them."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response that was read completely."""

    first_line: list[str]
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0].split(" ", 2), fields)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message whose length is given; None if the connection ends before it."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.fields.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


def serialize_response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Serialize a response with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
