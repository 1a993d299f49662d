"""TCP connection between two nodes that carries framed messages."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.messages import (
    Acknowledge,
    Call,
    DocumentReply,
    DocumentRequest,
    Fence,
    FenceReply,
    Forward,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostsReply,
    HostsRequest,
    Message,
)
from sassafraswinch_node.frames import FrameSplitter, frame_prefix
from sassafraswinch_node.transit_delay import TransitDelayEstimator
from sassafraswinch_node.wire import WireError, decode_frame, encode

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Limit of data queued on one link for a slow peer: four frames of maximum size."""

MIN_TRANSIT_DELAY_MS = 2.0
"""Shorter transit delays are within the resolution of the two millisecond clocks."""


class LinkEvents(Protocol):
    """Callbacks for events of links, called in order from the event loop.

    Each session gets ``link_up``, then its messages, then ``link_lost`` once. The
    dialling node numbers the sessions: this node on a link that it dialled
    (``dialled``), otherwise the peer.
    """

    def link_up(self, host: str, hello: Hello, session: int, dialled: bool) -> None:
        """Handle a link to ``host`` on which both sides have sent their hello."""

    def link_message(
        self, host: str, session: int, message: Message, dialled: bool
    ) -> None:
        """Handle a received message; the remaining time of a call starts now."""

    def link_lost(self, host: str, session: int, dialled: bool) -> None:
        """Handle the end of a session; nothing more is read or written on it here.

        Data written before may still reach the peer at any later time.
        """


def encode_with_timestamp(message: Message) -> bytes:
    """Encode a message with the running event loop's time as its sending time."""
    return encode(message, sent_ms=int(asyncio.get_running_loop().time() * 1000))


class LinkRefusedError(SassafraswinchError):
    """Raised or reported when a connection is closed because of a peer's fault.

    Attributes:
        peer: host name, or the address of a peer that sent no hello.
        reason: description of the fault for operators.
    """

    def __init__(self, *, peer: str, reason: str):
        super().__init__(f"link with {peer} refused: {reason}")
        self.peer = peer
        self.reason = reason


CONTROL_MESSAGES = (
    Acknowledge,
    DocumentReply,
    DocumentRequest,
    Fence,
    FenceReply,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostsReply,
    HostsRequest,
)
"""Types of messages that carry neither a caller's request nor its response."""


@dataclass(slots=True, kw_only=True)
class LinkTraffic:
    """Bytes sent on all links of a node since its start."""

    control_bytes: int = 0
    """Size of the frames of ``CONTROL_MESSAGES``, without TCP overhead."""


