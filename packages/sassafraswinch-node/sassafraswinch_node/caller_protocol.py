"""HTTP/1.1 protocol of a node's listeners: connections end without a reset."""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from sassafraswinch_node.listening_sockets import (
    FIRST_REQUEST_TIMEOUT_MS,
    has_unread_bytes,
)

LINGER_TIMEOUT_MS = 500.0
"""Time for which a connection that this process ends is read for its caller's end."""


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
        self._transport.write_eof()
        self._loop.call_later(LINGER_TIMEOUT_MS / 1000, self._end)

    def _end(self) -> None:
        # Flushes what a slow reader hasn't read yet.
        self._transport.close()


class CallerProtocol(HttpToolsProtocol):
    """One connection of a caller."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (asyncio.Protocol)."""
        self._in_message = self._has_received = False
        super().connection_made(LingeringTransport(transport=transport))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those after the end of the connection are dropped."""
        if not self.transport.is_closing():
            self._has_received = True
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Start a new request (httptools)."""
        self._in_message = True
        super().on_message_begin()

    def on_message_complete(self) -> None:
        """Record that the request has been received (httptools)."""
        self._in_message = False
        super().on_message_complete()

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
