"""Fixtures: a scripted HTTP server and a fleet of real processes."""

import asyncio
import socket
import struct

import pytest

from sassafraswinch_standins.chain import chain
from sassafraswinch_standins.fleet import Fleet


class ScriptedServer:
    """HTTP server that sends the next scripted reply to each request.

    A reply is bytes to send; None closes the connection without a reply, and a reply
    that ends with ``END`` closes the connection after it, one that ends with ``RESET``
    resets it.
    """

    END = b"<end>"
    RESET = b"<reset>"

    def __init__(self):
        self.requests = []
        self.replies = []
        self.reads_bodies = True
        self.connections = 0
        self.closed = asyncio.Event()
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                self.requests.append(await self.read_request(reader))
                reply = self.replies.pop(0)
                if reply is None:
                    break
                writer.write(reply.removesuffix(self.END).removesuffix(self.RESET))
                if reply.endswith(self.END):
                    break
                if reply.endswith(self.RESET):
                    self.reset(writer)
                    break
                if not self.reads_bodies:
                    await self.closed.wait()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        writer.close()

    def reset(self, writer):
        raw = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        size = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        if not self.reads_bodies:
            return head
        return head + await reader.readexactly(int(size or 0))


@pytest.fixture
async def server():
    server = ScriptedServer()
    server.address = await server.start()
    yield server
    server.server.close()
    for writer in server.writers:
        writer.transport.abort()


@pytest.fixture(scope="session")
def shared_fleet(tmp_path_factory):
    """Fleet for tests that restore its state, since starting one takes seconds."""
    directory = tmp_path_factory.mktemp("shared")
    with Fleet(graph=chain(overview=True), directory=directory) as fleet:
        yield fleet
