"""A backend server whose every answer a test can choose."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools


@dataclass
class SeenRequest:
    """A request that arrived."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""

    @property
    def request_id(self) -> bytes:
        return self.headers[b"x-request-id"]


def answer(
    seen: SeenRequest,
    *,
    status: int = 200,
    body: bytes = b"whole body",
    fields: bytes = b"",
    signed: bool = True,
    request_id: bytes | None = None,
) -> bytes:
    """Return the bytes of an answer."""
    signature = b"X-Signature: s.1\r\n" if signed else b""
    return (
        b"HTTP/1.1 %d Any\r\nX-Request-Id: %b\r\n%b%bContent-Length: %d\r\n\r\n%b"
        % (
            status,
            request_id or seen.request_id,
            signature,
            fields,
            len(body),
            body,
        )
    )


def serve_as(instance_id: str) -> "Behaviour":
    """Return the behaviour of an instance, which refuses requests for others."""

    def behave(connection: "Connection", seen: SeenRequest) -> None:
        if seen.headers[b"x-expected-instance"] == instance_id.encode():
            connection.transport.write(answer(seen))
            return
        told = b"X-Instance: %b\r\n" % instance_id.encode()
        connection.transport.write(answer(seen, status=421, fields=told, signed=False))

    return behave


class Connection(asyncio.Protocol):
    """One connection of a backend server."""

    def __init__(self, backend: "Backend"):
        self.backend = backend
        self.seen: SeenRequest | None = None

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.backend.connections.append(self)

    def connection_lost(self, exc):
        self.backend.closed.append(self)

    def data_received(self, data):
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.seen = SeenRequest(method=b"", target=b"")

    def on_url(self, url):
        self.seen.target += url

    def on_header(self, name, value):
        self.seen.headers[name.lower()] = value

    def on_body(self, body):
        self.seen.body += body

    def on_message_complete(self):
        self.seen.method = self.parser.get_method()
        self.backend.seen.append(self.seen)
        self.backend.behaviour(self, self.seen)


Behaviour = Callable[[Connection, SeenRequest], None]
"""Gives a request its answer, or none."""


class Backend:
    """Listens at an address; ``behaviour`` says what each request gets."""

    def __init__(self):
        self.seen: list[SeenRequest] = []
        self.connections: list[Connection] = []
        self.closed: list[Connection] = []
        self.behaviour: Behaviour = self.serve

    @staticmethod
    def serve(connection: Connection, seen: SeenRequest) -> None:
        """Answer at once."""
        connection.transport.write(answer(seen))

    async def open(self, ip: str, port: int = 0) -> int:
        """Listen at a port, by default at any free one, and return it."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Connection(self), ip, port)
        return self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.transport.abort()
