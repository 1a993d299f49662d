"""One TCP connection between two nodes that carries messages."""

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
from sassafraswinch_node.transit import TransitClock
from sassafraswinch_node.wire import WireError, decode_frame, encode

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Bytes that one link holds for a peer that reads slowly; four longest frames."""

MIN_DELAY_MS = 2.0
"""Delays below this are the grain of the two millisecond clocks."""


class LinkEvents(Protocol):
    """What the owner of links is told; called from the event loop, in order.

    For each session: ``link_up``, then its messages, then ``link_lost`` once. A
    session is a number of the dialling node: on a link that this node dialled
    (``dialled``) its own, otherwise the peer's.
    """

    def link_up(self, host: str, hello: Hello, session: int, dialled: bool) -> None:
        """A link to ``host`` is greeted on both sides."""

    def link_message(
        self, host: str, session: int, message: Message, dialled: bool
    ) -> None:
        """A message arrived; the remaining time of a call counts from now."""

    def link_lost(self, host: str, session: int, dialled: bool) -> None:
        """Nothing more is read from or written to this session here.

        What was written before may still arrive at the peer at any later time.
        """


def encode_now(message: Message) -> bytes:
    """Code a message with the running loop's clock as its sending time."""
    return encode(message, sent_ms=int(asyncio.get_running_loop().time() * 1000))


class LinkRefusedError(SassafraswinchError):
    """A connection was closed because of what the peer said, or didn't say.

    Attributes:
        peer: host name, or address of a peer that gave none.
        reason: what was wrong, in words for an operator.
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
"""Messages that carry no caller's request or answer."""


@dataclass(slots=True, kw_only=True)
class LinkTraffic:
    """Bytes written by all links of a node since its start."""

    control_bytes: int = 0
    """Frames of ``CONTROL_MESSAGES``, without TCP's own overhead."""


class Link(asyncio.Protocol):
    """Frames, coalesced writes and bounds of one connection.

    Args:
        receive: called with the link and each message, the hello included.
        closed: called once with the link when the connection is gone.
        session: number of the link where this node dialled it; 0 until the
            peer's hello tells it otherwise.
        traffic: counts what is written, together with other links.

    Attributes:
        hello: the peer's greeting; None until it is accepted.
        fault: what the peer did wrong, where this side closed for it.
        opened_ms: loop time at which the connection was made.
        last_read_ms: loop time at which anything was last read.
    """

    def __init__(
        self,
        *,
        receive: Callable[["Link", Message], None],
        closed: Callable[["Link"], None],
        session: int = 0,
        traffic: LinkTraffic | None = None,
    ):
        self.session = session
        self.hello: Hello | None = None
        self.fault: str | None = None
        self._traffic = traffic or LinkTraffic()
        self._receive = receive
        self._closed = closed
        self._loop = asyncio.get_running_loop()
        self.opened_ms = self.last_read_ms = self._now_ms()
        self._unanswered: deque[tuple[int, float]] = deque()
        self._transport: asyncio.Transport | None = None
        self._splitter = FrameSplitter()
        self._transit = TransitClock()
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._flush_planned = False

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    @property
    def address(self) -> str:
        """Address of the peer, for reports."""
        peer = self._transport and self._transport.get_extra_info("peername")
        return f"{peer[0]}:{peer[1]}" if peer else "unknown"

    @property
    def is_open(self) -> bool:
        """Whether messages may still be sent and received."""
        return self._transport is not None and not self._transport.is_closing()

    def accept(self, hello: Hello) -> None:
        """Take the peer's greeting as good."""
        self.hello = hello
        self.session = hello.session
        self._splitter.accept_long()

    def send(self, message: Message) -> bool:
        """Queue a message; False: refused, nothing of it is or will be written.

        Raises:
            FrameTooLargeError: the message exceeds the bound of a frame.
            WireError: a field doesn't fit its type on the wire.
        """
        control = isinstance(message, CONTROL_MESSAGES)
        return self.send_payload(encode_now(message), control=control)

    def send_payload(self, payload: bytes, *, control: bool) -> bool:
        """Queue a coded message, as ``send`` does."""
        prefix = frame_prefix(payload)
        if not self.is_open:
            return False
        held_bytes = self._unsent_bytes + self._transport.get_write_buffer_size()
        if held_bytes + len(payload) > MAX_UNSENT_BYTES:
            return False
        if control:
            self._traffic.control_bytes += len(prefix) + len(payload)
        self._unsent += (prefix, payload)
        self._unsent_bytes += len(payload)
        if not self._flush_planned:
            self._flush_planned = True
            self._loop.call_soon(self._flush)
        return True

    def close(self) -> None:
        """Write what is queued, then close."""
        self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self, fault: str | None = None) -> None:
        """Close at once and drop what is queued."""
        self.fault = self.fault or fault
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def heartbeat_sent(self, sequence: int) -> None:
        """Expect an answer to a heartbeat from now on."""
        self._unanswered.append((sequence, self._now_ms()))

    def heartbeat_answered(self, sequence: int) -> float | None:
        """Note that the peer has read a heartbeat and all before it.

        Returns:
            When that heartbeat was sent; None if none was open.
        """
        sent_at_ms = None
        while self._unanswered and self._unanswered[0][0] <= sequence:
            _, sent_at_ms = self._unanswered.popleft()
        return sent_at_ms

    def forgive_silence(self) -> None:
        """Start the watch for silence anew."""
        self.last_read_ms = self._now_ms()
        self._unanswered.clear()

    def open_for_ms(self) -> float:
        """Return the age of the connection."""
        return self._now_ms() - self.opened_ms

    def silent_for_ms(self) -> float:
        """Return how long the peer has owed a sign of life.

        An unanswered heartbeat counts too: where only one direction is cut, the
        peer's own frames still arrive while it reads nothing of ours.
        """
        silent_since_ms = self.last_read_ms
        if self._unanswered:
            silent_since_ms = min(silent_since_ms, self._unanswered[0][1])
        return self._now_ms() - silent_since_ms

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over the transport (asyncio.Protocol)."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode and deliver whole frames (asyncio.Protocol)."""
        self.last_read_ms = self._now_ms()
        self._splitter.feed(data)
        try:
            while self.is_open:
                payload = self._splitter.next_payload()
                if payload is None:
                    return
                self._receive(self, self._decode(payload))
        except WireError as error:
            self.abort(error.reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio.Protocol)."""
        self._unsent.clear()
        self._closed(self)

    def _decode(self, payload: bytes) -> Message:
        sent_ms, message = decode_frame(payload)
        delay_ms = self._transit.delay_ms(sent_ms=sent_ms, received_ms=self._now_ms())
        if delay_ms >= MIN_DELAY_MS and isinstance(message, Call | Forward):
            remaining_ms = max(0, message.remaining_ms - int(delay_ms))
            return replace(message, remaining_ms=remaining_ms)
        return message

    def _flush(self) -> None:
        self._flush_planned = False
        if self._unsent and self.is_open:
            self._transport.write(b"".join(self._unsent))
        self._unsent.clear()
        self._unsent_bytes = 0
