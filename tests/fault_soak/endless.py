"""Answers without end, and bytes that are no answer."""

import asyncio
import itertools
import math
import random
from collections.abc import Iterator

PART_BYTES = 4096
"""Length of what is written at once."""

SPEED_BYTES_PER_S = (1.0, 1e9)
"""Slowest and fastest answer; loopback carries less than the fastest."""

MAX_BUFFERED_BYTES = 1_000_000

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def draw_answer(rng: random.Random, request_id: str) -> Iterator[bytes]:
    """Return the parts of an answer that never ends, of a random kind."""
    head = b"HTTP/1.1 200 Any\r\nRequest-Id: %b\r\n" % request_id.encode()
    other = b"HTTP/1.1 200 Any\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother"
    first, more = rng.choice(
        [
            (b"HTTP/1.1 200 ", b"x"),
            (head + b"X-Long: ", b"x"),
            (head, b"X-More: yes\r\n"),
            (b"", b"HTTP/1.1 103 Any\r\n\r\n"),
            (b"", other),
            (b"", b"\r\n"),
            (b"", b"no protocol"),
            (head + _CHUNKED + b"5;e=", b"x"),
            (head + _CHUNKED, b"1\r\nx\r\n"),
            (head + _CHUNKED, b"1000\r\n" + b"x" * 0x1000 + b"\r\n"),
            (head + _CHUNKED + b"1\r\nx\r\n0\r\n", b"X-More: yes\r\n"),
            (head + b"\r\n", b"x"),
        ]
    )
    part = more * (PART_BYTES // len(more) + 1)
    return itertools.chain([first], itertools.repeat(part))


async def send_answer(
    transport: asyncio.Transport, parts: Iterator[bytes], rng: random.Random
) -> None:
    """Send an answer at a random speed until its connection is closed."""
    per_s = math.exp(rng.uniform(*map(math.log, SPEED_BYTES_PER_S)))
    while not transport.is_closing():
        if transport.get_write_buffer_size() < MAX_BUFFERED_BYTES:
            transport.write(next(parts))
        await asyncio.sleep(PART_BYTES / per_s)
