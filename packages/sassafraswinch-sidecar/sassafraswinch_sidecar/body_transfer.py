"""Transfer of long bodies over a link: announced, granted, and sent in chunks.

A message with a long body is sent without it and names its length. The receiver grants
the body once it has room for it. The chunks of all granted bodies are sent in turn and
only as fast as the peer reads them, so that other messages pass between them.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sassafraswinch_sidecar.held_bytes import HeldBytes, Reservation
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    BodyChunk,
    RelayRequest,
    RelayResponse,
)

CHUNKED_FROM_BYTES = 64 * 1024
"""Length from which a body is announced; granting it takes a round trip."""

CHUNK_BYTES = 64 * 1024
"""Length of a chunk: serializing it takes tens of microseconds."""

CHUNKS_PER_TURN = 8
"""Chunks written in one turn of the event loop, so that others get theirs."""

BodyMessage = RelayRequest | RelayResponse


@dataclass(slots=True, eq=False)
class OutgoingBody:
    """A body that is announced or being sent.

    Attributes:
        call_id: call id of its message.
        remaining: the part that hasn't been written.
        is_request: whether it is the body of a request.
        reservation: memory of a response body, which nobody else counts.
    """

    call_id: int
    remaining: memoryview
    is_request: bool
    reservation: Reservation | None = None


class OutgoingBodies:
    """Sends the long bodies of one link.

    Args:
        write: writes a message to the link.
        held: memory limit of this process.
    """

    def __init__(self, *, write: Callable[[BodyChunk], object], held: HeldBytes):
        self._write = write
        self._held = held
        self._loop = asyncio.get_running_loop()
        self._bodies: dict[int, OutgoingBody] = {}
        self._granted: deque[OutgoingBody] = deque()
        self._is_paused = False
        self._is_scheduled = False

    def announce(self, message: BodyMessage) -> None:
        """Take the body out of a message that is about to be sent."""
        body = OutgoingBody(
            message.call_id,
            memoryview(message.body),
            isinstance(message, RelayRequest),
        )
        if not body.is_request:
            body.reservation = self._held.reserve_now(len(message.body))
        self._bodies[message.call_id] = body
        message.body_bytes = len(message.body)
        message.body = b""

    def grant(self, call_id: int) -> None:
        """Send a body that the peer has room for."""
        body = self._bodies.get(call_id)
        if body is not None:
            self._granted.append(body)
            self._send_chunks()

    def cancel(self, call_id: int) -> None:
        """Drop a body that is no longer awaited."""
        body = self._bodies.pop(call_id, None)
        if body is not None:
            self._drop(body)

    def pause(self) -> None:
        """Stop writing: the peer reads more slowly than bodies are sent."""
        self._is_paused = True

    def resume(self) -> None:
        """Go on writing."""
        self._is_paused = False
        self._send_chunks()

    def unsent_requests(self) -> Iterable[int]:
        """Return the call ids of requests whose bodies weren't written completely."""
        return [body.call_id for body in self._bodies.values() if body.is_request]

    def close(self) -> None:
        """Drop all bodies."""
        for call_id in list(self._bodies):
            self.cancel(call_id)
        self._granted.clear()

    def _drop(self, body: OutgoingBody) -> None:
        body.remaining = memoryview(b"")
        if body.reservation is not None:
            self._held.cancel(body.reservation)

    def _send_chunks(self) -> None:
        for _ in range(CHUNKS_PER_TURN):
            if self._is_paused or not self._granted:
                return
            self._send_chunk(self._granted.popleft())
        self._schedule()

    def _send_chunk(self, body: OutgoingBody) -> None:
        if not body.remaining:
            return  # It was cancelled.
        chunk, body.remaining = (
            body.remaining[:CHUNK_BYTES],
            body.remaining[CHUNK_BYTES:],
        )
        self._write(BodyChunk(call_id=body.call_id, data=bytes(chunk)))
        if body.remaining:
            self._granted.append(body)
        else:
            self.cancel(body.call_id)

    def _schedule(self) -> None:
        if not self._is_scheduled and self._granted:
            self._is_scheduled = True
            self._loop.call_soon(self._send_scheduled)

    def _send_scheduled(self) -> None:
        self._is_scheduled = False
        self._send_chunks()


@dataclass(slots=True, eq=False)
class IncomingBody:
    """A body that is being received.

    Attributes:
        message: its message.
        data: what has been received of the body.
        on_complete: called with the message once its body is complete.
        on_dropped: called if the rest of the body won't come.
        since_ms: event loop time of the announcement.
    """

    message: BodyMessage
    data: bytearray
    on_complete: Callable[[BodyMessage], None]
    on_dropped: Callable[[], None]
    since_ms: float


class IncomingBodies:
    """Receives the long bodies of one link."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._bodies: dict[int, IncomingBody] = {}

    def expect(
        self,
        message: BodyMessage,
        on_complete: Callable[[BodyMessage], None],
        on_dropped: Callable[[], None],
    ) -> None:
        """Receive the body of a message; its memory must have been reserved."""
        self._bodies[message.call_id] = IncomingBody(
            message,
            bytearray(),
            on_complete,
            on_dropped,
            self._loop.time() * 1000,
        )

    def receive(self, chunk: BodyChunk) -> None:
        """Store a chunk; complete its message with the last one.

        Raises:
            ValueError: the body is longer than announced.
        """
        body = self._bodies.get(chunk.call_id)
        if body is None:
            return  # It was cancelled while the chunk was under way.
        missing_bytes = body.message.body_bytes - len(body.data)
        if len(chunk.data) > missing_bytes:
            raise ValueError("a body is longer than announced")
        body.data += chunk.data
        if len(chunk.data) == missing_bytes:
            del self._bodies[chunk.call_id]
            body.message.body = body.data
            body.message.body_bytes = 0
            self._subtract_transfer_time(body)
            body.on_complete(body.message)

    def cancel(self, call_id: int) -> None:
        """Drop a body whose message is no longer of use."""
        body = self._bodies.pop(call_id, None)
        if body is not None:
            body.on_dropped()

    def close(self) -> None:
        """Drop all bodies: the link is lost."""
        for call_id in list(self._bodies):
            self.cancel(call_id)

    def _subtract_transfer_time(self, body: IncomingBody) -> None:
        """Count the time limit of a request from its announcement."""
        if isinstance(body.message, RelayRequest):
            spent_ms = int(self._loop.time() * 1000 - body.since_ms)
            body.message.remaining_ms = max(0, body.message.remaining_ms - spent_ms)
