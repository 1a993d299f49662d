"""HTTP server whose answers never end, in the ways that a faulty server's don't."""

import asyncio
import itertools
from collections.abc import Iterator

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

FRAMING = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 512),
    "field": (OK + b"X-Long: ", b"x" * 512),
    "field name": (OK, b"x" * 512),
    "fields": (OK, b"X-More: yes\r\n" * 40),
    "short fields": (OK, b"a:\r\n" * 128),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 10),
    "line ends": (b"", b"\r\n" * 256),
    "no protocol": (b"", bytes(range(256)) * 2),
    "chunk size": (CHUNKED, b"0" * 512),
    "chunk extension": (CHUNKED + b"5;e=", b"x" * 512),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 85),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Long: ", b"x" * 512),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-More: yes\r\n" * 40),
}
"""Start of an answer, and what follows it for ever, of which little or none is body."""

BODIES = {
    "chunks": (CHUNKED, b"1000\r\n" + b"x" * 0x1000 + b"\r\n"),
    "until close": (OK + b"\r\n", b"x" * 4096),
    "stated length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"x" * 4096),
}
"""The same of answers whose body doesn't end."""

PART_BYTES = 64 * 1024
"""Length of what is written at once."""


class EndlessServer:
    """Sends one answer for ever, or a whole one once ``endless`` is None.

    Args:
        answer: the whole answer.

    Attributes:
        endless: start of the answer, and what follows it for ever.
        sent_bytes: bytes that its connections took.
        connections: connections that were accepted.
        open: those of them that are open.
    """

    def __init__(self, *, answer: bytes = OK + b"Content-Length: 2\r\n\r\nok"):
        self.answer = answer
        self.endless: tuple[bytes, bytes] | None = None
        self.sent_bytes = 0
        self.connections = 0
        self.open = 0
        self._transports: set[asyncio.BaseTransport] = set()

    async def start(self) -> tuple[str, int]:
        """Listen on loopback; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for transport in list(self._transports):
            transport.abort()
        await self.all_closed()

    def next_answer(self) -> bytes:
        """Return the whole answer to the next request."""
        return self.answer

    async def all_closed(self) -> None:
        """Wait until the clients have closed all connections."""
        while self.open:
            await asyncio.sleep(0.01)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._transports.add(writer.transport)
        self.connections += 1
        self.open += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if self.endless is None:
                    writer.write(self.next_answer())
                else:
                    await self._send_endlessly(writer, _parts(*self.endless))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            self._transports.discard(writer.transport)
            writer.close()

    async def _send_endlessly(
        self, writer: asyncio.StreamWriter, parts: Iterator[bytes]
    ) -> None:
        for part in parts:
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)
            await asyncio.sleep(0)


def _parts(first: bytes, more: bytes) -> Iterator[bytes]:
    part = more * (PART_BYTES // len(more) + 1)
    return itertools.chain([first], itertools.repeat(part))
