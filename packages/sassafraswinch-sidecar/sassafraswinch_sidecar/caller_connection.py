"""HTTP/1.1 connection of a caller; requests and responses are buffered completely."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from sassafraswinch_node.listening_sockets import (
    FIRST_REQUEST_TIMEOUT_MS,
    Connection,
    has_unread_bytes,
)
from sassafraswinch_sidecar.connection_limit import ConnectionLimit
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.http_fields import Fields, has_body, status_line
from sassafraswinch_sidecar.parse_turns import SLICE_BYTES, ParseTurns
from sassafraswinch_sidecar.routes import RequestLimits

WRITE_TIMEOUT_MS = 20_000.0
"""Time after which a caller that doesn't read its response is disconnected: the unread
bytes count toward this process's memory limit."""

DRAIN_IDLE_TIMEOUT_MS = 3_000.0
"""Idle time after which a draining listener closes a connection. Callers that use it
more often learn of the stop from a response."""

LINGER_TIMEOUT_MS = 300.0
"""Time for which a connection that this process ends is read for its caller's end."""

NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_FIELD = b"Retry-After: 1\r\n"
"""Retry delay for callers whose bodies exceed the memory limit: the buffered data is
read within seconds, or its connection is closed."""

WRITTEN_APART_BYTES = 64 * 1024
"""Length from which a body isn't copied into one buffer with its header."""

MAX_FRAMING_SHARE = 2
"""Bytes of one request besides its body, as a multiple of ``max_header_bytes``: head,
empty lines before it, chunk extensions and trailers together. Fields count without
their white space, so that a head within its limit may be longer on the wire."""

CHUNK_FRAMING_BYTES = 12
"""Length of the size line and the line end of a chunk, which don't count as framing: a
body may come in chunks of one byte."""

FIELD_FRAMING_BYTES = 3
"""Length of the colon and the line end of a header field."""

MAX_PARSED_FIELDS = 64
"""Header fields of one request that are kept parsed while it is received or waits; more
are kept as text, since each costs some 200 bytes beside it."""

READ_BYTES = 16 * 1024
"""Largest number of bytes read from a connection at once."""

READ_AHEAD_BYTES = 16 * 1024
"""Number of received bytes beyond the request in progress from which reading pauses."""

_READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Buffer of all reads; what isn't parsed at once is copied."""


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A complete request of a caller.

    Attributes:
        method: its method.
        target: its path and query.
        fields: its header fields.
        body: its body.
        keep_alive: whether its caller may send another one.
        arrived_ms: event loop time at which it was complete.
        packed_fields: further header fields as text, until it is handled.
        held_bytes: what it adds to the count of held bytes.
    """

    method: bytes
    target: bytes
    # Excluded from the repr: header fields hold API keys.
    fields: Fields = field(repr=False)
    body: bytes | bytearray
    keep_alive: bool
    arrived_ms: float
    packed_fields: bytearray = field(default_factory=bytearray, repr=False)
    held_bytes: int = 0

    def unpack_fields(self) -> None:
        """Parse the header fields that are kept as text."""
        lines = iter(self.packed_fields.split(b"\n")[:-1])
        for name, value in zip(lines, lines, strict=True):
            self.fields.append((bytes(name.lower()), bytes(name), bytes(value)))
        self.packed_fields = bytearray()

    def drop_fields(self, *, kept: bytes) -> None:
        """Forget the header fields but those of one name, in lower case."""
        self.fields = [each for each in self.fields if each[0] == kept]


class RequestHandler(Protocol):
    """Handles the requests of all connections."""

    def handle(self, request: HttpRequest, connection: "CallerConnection") -> None:
        """Handle a request; ``connection.respond`` must be called at most once."""

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Handle that the caller closed its connection before the response."""


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller; its requests are handled one at a time, in order.

    Nothing is parsed while a request is in progress or a response is unread: bytes that
    were received meanwhile are kept as they came, and reading pauses beyond a bound.
    Failure: callers send requests faster than they are answered, or read no answer, and
    the parsed requests fill the memory.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], RequestLimits],
        held: HeldBytes,
        connections: set["CallerConnection"],
        turns: ParseTurns,
        connection_limit: ConnectionLimit,
        closing: Callable[[], bool],
    ):
        self._handler = handler
        self._held = held
        self._held_bytes = 0
        self._unread_bytes = 0
        self._unparsed = bytearray()
        self._is_read_paused = False
        self._turns = turns
        self._slice_body_bytes = 0
        self._slice_chunks = 0
        self._message_number = 0
        self._max_header_bytes = 0
        self._limits = limits
        self._connections = connections
        self._connection_limit = connection_limit
        self._closing = closing
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queued_requests: deque[HttpRequest] = deque()
        self._current: HttpRequest | None = None
        self._in_message = False
        self._in_header = False
        self._has_received = False
        self._is_invalid = False
        self._closed = False
        self._closed_ms: float | None = None
        self._message_began_ms = self._idle_since_ms = self._loop.time() * 1000
        self._write_blocked_ms: float | None = None
        self._reset_message()

    @property
    def socket(self) -> Connection:
        """The connection's socket; only its descriptor may be used."""
        return self._transport.get_extra_info("socket")

    @property
    def idle_since_ms(self) -> float | None:
        """Time since which it is without a request (LimitedConnection)."""
        if self._write_blocked_ms is not None or not self._may_parse():
            return None
        if self._in_message or self._unparsed:
            return None
        return self._idle_since_ms

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes weren't read yet (LimitedConnection)."""
        return has_unread_bytes(self.socket)

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: Fields = []
        self._packed_fields = bytearray()
        # Grows without a copy at the end, which would hold up all other requests.
        self._body = bytearray()
        self._body_bytes = 0
        self._length_bytes: int | None = None
        self._header_bytes = 0
        self._framing_bytes = 0
        self._stated_bytes: int | None = None
        self._awaits_continue = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store and configure the transport (BaseProtocol)."""
        self._transport = transport
        # pause_writing and resume_writing are called whenever the write buffer changes
        # between empty and not empty.
        transport.set_write_buffer_limits(high=0)
        self._connections.add(self)
        self._connection_limit.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release buffers and notify the handler (BaseProtocol)."""
        self._connections.discard(self)
        self._connection_limit.discard(self)
        self._closed = True
        self._queued_requests.clear()
        self._discard_unparsed()
        self._turns.discard(self)
        # The parser refers to this connection.
        self._parser = None
        self._reset_message()
        self._release(self._held_bytes)
        self._record_unread_bytes(0)
        current, self._current = self._current, None
        if current is not None:
            self._handler.caller_disconnected(current)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read (BufferedProtocol)."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse or keep received bytes (BufferedProtocol)."""
        if self._closed or self._is_invalid:
            return
        self._has_received = True
        received = _READ_BUFFER[:nbytes]
        if not self._unparsed and self._may_parse():
            length = self._slice_length(nbytes)
            self._parse(received[:length])
            received = received[length:]
        if received and not self._closed and not self._is_invalid:
            self._keep_unparsed(received)

    def parse_slice(self) -> bool:
        """Handle the next request, or parse a slice (ParsingConnection)."""
        self._handle_next()
        if not self._unparsed or not self._may_parse():
            return False
        length = self._slice_length(len(self._unparsed))
        part = bytes(self._unparsed[:length])
        del self._unparsed[:length]
        self._release(length)
        if not self._unparsed:
            self._resume_reading()
        self._parse(part)
        return bool(self._unparsed or self._queued_requests) and self._may_continue()

    def _parse(self, part: bytes | memoryview) -> None:
        # A request that begins within the slice is charged from the next one on.
        message_number = self._message_number
        self._slice_body_bytes = self._slice_chunks = 0
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            self._refuse(400)
        else:
            if message_number == self._message_number:
                self._charge_framing(len(part))
        self._handle_next()

    def _may_continue(self) -> bool:
        """Return whether the next request of this connection may be handled."""
        return self._current is None and self._write_blocked_ms is None

    def _may_parse(self) -> bool:
        return not self._queued_requests and self._may_continue()

    def _slice_length(self, available_bytes: int) -> int:
        """Return how much to parse at once: a body is taken in without parsing."""
        if self._length_bytes is not None and not self._in_header:
            body_bytes = self._length_bytes - self._body_bytes
            return min(available_bytes, max(body_bytes, SLICE_BYTES))
        return min(available_bytes, SLICE_BYTES)

    def _keep_unparsed(self, received: memoryview) -> None:
        self._unparsed += received
        self._hold(len(received))
        if len(self._unparsed) >= READ_AHEAD_BYTES and not self._is_read_paused:
            self._is_read_paused = True
            if not self._transport.is_closing():
                self._transport.pause_reading()
        if self._may_continue():
            self._turns.add(self)

    def _resume_reading(self) -> None:
        if self._is_read_paused:
            self._is_read_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _discard_unparsed(self) -> None:
        unparsed_bytes = len(self._unparsed)
        self._unparsed = bytearray()
        self._release(unparsed_bytes)

    def pause_writing(self) -> None:
        """Record the time since which the caller reads slowly (BaseProtocol)."""
        self._write_blocked_ms = self._loop.time() * 1000

    def resume_writing(self) -> None:
        """Record that the caller has read all that was written (BaseProtocol)."""
        self._write_blocked_ms = None
        if self._closed_ms is not None:
            self._closed_ms = self._loop.time() * 1000
        self._record_unread_bytes(self._write_buffer_bytes())
        if self._queued_requests or self._unparsed:
            self._turns.add(self)

    def on_message_begin(self) -> None:
        """Start a new request (httptools)."""
        self._max_header_bytes = self._limits().max_header_bytes
        self._in_message = self._in_header = True
        self._message_began_ms = self._loop.time() * 1000

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (httptools)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field within the limit; discard a trailer (httptools)."""
        if not self._in_header or self._closed or self._is_invalid:
            return
        lowered = name.lower()
        if lowered == b"content-length":
            self._stated_bytes = int(value)
        elif lowered == b"expect" and value.lower() == b"100-continue":
            self._awaits_continue = True
        self._header_bytes += len(name) + len(value) + FIELD_FRAMING_BYTES
        if self._header_bytes > self._max_header_bytes:
            self._refuse(431)
        elif len(self._fields) < MAX_PARSED_FIELDS:
            self._fields.append((lowered, name, value))
        else:
            self._pack_field(name, value)

    def _pack_field(self, name: bytes, value: bytes) -> None:
        packed = b"%b\n%b\n" % (name, value)
        if self._held.fits(len(packed)):
            self._packed_fields += packed
            self._hold(len(packed))
        else:
            self._refuse(NO_MEMORY_STATUS)

    def on_headers_complete(self) -> None:
        """Check the stated body length (httptools)."""
        self._in_header = False
        if self._stated_bytes is not None:
            self._check_length(self._stated_bytes)
        if self._awaits_continue:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_chunk_header(self) -> None:
        """Count a chunk of the body (httptools)."""
        self._slice_chunks += 1

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body within the limits (httptools)."""
        self._body_bytes += len(body)
        self._slice_body_bytes += len(body)
        if self._body_bytes > self._limits().max_body_bytes:
            self._refuse(413)
        elif not self._fits(len(body)):
            self._refuse(NO_MEMORY_STATUS)
        elif not self._closed:
            self._body += body
            self._hold(len(body))

    def _fits(self, more_bytes: int) -> bool:
        """Return whether the memory limit allows a part of the body.

        A body whose length is known was accepted as a whole.
        """
        if self._length_bytes is not None:
            return self._held.fits_accepted(more_bytes)
        return self._held.fits(more_bytes)

    def on_message_complete(self) -> None:
        """Queue the complete request (httptools)."""
        self._in_message = False
        self._message_number += 1
        if self._closed or self._is_invalid:
            return
        request = HttpRequest(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            body=_frozen_if_short(self._body),
            keep_alive=self._parser.should_keep_alive(),
            arrived_ms=self._loop.time() * 1000,
            packed_fields=self._packed_fields,
            held_bytes=len(self._body) + len(self._packed_fields),
        )
        self._reset_message()
        self._queued_requests.append(request)

    def respond(
        self,
        request: HttpRequest,
        *,
        status: int,
        header_lines: bytes,
        body: bytes = b"",
    ) -> None:
        """Write the response to the request in progress.

        Args:
            request: the request; the response is dropped if its caller disconnected.
            status: status code.
            header_lines: header fields of the response without its framing.
            body: the complete body.
        """
        if request is not self._current:
            return
        self._current = None
        self._release(request.held_bytes)
        has_next = self._queued_requests or self._unparsed
        is_last = not request.keep_alive or (
            (self._closing() or self._is_invalid) and not has_next
        )
        if has_body(status, request.method):
            framing = b"Content-Length: %d\r\n" % len(body)
        else:
            framing, body = b"", b""
        if is_last:
            framing += b"Connection: close\r\n"
        head = b"".join((status_line(status), header_lines, framing, b"\r\n"))
        if len(body) < WRITTEN_APART_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)
        self._record_unread_bytes(self._write_buffer_bytes())
        self._idle_since_ms = self._loop.time() * 1000
        # Of a request that has begun meanwhile, nothing was read until now.
        self._message_began_ms = self._idle_since_ms
        if is_last and request.keep_alive:
            self._close()
        elif is_last:
            self._close_without_linger()
        elif has_next:
            self._turns.add(self)

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if it exceeds a timeout."""
        limits = self._limits()
        if self._write_blocked_ms is not None:
            if now_ms - self._write_blocked_ms > WRITE_TIMEOUT_MS:
                self._transport.abort()
        elif self._closed_ms is not None:
            if self._has_lingered(now_ms):
                self._transport.abort()
        elif self._current is not None:
            return
        elif self._in_message:
            if now_ms - self._message_began_ms > limits.header_timeout_ms:
                self._refuse(408)
        else:
            idle_timeout_ms = limits.idle_timeout_ms
            if self._closing():
                idle_timeout_ms = min(idle_timeout_ms, DRAIN_IDLE_TIMEOUT_MS)
            self._close_idle(now_ms, idle_timeout_ms)

    def stop(self, now_ms: float, since_ms: float) -> None:
        """Close the connection if it is idle and no first request is to be expected.

        Args:
            now_ms: monotonic time.
            since_ms: begin of the stop.
        """
        if self._has_received or now_ms - since_ms >= FIRST_REQUEST_TIMEOUT_MS:
            self._close_idle(now_ms, 0.0)

    def awaits_caller(self, now_ms: float) -> bool:
        """Return whether the caller still reads its last response, or has just done."""
        if self._write_blocked_ms is not None:
            return True
        return self._closed_ms is not None and not self._has_lingered(now_ms)

    def _has_lingered(self, now_ms: float) -> bool:
        return now_ms - self._closed_ms > LINGER_TIMEOUT_MS

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def _close_idle(self, now_ms: float, timeout_ms: float) -> None:
        """Close the connection if it has been without a request for a time.

        A request whose bytes have arrived but weren't read yet counts.
        """
        if self._closed or self._current is not None or self._queued_requests:
            return
        if self._in_message or self._unparsed:
            return
        if now_ms - self._idle_since_ms < timeout_ms:
            return
        if not has_unread_bytes(self.socket):
            self._close()

    def _handle_next(self) -> None:
        if self._closed or not self._queued_requests or not self._may_continue():
            return
        self._current = self._queued_requests.popleft()
        if self._current.packed_fields:
            self._current.unpack_fields()
        self._handler.handle(self._current, self)

    def _charge_framing(self, received_bytes: int) -> None:
        """Refuse a head or trailers without end, before they fill the memory."""
        body_bytes = self._slice_body_bytes + CHUNK_FRAMING_BYTES * self._slice_chunks
        self._framing_bytes += max(received_bytes - body_bytes, 0)
        max_header_bytes = self._limits().max_header_bytes
        if self._framing_bytes > MAX_FRAMING_SHARE * max_header_bytes:
            self._refuse(431)

    def _check_length(self, length_bytes: int) -> None:
        """Refuse a body that is too long before any of it is read."""
        self._length_bytes = length_bytes
        if length_bytes > self._limits().max_body_bytes:
            self._refuse(413)
        elif length_bytes and not self._held.fits(length_bytes):
            self._refuse(NO_MEMORY_STATUS)

    def _refuse(self, status: int) -> None:
        if self._closed:
            return
        if self._current is None and not self._queued_requests:
            fields = NO_MEMORY_RETRY_FIELD if status == NO_MEMORY_STATUS else b""
            self._write(
                status_line(status)
                + fields
                + b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            )
            self._close()
        else:
            # Requests before the invalid one still get their responses.
            self._is_invalid = True
            self._discard_unparsed()
            if not self._transport.is_closing():
                self._transport.pause_reading()

    def _write(self, data: bytes) -> None:
        """Write unless the connection is closing and ``connection_lost`` is due.

        The event loop raises an error on a write to a handle that is closed already.
        """
        if not self._closed and not self._transport.is_closing():
            self._transport.write(data)

    def _write_buffer_bytes(self) -> int:
        if self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def _hold(self, more_bytes: int) -> None:
        self._held_bytes += more_bytes
        self._held.hold(more_bytes)

    def _release(self, fewer_bytes: int) -> None:
        self._held_bytes -= fewer_bytes
        self._held.release(fewer_bytes)

    def _record_unread_bytes(self, unread_bytes: int) -> None:
        """Update the count of response bytes that the caller hasn't read yet."""
        self._held.add_unread(unread_bytes - self._unread_bytes)
        self._unread_bytes = unread_bytes

    def _close(self) -> None:
        """Close the write side; the rest is closed when the caller closes its own side.

        Failure: closing a connection on which bytes were received but not read resets
        it, and the caller loses the response that was written last.
        """
        if self._closed or self._transport.is_closing():
            return
        self._closed = True
        self._closed_ms = self._loop.time() * 1000
        self._discard_unparsed()
        # Received in vain: the connection may stay open for a while.
        self._reset_message()
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which wasn't read meanwhile.
            self._transport.abort()

    def _close_without_linger(self) -> None:
        """Close the connection; its caller has announced that it sends nothing more."""
        self._closed = True
        self._discard_unparsed()
        self._transport.close()


def _frozen_if_short(body: bytearray) -> bytes | bytearray:
    return body if len(body) >= WRITTEN_APART_BYTES else bytes(body)
