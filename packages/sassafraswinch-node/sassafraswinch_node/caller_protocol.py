"""HTTP/1.1 protocol of a node's listeners: bounded input, and ends without a reset."""

import asyncio
from collections import deque

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from sassafraswinch.verdict import Verdict
from sassafraswinch_node.caller_memory import (
    CONNECTION_BYTES,
    FIELD_BYTES,
    CallerMemory,
)
from sassafraswinch_node.http_status import TICKET_HEADER, VERDICT_HEADER
from sassafraswinch_node.listening_sockets import (
    FIRST_REQUEST_TIMEOUT_MS,
    has_unread_bytes,
)

LINGER_TIMEOUT_MS = 500.0
"""Time for which a connection that this process ends is read for its caller's end."""

MAX_HEADER_BYTES = 65_536
"""Default limit on the header of a request."""

WRITE_TIMEOUT_MS = 20_000.0
"""Time after which a caller that reads nothing of its response is disconnected."""

FEED_BYTES = 2 * 1024
"""Longest part of a read that is parsed before the limits are checked again."""

CHUNK_FRAMING_BYTES = 24
"""Length of a chunk's size and line ends that doesn't count as part of the header."""

NO_MEMORY_STATUS = 503
HEADER_TOO_LONG_STATUS = 431
STATUS_LINES = {
    HEADER_TOO_LONG_STATUS: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
    NO_MEMORY_STATUS: b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n",
}
"""Status line and fields of a refusal, by status."""

NO_PROMISE = (NO_MEMORY_STATUS, Verdict.MAY_HAVE_RUN)
"""Not sent, since 503 promises that the request has not run."""

REFUSAL_END = b"content-length: 0\r\nconnection: close\r\n\r\n"