class Link(asyncio.Protocol):
    """Connection with framing, coalesced writes and bounded buffers.

    Args:
        on_message: called with the link and each message, the hello included.
        on_closed: called once with the link when the connection is closed.
        session: session number if this node dialled the link; otherwise 0 until
            the peer's hello gives it.
        traffic: byte counters, shared with other links.

    Attributes:
        hello: the peer's hello; None until it is accepted.
        fault: the peer's fault for which this side closed the connection.
        opened_ms: loop time at which the connection was made.
        last_read_ms: loop time at which anything was last read.
    """

    def __init__(
        self,
        *,
        on_message: Callable[["Link", Message], None],
        on_closed: Callable[["Link"], None],
        session: int = 0,
        traffic: LinkTraffic | None = None,
    ):
        self.session = session
        self.hello: Hello | None = None
        self.fault: str | None = None
        self._traffic = traffic or LinkTraffic()
        self._on_message = on_message
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self.opened_ms = self.last_read_ms = self._now_ms()
        self._pending_heartbeats: deque[tuple[int, float]] = deque()
        self._transport: asyncio.Transport | None = None
        self._splitter = FrameSplitter()
        self._transit = TransitDelayEstimator()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._flush_scheduled = False

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    @property
    def address(self) -> str:
        """IP address and port of the peer, or ``unknown``."""
        peer = self._transport and self._transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else "unknown"

    @property
    def is_open(self) -> bool:
        """Whether messages can still be sent and received."""
        return self._transport is not None and not self._transport.is_closing()

    def accept_hello(self, hello: Hello) -> None:
        """Accept the peer's hello, and longer frames from now on."""
        self.hello = hello
        self.session = hello.session
        self._splitter.raise_frame_limit()

    def send(self, message: Message) -> bool:
        """Queue a message for sending.

        Returns:
            Whether it was queued. If False, no part of it is or will be written.

        Raises:
            FrameTooLargeError: the message is longer than a frame may be.
            WireError: a field doesn't fit its type on the wire.
        """
        control = isinstance(message, CONTROL_MESSAGES)
        return self.send_payload(encode_with_timestamp(message), control=control)

    def send_payload(self, payload: bytes, *, control: bool) -> bool:
        """Queue an encoded message, like ``send``."""
        prefix = frame_prefix(payload)
        if not self.is_open:
            return False
        queued_bytes = self._unsent_bytes + self._transport.get_write_buffer_size()
        if queued_bytes + len(payload) > MAX_UNSENT_BYTES:
            return False
        if control:
            self._traffic.control_bytes += len(prefix) + len(payload)
        self._unsent += (prefix, payload)
        self._unsent_bytes += len(payload)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)
        return True

    def close(self) -> None:
        """Write the queued messages, then close the connection."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self, fault: str | None = None) -> None:
        """Close the connection at once and discard queued messages."""
        self.fault = self.fault or fault
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def record_heartbeat(self, sequence: int) -> None:
        """Record that a heartbeat was sent now and awaits its reply."""
        self._pending_heartbeats.append((sequence, self._now_ms()))

    def record_heartbeat_reply(self, sequence: int) -> float | None:
        """Record a reply: the peer has read that heartbeat and all data before it.

        Returns:
            The time at which that heartbeat was sent; None if none was awaited.
        """
        sent_at_ms = None
        while self._pending_heartbeats and self._pending_heartbeats[0][0] <= sequence:
            _, sent_at_ms = self._pending_heartbeats.popleft()
        return sent_at_ms

    def restart_silence_timer(self) -> None:
        """Measure the peer's silence from now on."""
        self.last_read_ms = self._now_ms()
        self._pending_heartbeats.clear()

    def open_for_ms(self) -> float:
        """Return the age of the connection."""
        return self._now_ms() - self.opened_ms

    def silent_for_ms(self) -> float:
        """Return the time since the peer was last known to be reachable.

        An unanswered heartbeat counts as silence too: if only one direction of the
        connection fails, the peer's frames still arrive but it reads none of ours.
        """
        silent_since_ms = self.last_read_ms
        if self._pending_heartbeats:
            silent_since_ms = min(silent_since_ms, self._pending_heartbeats[0][1])
        return self._now_ms() - silent_since_ms

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (asyncio.Protocol)."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode and deliver complete frames (asyncio.Protocol)."""
        self.last_read_ms = self._now_ms()
        self._splitter.feed(data)
        try:
            while self.is_open:
                payload = self._splitter.next_payload()
                if payload is None:
                    return
                self._on_message(self, self._decode(payload))
        except WireError as error:
            self.abort(error.reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard queued messages and report the close (asyncio.Protocol)."""
        self._unsent.clear()
        self._on_closed(self)

    def _decode(self, payload: bytes) -> Message:
        sent_ms, message = decode_frame(payload)
        delay_ms = self._transit.record_frame(
            sent_ms=sent_ms, received_ms=self._now_ms()
        )
        if delay_ms >= MIN_TRANSIT_DELAY_MS and isinstance(message, Call | Forward):
            remaining_ms = max(0, message.remaining_ms - int(delay_ms))
            return replace(message, remaining_ms=remaining_ms)
        return message

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self._unsent and self.is_open:
            self._transport.write(b"".join(self._unsent))
        self._unsent.clear()
        self._unsent_bytes = 0
