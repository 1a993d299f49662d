"""One TCP connection between two sidecars."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from sassafraswinch_node.frames import FrameSplitter, WireError
from sassafraswinch_sidecar.message_codec import (
    MAX_FRAME_BYTES,
    Message,
    parse_message,
    serialize_message,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import Hello

PROTOCOL_VERSION = 2

UNRESPONSIVE_AFTER_MS = 450.0
"""Silence after an unanswered heartbeat from which a peer gets no new requests: well
above the delay of a busy event loop, and below what callers wait for."""

LINK_TIMEOUT_MS = 1_000.0
"""Silence after which the link is given up and dialled anew. Connections may go
silent for good, without a reset, while new ones work."""

MAX_UNSENT_BYTES = 32 * 1024 * 1024
"""Bytes held for a peer that reads slowly; a tenth of a host's memory."""


class WriteBatch:
    """Puts off the writes of links while a chunk of messages is handled.

    A busy peer sends many messages in one chunk, and the frames that they cause go out
    in one system call a link. A single one is written at once: putting it off to the
    next turn of the event loop would cost a further system call.
    """

    def __init__(self):
        self._depth = 0
        self._links: list[PeerLink] = []

    @property
    def is_open(self) -> bool:
        """Whether writes are put off now."""
        return self._depth > 0

    def add(self, link: "PeerLink") -> None:
        """Write a link's frames when the batch ends."""
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
    """Frames of one connection.

    Args:
        own_hello: what this side says first.
        on_handshake: called once the peer has said hello.
        on_message: called with each further message.
        on_lost: called once when the connection is gone.
        batch: puts off writes, together with those of other links.

    Attributes:
        peer_ip: address that the peer names in its greeting; empty until then.
        availability_zone: where the peer says it is.
        received_since_check: whether anything was read since its owner looked last.
        takes_suspects: whether the peer understands news of suspects.
        suspects_sent_up_to: number of the last change of suspects that the peer was told.
    """

    def __init__(
        self,
        *,
        own_hello: Hello,
        on_handshake: Callable[["PeerLink"], None],
        on_message: Callable[["PeerLink", Message], None],
        on_lost: Callable[["PeerLink"], None],
        batch: WriteBatch,
    ):
        self.peer_ip = ""
        self.availability_zone = ""
        self.incarnation = 0
        self.fault = ""
        self.received_since_check = False
        self.takes_suspects = False
        self.suspects_sent_up_to = 0
        self._greeting = own_hello
        self._greeted = on_handshake
        self._receive = on_message
        self._lost = on_lost
        self._batch = batch
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._splitter = FrameSplitter()
        self._unsent: list[bytes] = []
        self._owed_since_ms: float | None = None
        self._heard_ms = self._now_ms()

    @property
    def is_open(self) -> bool:
        """Whether messages may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peer hasn't read yet."""
        return self._transport.get_write_buffer_size() if self.is_open else 0

    def send(self, message: Message) -> bool:
        """Queue a message; False where nothing of it will be written."""
        return self.is_open and self.send_frame(serialize_message(message))

    def send_frame(self, frame: bytes) -> bool:
        """Queue a message that was serialized before; as ``send``."""
        if not self.is_open:
            return False
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        if self._batch.is_open:
            if not self._unsent:
                self._batch.add(self)
            self._unsent.append(frame)
        else:
            self._transport.write(frame)
        return True

    def expect_reply(self) -> None:
        """Note that a heartbeat was sent."""
        if self._owed_since_ms is None:
            self._owed_since_ms = self._now_ms()

    def forgive_silence(self) -> None:
        """Start the watch for silence anew, after this process stood still."""
        if self._owed_since_ms is not None:
            self._owed_since_ms = self._now_ms()

    def silent_ms(self) -> float:
        """Return how long the peer has owed a sign of life."""
        if self._owed_since_ms is None:
            return 0.0
        return self._now_ms() - self._owed_since_ms

    def receive_idle_ms(self) -> float:
        """Return how long nothing has come from the peer."""
        return self._now_ms() - self._heard_ms

    def record_reply(self) -> None:
        """Note the reply to a heartbeat: the peer reads what is sent."""
        self._owed_since_ms = None

    def abort(self, fault: str = "") -> None:
        """Close at once and drop what is queued."""
        self.fault = self.fault or fault
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Write what is queued and close."""
        self.flush()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Greet the peer (asyncio.Protocol)."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            raw.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(LINK_TIMEOUT_MS * 2)
            )
        self.send(self._greeting)

    def data_received(self, data: bytes) -> None:
        """Decode and hand over whole messages (asyncio.Protocol)."""
        self._splitter.feed(data)
        self.received_since_check = True
        self._heard_ms = self._now_ms()
        try:
            with self._batch:
                self._handle_messages()
        except WireError as error:
            self.abort(error.reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio.Protocol)."""
        self.fault = self.fault or (str(exc) if exc else "closed")
        self._lost(self)

    def _handle_messages(self) -> None:
        while self.is_open:
            payload = self._splitter.next_payload()
            if payload is None:
                return
            message = parse_message(payload)
            if self.peer_ip:
                self._receive(self, message)
            else:
                self._greet(message)

    def _greet(self, message: Message) -> None:
        if not isinstance(message, Hello):
            raise WireError(reason="a message before the greeting")
        if message.protocol_version != PROTOCOL_VERSION:
            raise WireError(
                reason=f"protocol version {message.protocol_version}, "
                f"not {PROTOCOL_VERSION}"
            )
        self.peer_ip = message.ip
        self.incarnation = message.incarnation
        self.availability_zone = message.availability_zone
        self.takes_suspects = message.takes_suspects
        self._splitter.accept_long(MAX_FRAME_BYTES)
        self._greeted(self)

    def flush(self) -> None:
        """Write the frames that were put off."""
        if self._unsent and self.is_open:
            self._transport.write(b"".join(self._unsent))
        self._unsent.clear()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
