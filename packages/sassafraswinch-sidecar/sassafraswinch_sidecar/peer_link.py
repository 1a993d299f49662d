"""Link between two sidecars: one TCP connection that carries framed messages."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from sassafraswinch_node.frames import FrameSplitter, WireError
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.supervision import run_step
from sassafraswinch_sidecar.body_transfer import (
    CHUNKED_FROM_BYTES,
    BodyMessage,
    IncomingBodies,
    OutgoingBodies,
)
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.message_checks import InvalidValueError
from sassafraswinch_sidecar.message_codec import (
    MAX_FRAME_BYTES,
    Message,
    parse_message,
    serialize_message,
)
from sassafraswinch_sidecar.read_turns import ReadTurns
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    BodyChunk,
    BodyGrant,
    Hello,
    RelayRequest,
    RelayResponse,
)

PROTOCOL_VERSION = 2

UNRESPONSIVE_AFTER_MS = 450.0
"""Age of an unanswered heartbeat from which a peer gets no new requests: well above the
delay of a busy event loop, and below the time limits of callers."""

LINK_TIMEOUT_MS = 1_000.0
"""Age of an unanswered heartbeat from which the link is closed and dialled again. A
connection may go silent for good, without a reset, while new connections work."""

MAX_UNSENT_BYTES = 32 * 1024 * 1024
"""Bytes buffered at most for a peer that reads slowly; a tenth of a host's memory."""


class WriteBatch:
    """Defers the writes of links while a received chunk of messages is handled.

    A busy peer sends many messages in one chunk; the frames sent in response are
    written with one system call for each link. Outside a batch, frames are written at
    once: deferring them to the next event loop iteration would cost a further system
    call.
    """

    def __init__(self):
        self._depth = 0
        self._links: list[PeerLink] = []

    @property
    def is_open(self) -> bool:
        """Whether writes are currently deferred."""
        return self._depth > 0

    def add(self, link: "PeerLink") -> None:
        """Flush a link when the batch ends."""
        self._links.append(link)

    def __enter__(self) -> None:
        self._depth += 1

    def __exit__(self, *exc: object) -> None:
        self._depth -= 1
        if not self._depth:
            links, self._links = self._links, []
            for link in links:
                link.flush()