class LingeringTransport:
    """Transport whose ``close`` closes the write side, and later the rest.

    Failure: closing a connection on which bytes were received but not read resets it,
    and the caller loses the response that was written last.

    Args:
        transport: the transport of the connection.
    """

    def __init__(self, *, transport: asyncio.Transport):
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._is_ending = False

    def __getattr__(self, name: str):
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether no more responses can be written."""
        return self._is_ending or self._transport.is_closing()

    def close(self) -> None:
        """Close the write side; the rest is closed when the caller closes its own."""
        if self.is_closing():
            return
        self._is_ending = True
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset the connection, which wasn't read meanwhile.
            self._transport.abort()
        self._loop.call_later(LINGER_TIMEOUT_MS / 1000, self._end)

    def _end(self) -> None:
        # Flushes what a slow reader hasn't read yet.
        self._transport.close()


class CallerProtocol(HttpToolsProtocol):
    """One connection of a caller.

    Received bytes are parsed in short parts, and none while a request waits for the one
    before it: what isn't parsed costs its length only, and the caller is read no
    further.

    Args:
        memory: counts what all connections hold.
        max_header_bytes: limit on request line, fields, chunk extensions and trailers
            of one request together, and on empty lines before it.
    """

    def __init__(
        self, *args, memory: CallerMemory, max_header_bytes: int, **arguments
    ) -> None:
        super().__init__(*args, **arguments)
        self._memory = memory
        self._max_header_bytes = max_header_bytes
        self._unparsed = b""
        self._framing_bytes = 0
        self._field_bytes = 0
        self._request_bytes: deque[int] = deque()
        self._in_message = self._in_header = False
        self._has_received = self._is_refused = False
        self._write_timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (asyncio.Protocol)."""
        super().connection_made(LingeringTransport(transport=transport))
        self._record_memory()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds (asyncio.Protocol)."""
        self._cancel_write_timeout()
        self._drop_input()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those after the end of the connection are dropped."""
        if not self.transport.is_closing() and not self._is_refused:
            self._has_received = True
            self._unparsed += data
            self._parse()

    def _parse(self) -> None:
        """Parse what was received, until a request waits for the one before it."""
        data, offset = memoryview(self._unparsed), 0
        while offset < len(data) and not self.pipeline:
            part = data[offset : offset + FEED_BYTES]
            offset += len(part)
            self._framing_bytes += len(part)
            super().data_received(part)
            if self._framing_bytes > self._max_header_bytes + FEED_BYTES:
                self._refuse(HEADER_TOO_LONG_STATUS)
            if self._is_refused or self.transport.is_closing():
                return self._drop_input()
        self._unparsed = bytes(data[offset:])
        if self._unparsed:
            self.flow.pause_reading()
        return self._record_memory()

    def pause_writing(self) -> None:
        """Count what the caller hasn't read, for a bounded time (asyncio.Protocol)."""
        super().pause_writing()
        self._cancel_write_timeout()
        self._write_timeout = self.loop.call_later(
            WRITE_TIMEOUT_MS / 1000, self.transport.abort
        )
        self._record_memory()

    def resume_writing(self) -> None:
        """Record that the caller has read its response (asyncio.Protocol)."""
        self._cancel_write_timeout()
        super().resume_writing()
        if not self.transport.is_closing():
            self._record_memory()

    def _cancel_write_timeout(self) -> None:
        if self._write_timeout is not None:
            self._write_timeout.cancel()
            self._write_timeout = None

    def on_message_begin(self) -> None:
        """Start a new request (httptools)."""
        self._in_message = self._in_header = True
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; fields after the body are discarded (httptools)."""
        if self._in_header:
            self._field_bytes += FIELD_BYTES
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Submit the request (httptools)."""
        self._in_header = False
        self._request_bytes.append(self._field_bytes + self._framing_bytes)
        self._field_bytes = 0
        super().on_headers_complete()

    def on_chunk_header(self) -> None:
        """Deduct the framing that each chunk needs (httptools)."""
        self._framing_bytes -= min(self._framing_bytes, CHUNK_FRAMING_BYTES)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body (httptools)."""
        self._framing_bytes -= min(self._framing_bytes, len(body))
        if self._request_bytes and not self.cycle.response_complete:
            self._request_bytes[-1] += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Record that the request has been received (httptools)."""
        self._in_message = False
        self._framing_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release the request, and parse what waits for it (uvicorn)."""
        if self._request_bytes:
            self._request_bytes.popleft()
        super().on_response_complete()
        if not self.transport.is_closing():
            self._parse()

    def refuse_for_memory(self) -> None:
        """End the connection (CallerConnection)."""
        is_unread = self.transport.get_write_buffer_size() > 0
        if is_unread or (self._is_responding() and not self._in_message):
            self.transport.abort()
        else:
            self._refuse(NO_MEMORY_STATUS)
        self._drop_input()

    def _refuse(self, status: int) -> None:
        """Refuse the request that is being received, and close the connection."""
        if self.transport.is_closing():
            return
        if self._in_header and self._is_responding():
            # The request before it still gets its response.
            self._is_refused = True
            self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        is_answered = self._in_message and not self._in_header
        if self._is_responding():
            is_answered = False
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        verdict = self._verdict()
        if not is_answered and (status, verdict) != NO_PROMISE:
            verdict_line = b"%b: %b\r\n" % (VERDICT_HEADER, verdict.value.encode())
            self.transport.write(STATUS_LINES[status] + verdict_line + REFUSAL_END)
        self.transport.close()

    def _verdict(self) -> Verdict:
        """Return whether the request being received may have run.

        Only the owner of its ticket knows, and the rest of the header may hold one.
        """
        names = [name for name, _ in self.headers or ()]
        if self._in_header or TICKET_HEADER in names:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def _record_memory(self) -> None:
        held_bytes = CONNECTION_BYTES + len(self._unparsed) + sum(self._request_bytes)
        held_bytes += self.transport.get_write_buffer_size()
        if self._in_header:
            held_bytes += self._field_bytes + self._framing_bytes
        self._memory.record(self, held_bytes)

    def _drop_input(self) -> None:
        """Drop what was received of a request that won't be submitted."""
        self._unparsed = b""
        self._request_bytes.clear()
        if self._in_header:
            self.headers.clear()
            self.url = b""
        self._memory.release(self)

    def shutdown(self) -> None:
        """Close the connection, after the response if one is in progress."""
        if self._is_responding():
            self.cycle.keep_alive = False
        else:
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection after its idle timeout."""
        self.close_if_idle()

    def stop(self, since_s: float) -> None:
        """Close the connection if it is idle and no first request is to be expected.

        Args:
            since_s: begin of the stop, by the event loop's clock.
        """
        waited_ms = (self.loop.time() - since_s) * 1000
        if self._has_received or waited_ms >= FIRST_REQUEST_TIMEOUT_MS:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if no request was received.

        A request whose bytes have arrived but weren't read yet counts.
        """
        if self._is_responding() or self._in_message or self.transport.is_closing():
            return
        if not has_unread_bytes(self.transport.get_extra_info("socket")):
            self.transport.close()

    def _is_responding(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete
