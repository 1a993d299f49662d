"""The HTTP/1.1 edge towards callers: whole requests in, whole responses out."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.http_fields import Fields, has_body, status_line
from sassafraswinch_sidecar.routes import RequestLimits

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Pause between checks of the connections' timeouts, which are seconds long."""

WRITE_TIMEOUT_MS = 20_000.0
"""Time after which a caller that reads nothing of its answer is cut off: what is
held for it counts toward this process's memory."""

NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_FIELD = b"Retry-After: 1\r\n"
"""Time after which callers whose bodies there is no room for are told to come back:
what is held is read within seconds, or its connection is closed."""

MAX_PIPELINED_REQUESTS = 8
"""Requests read ahead on one connection; then it isn't read until one is answered."""


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A whole request of a caller."""

    method: bytes
    target: bytes
    # Not shown: they hold keys.
    fields: Fields = field(repr=False)
    body: bytes
    keep_alive: bool
    arrived_ms: float


class RequestHandler(Protocol):
    """Takes the requests of all connections."""

    def handle(self, request: HttpRequest, connection: "CallerConnection") -> None:
        """Take a request; ``connection.respond`` gives its only answer."""

    def caller_disconnected(self, request: HttpRequest) -> None:
        """The caller closed its connection before the answer."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its requests are handled one after the other."""

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], RequestLimits],
        held: HeldBytes,
        connections: set["CallerConnection"],
        closing: Callable[[], bool],
    ):
        self._handler = handler
        self._held = held
        self._body_bytes_held = 0
        self._unread_bytes = 0
        self._limits = limits
        self._connections = connections
        self._closing = closing
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ready: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._in_message = False
        self._in_header = False
        self._ended = False
        self._begin_ms = self._idle_since_ms = self._loop.time() * 1000
        self._write_blocked_ms: float | None = None
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: Fields = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._header_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over the transport (asyncio.Protocol)."""
        self._transport = transport
        # Told at each change between some unread bytes and none, however few.
        transport.set_write_buffer_limits(high=0)
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that nobody waits any more (asyncio.Protocol)."""
        self._connections.discard(self)
        self._ended = True
        self._ready.clear()
        self._release(self._body_bytes_held)
        self._note_unread(0)
        current, self._current = self._current, None
        if current is not None:
            self._handler.caller_disconnected(current)

    def data_received(self, data: bytes) -> None:
        """Parse what was read (asyncio.Protocol)."""
        if self._ended:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        else:
            self._check_header_size(len(data))
        self._next()

    def pause_writing(self) -> None:
        """Note that the caller reads slowly (asyncio.Protocol)."""
        self._write_blocked_ms = self._loop.time() * 1000

    def resume_writing(self) -> None:
        """Note that the caller reads again (asyncio.Protocol)."""
        self._write_blocked_ms = None
        self._note_unread(self._unread_bytes_now())

    def on_message_begin(self) -> None:
        """Begin a request (httptools)."""
        self._reset_message()
        self._in_message = self._in_header = True
        self._begin_ms = self._loop.time() * 1000

    def on_url(self, url: bytes) -> None:
        """Take a part of the target (httptools)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field (httptools)."""
        self._fields.append((name.lower(), name, value))

    def on_headers_complete(self) -> None:
        """Check what the header alone tells (httptools)."""
        self._in_header = False
        limits = self._limits()
        size = 0
        for lowered, _, value in self._fields:
            size += len(lowered) + len(value) + 4
            if lowered == b"content-length":
                self._check_length(int(value))
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if size > limits.max_header_bytes:
            self._refuse(431)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (httptools)."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._refuse(413)
        elif not self._held.fits(len(body)):
            self._refuse(NO_MEMORY_STATUS)
        elif not self._ended:
            self._body.append(body)
            self._body_bytes_held += len(body)
            self._held.hold(len(body))

    def on_message_complete(self) -> None:
        """Queue a whole request (httptools)."""
        self._in_message = False
        if self._ended:
            return
        request = HttpRequest(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            body=b"".join(self._body),
            keep_alive=self._parser.should_keep_alive(),
            arrived_ms=self._loop.time() * 1000,
        )
        self._reset_message()
        self._ready.append(request)
        if (
            len(self._ready) > MAX_PIPELINED_REQUESTS
            and not self._transport.is_closing()
        ):
            self._transport.pause_reading()

    def respond(
        self,
        request: HttpRequest,
        *,
        status: int,
        header_lines: bytes,
        body: bytes = b"",
    ) -> None:
        """Write the answer of the request that was handed over last.

        Args:
            request: the request; an answer to one whose caller has left is dropped.
            status: status code.
            header_lines: fields of the answer but for its framing.
            body: the whole body.
        """
        if request is not self._current:
            return
        self._current = None
        self._release(len(request.body))
        keep = request.keep_alive and not self._closing()
        if has_body(status, request.method):
            framing = b"Content-Length: %d\r\n" % len(body)
        else:
            framing, body = b"", b""
        if not keep:
            framing += b"Connection: close\r\n"
        self._write(
            b"".join((status_line(status), header_lines, framing, b"\r\n", body))
        )
        self._note_unread(self._unread_bytes_now())
        self._idle_since_ms = self._loop.time() * 1000
        if not keep:
            self._end()
        elif self._ready:
            self._loop.call_soon(self._next)

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection where the caller has let a timeout pass."""
        limits = self._limits()
        if self._write_blocked_ms is not None:
            if now_ms - self._write_blocked_ms > WRITE_TIMEOUT_MS:
                self._transport.abort()
        elif self._current is not None:
            return
        elif self._in_message:
            if now_ms - self._begin_ms > limits.header_timeout_ms:
                self._refuse(408)
        elif now_ms - self._idle_since_ms > limits.idle_timeout_ms:
            self._end()

    def close_idle(self) -> None:
        """Close the connection if no request is under way on it."""
        if self._current is None and not self._ready and not self._in_message:
            self._end()

    def _next(self) -> None:
        if self._current is not None or self._ended or not self._ready:
            return
        if (
            len(self._ready) > MAX_PIPELINED_REQUESTS
            and not self._transport.is_closing()
        ):
            self._transport.resume_reading()
        self._current = self._ready.popleft()
        self._handler.handle(self._current, self)

    def _check_header_size(self, read_bytes: int) -> None:
        """Refuse a header that never ends, before all of it is held."""
        if not self._in_header:
            return
        self._header_bytes += read_bytes
        if self._header_bytes > 2 * self._limits().max_header_bytes:
            self._refuse(431)

    def _check_length(self, length_bytes: int) -> None:
        """Refuse a body that is too long before any of it is read."""
        if length_bytes > self._limits().max_body_bytes:
            self._refuse(413)
        elif length_bytes and not self._held.fits(length_bytes):
            self._refuse(NO_MEMORY_STATUS)

    def _refuse(self, status: int) -> None:
        if self._ended:
            return
        if self._current is None and not self._ready:
            fields = NO_MEMORY_RETRY_FIELD if status == NO_MEMORY_STATUS else b""
            self._write(
                status_line(status)
                + fields
                + b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            self._end()
        else:
            # The requests before the broken one still get their answers.
            if not self._transport.is_closing():
                self._transport.pause_reading()
            for request in (self._current, *self._ready):
                if request is not None:
                    request.keep_alive = False

    def _write(self, data: bytes) -> None:
        """Write, unless the connection is closing and ``connection_lost`` is due.

        The event loop raises an error for a handle that is closed already.
        """
        if not self._transport.is_closing():
            self._transport.write(data)

    def _unread_bytes_now(self) -> int:
        if self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def _release(self, body_bytes: int) -> None:
        self._body_bytes_held -= body_bytes
        self._held.release(body_bytes)

    def _note_unread(self, unread_bytes: int) -> None:
        """Count the part of the answers that the caller hasn't read yet."""
        self._held.hold(unread_bytes - self._unread_bytes)
        self._unread_bytes = unread_bytes

    def _end(self) -> None:
        self._ended = True
        self._transport.close()


class HttpListener:
    """A listening socket and its connections.

    Args:
        handler: takes the requests.
        limits: returns the bounds in force.
        held: counts the bytes that this process holds.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], RequestLimits],
        held: HeldBytes,
    ):
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self._handler = handler
        self._limits = limits
        self._held = held
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task | None = None

    async def open(self, ip: str, port: int, *, backlog: int = 1024) -> None:
        """Listen at an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connection, ip, port, backlog=backlog, reuse_address=True
        )
        self._sweeper = loop.create_task(self._sweep())

    def drain(self) -> None:
        """Answer each further request with the close of its connection."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_idle()

    async def close(self) -> None:
        """Stop listening and drop what is open."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()

    def _connection(self) -> CallerConnection:
        return CallerConnection(
            handler=self._handler,
            limits=self._limits,
            held=self._held,
            connections=self.connections,
            closing=lambda: self.closing,
        )

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now_ms = loop.time() * 1000
            for connection in list(self.connections):
                connection.check_timeouts(now_ms)