class PeerLink(asyncio.Protocol):
    """Protocol of one link: handshake, message framing and heartbeat supervision.

    Each side sends a ``Hello`` first; it completes the handshake on the other side.

    Args:
        own_hello: the ``Hello`` that this side sends.
        on_handshake: called when the peer's ``Hello`` was received.
        on_message: called with each further message.
        on_lost: called once when the connection is lost.
        batch: defers writes together with those of other links.
        held: memory limit of the bodies in this process.

    Attributes:
        peer_ip: address in the peer's ``Hello``; empty until then.
        availability_zone: availability zone in the peer's ``Hello``.
        incarnation: incarnation in the peer's ``Hello``.
        fault: reason why the link was closed; empty until then.
        received_since_check: whether anything was received since the last check of
            ``PeerLinks``.
        takes_suspects: whether the peer supports messages on crash suspects.
        suspects_sent_up_to: number of the last change of the suspects that was sent to
            the peer.
    """

    def __init__(
        self,
        *,
        own_hello: Hello,
        on_handshake: Callable[["PeerLink"], None],
        on_message: Callable[["PeerLink", Message], None],
        on_lost: Callable[["PeerLink"], None],
        batch: WriteBatch,
        held: HeldBytes,
    ):
        self.peer_ip = ""
        self.availability_zone = ""
        self.incarnation = 0
        self.fault = ""
        self.received_since_check = False
        self.takes_suspects = False
        self.takes_wait_limits = False
        self.suspects_sent_up_to = 0
        self._hello = own_hello
        self._on_handshake = on_handshake
        self._on_message = on_message
        self._on_lost = on_lost
        self._batch = batch
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._splitter = FrameSplitter()
        self._read_turns = ReadTurns()
        self._takes_chunks = False
        self._outgoing = OutgoingBodies(write=self._send_now, held=held)
        self._incoming = IncomingBodies()
        self._deferred_frames: list[bytes] = []
        self._awaiting_reply_since_ms: float | None = None
        self._received_ms = self._now_ms()

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the write buffer that the peer hasn't read yet."""
        return self._transport.get_write_buffer_size() if self.is_open else 0

    def send(self, message: Message) -> bool:
        """Queue a message; False if none of it will be written.

        A long body is taken out of the message, and follows once the peer grants it.
        """
        if not self.is_open:
            return False
        has_body = isinstance(message, RelayRequest | RelayResponse)
        if has_body and self._takes_chunks and len(message.body) > CHUNKED_FROM_BYTES:
            self._outgoing.announce(message)
        elif has_body:
            message.body = bytes(message.body)
        if self._send_now(message):
            return True
        if has_body:
            self._outgoing.cancel(message.call_id)
        return False

    def send_short(self, message: Message) -> None:
        """Queue a short message even if the peer has left much unread."""
        frame = self._serialize(message)
        if frame is not None:
            self._write(frame)

    def _send_now(self, message: Message) -> bool:
        frame = self._serialize(message)
        return frame is not None and self.send_frame(frame)

    def _serialize(self, message: Message) -> bytes | None:
        """Return the frame of a message; None, and a log line, if it can't be sent.

        A value that doesn't fit must end neither the link, which carries other
        messages, nor the task that reports it.
        """
        try:
            return serialize_message(message)
        except WireError as error:
            log_event(
                "message_unsent",
                level="error",
                peer=self.peer_ip,
                message=type(message).__name__,
                reason=error.reason,
            )
            return None

    def receive_body(
        self,
        message: BodyMessage,
        on_complete: Callable[[BodyMessage], None],
        on_dropped: Callable[[], None],
    ) -> None:
        """Receive the body of an announced message, for which there is memory now.

        Args:
            message: the message.
            on_complete: called with it once its body is complete.
            on_dropped: called if the body won't come.
        """
        self._incoming.expect(message, on_complete, on_dropped)
        self.send(BodyGrant(call_id=message.call_id))

    def cancel_bodies(self, call_id: int) -> None:
        """Drop what is sent or received of the bodies of a call."""
        self._outgoing.cancel(call_id)
        self._incoming.cancel(call_id)

    def drop_request_body(self, call_id: int) -> None:
        """Drop the body of a request that the peer has responded to."""
        self._outgoing.cancel(call_id)

    def unsent_requests(self) -> list[int]:
        """Return the call ids of requests that the peer can't have run.

        Their bodies were not written completely.
        """
        return list(self._outgoing.unsent_requests())

    def pause_writing(self) -> None:
        """Send no further chunks for now (asyncio.Protocol)."""
        self._outgoing.pause()

    def resume_writing(self) -> None:
        """Go on sending chunks (asyncio.Protocol)."""
        self._outgoing.resume()

    def send_frame(self, frame: bytes) -> bool:
        """Queue a message that is serialized already; see ``send``."""
        if not self.is_open:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        self._write(frame)
        return True

    def _write(self, frame: bytes) -> None:
        if self._batch.is_open:
            if not self._deferred_frames:
                self._batch.add(self)
            self._deferred_frames.append(frame)
        else:
            self._transport.write(frame)

    def expect_reply(self) -> None:
        """Record that a heartbeat was sent, unless one is unanswered already."""
        if self._awaiting_reply_since_ms is None:
            self._awaiting_reply_since_ms = self._now_ms()

    def restart_silence_timer(self) -> None:
        """Restart the heartbeat timeout after this process was suspended."""
        if self._awaiting_reply_since_ms is not None:
            self._awaiting_reply_since_ms = self._now_ms()

    def silent_ms(self) -> float:
        """Return the age of the oldest unanswered heartbeat, or 0."""
        if self._awaiting_reply_since_ms is None:
            return 0.0
        return self._now_ms() - self._awaiting_reply_since_ms

    def receive_idle_ms(self) -> float:
        """Return the time since anything was received from the peer."""
        return self._now_ms() - self._received_ms

    def record_reply(self) -> None:
        """Record the reply to a heartbeat: the peer reads its messages."""
        self._awaiting_reply_since_ms = None

    def abort(self, fault: str = "") -> None:
        """Close at once and discard queued frames."""
        self.fault = self.fault or fault
        self._deferred_frames.clear()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Write queued frames and close."""
        self.flush()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Configure the socket and send the ``Hello`` (asyncio.Protocol)."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(LINK_TIMEOUT_MS * 2)
            )
        self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Decode and dispatch the complete messages (asyncio.Protocol)."""
        self._read_turns.record(self._transport, len(data))
        self._splitter.feed(data)
        self.received_since_check = True
        self._received_ms = self._now_ms()
        try:
            with self._batch:
                self._handle_messages()
        except WireError as error:
            self.abort(error.reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio.Protocol)."""
        self.fault = self.fault or (str(exc) if exc else "closed")
        self._on_lost(self)
        self._outgoing.close()
        self._incoming.close()

    def _handle_messages(self) -> None:
        while self.is_open:
            payload = self._splitter.next_payload()
            if payload is None:
                return
            try:
                message = parse_message(payload)
            except InvalidValueError as error:
                self._refuse(error)
                continue
            if self.peer_ip:
                self._dispatch(message)
            else:
                self._complete_handshake(message)

    def _refuse(self, error: InvalidValueError) -> None:
        """Leave a message out; the link carries those of requests as well.

        Raises:
            InvalidValueError: it was the first message, without which there is no link.
        """
        if not self.peer_ip:
            raise error
        log_event(
            "message_refused", level="warning", peer=self.peer_ip, reason=error.reason
        )
        self.record_reply()

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, BodyGrant):
            self._outgoing.grant(message.call_id)
        elif isinstance(message, BodyChunk):
            try:
                self._incoming.receive(message)
            except ValueError as error:
                raise WireError(reason=str(error)) from error
        else:
            # A message that fails must not cut off the requests on this link.
            run_step("peer_message", self._on_message, self, message)

    def _complete_handshake(self, message: Message) -> None:
        if not isinstance(message, Hello):
            raise WireError(reason="the first message of the link isn't a Hello")
        if message.protocol_version != PROTOCOL_VERSION:
            raise WireError(
                reason=f"unsupported protocol version {message.protocol_version}, "
                f"expected {PROTOCOL_VERSION}"
            )
        self.peer_ip = message.ip
        self.incarnation = message.incarnation
        self.availability_zone = message.availability_zone
        self.takes_suspects = message.takes_suspects
        self.takes_wait_limits = message.takes_wait_limits
        self._takes_chunks = message.takes_chunks
        self._splitter.raise_frame_limit(MAX_FRAME_BYTES)
        self._on_handshake(self)

    def flush(self) -> None:
        """Write the deferred frames."""
        if self._deferred_frames and self.is_open:
            self._transport.write(b"".join(self._deferred_frames))
        self._deferred_frames.clear()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
