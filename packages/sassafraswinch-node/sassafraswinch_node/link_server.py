"""Server side of links: accepts the connections that other nodes dial."""

import asyncio
import itertools
import socket
from collections.abc import Callable
from contextlib import suppress

from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
    NodeId,
)
from sassafraswinch_node.link import (
    Link,
    LinkEvents,
    LinkRefusedError,
    LinkTraffic,
    encode_with_timestamp,
)
from sassafraswinch_node.link_timing import LinkTiming, heartbeat_intervals
from sassafraswinch_node.listening_sockets import bind
from sassafraswinch_node.supervision import run_step, start_supervised

CLOSE_TIMEOUT_MS = 1_000
"""Time allowed for writing queued messages when the server closes."""


class LinkServer:
    """Accepts links and keeps those of one incarnation of each host.

    When a node dials again, its older links stay open here until they close or time
    out, since responses may still be in transit on them.

    Args:
        build_hello: returns this node's hello for the session number of a peer.
        events: callbacks for links and messages.
        build_heartbeat: returns the heartbeat for a sequence number.
        on_refused: called with the fault of each refused connection.
        timing: intervals and timeouts.
        traffic: byte counters of all links.
    """

    def __init__(
        self,
        *,
        build_hello: Callable[[int], Hello],
        events: LinkEvents,
        build_heartbeat: Callable[[int], Heartbeat],
        on_refused: Callable[[LinkRefusedError], None] = lambda error: None,
        timing: LinkTiming | None = None,
        traffic: LinkTraffic | None = None,
    ):
        self._build_hello = build_hello
        self._events = events
        self._build_heartbeat = build_heartbeat
        self._on_refused = on_refused
        self._timing = timing or LinkTiming()
        self._traffic = traffic or LinkTraffic()
        self._sequences = itertools.count(1)
        self._links: dict[tuple[NodeId, int], Link] = {}
        self._connections: set[Link] = set()
        self._connection_closed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task | None = None

    async def start(self, ip: str, port: int) -> tuple[str, int]:
        """Listen and return the bound address; port 0 selects a free port."""
        return await self.serve(bind(ip, port))

    async def serve(self, listening: socket.socket) -> tuple[str, int]:
        """Accept links on a listening socket and return its address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._create_link, sock=listening)
        self._heartbeat_task = start_supervised("heartbeats", self._send_heartbeats)
        return listening.getsockname()[:2]

    def send(self, node: NodeId, session: int, message: Message) -> bool:
        """Send a message on a session that a node has dialled.

        The link is closed if the peer doesn't read what is queued for it, so that the
        peer detects the missing message.

        Returns:
            Whether it was queued. If False, no part of it is or will be written.

        Raises:
            FrameTooLargeError: the message is longer than a frame may be.
        """
        link = self._links.get((node, session))
        if link is None:
            return False
        if link.send(message):
            return True
        link.abort("peer does not read: the queue of unsent messages is full")
        return False

    async def close(self) -> None:
        """Stop listening, write the queued messages and close all links."""
        if self._server is None:
            return
        self._server.close()
        self._heartbeat_task.cancel()
        for link in tuple(self._connections):
            link.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / 1000):
                while self._connections:
                    self._connection_closed.clear()
                    await self._connection_closed.wait()
        for link in tuple(self._connections):
            link.abort()

    def _create_link(self) -> Link:
        link = Link(
            on_message=self._handle_message,
            on_closed=self._handle_close,
            traffic=self._traffic,
        )
        self._connections.add(link)
        return link

    async def _send_heartbeats(self) -> None:
        async for paused in heartbeat_intervals(self._timing.heartbeat_ms):
            run_step("heartbeats", self._send_to_all, paused)

    def _send_to_all(self, paused: bool) -> None:
        payload = encode_with_timestamp(self._build_heartbeat(next(self._sequences)))
        for link in tuple(self._connections):
            if paused:
                link.restart_silence_timer()
            run_step("heartbeat", self._send_heartbeat, link, payload)

    def _send_heartbeat(self, link: Link, payload: bytes) -> None:
        self._check_silence(link)
        if link.hello is not None:
            link.send_payload(payload, control=True)

    def _check_silence(self, link: Link) -> None:
        timeout_ms = self._timing.greeting_timeout_ms
        if link.hello is None and link.open_for_ms() > timeout_ms:
            link.abort(f"no hello within {timeout_ms} ms")
        elif link.silent_for_ms() > self._timing.accepted_silence_ms:
            link.abort()

    def _handle_message(self, link: Link, message: Message) -> None:
        if link.hello is None:
            self._handle_hello(link, message)
            return
        if isinstance(message, Heartbeat):
            link.send(HeartbeatReply(sequence=message.sequence))
        self._events.link_message(link.hello.node.host, link.session, message, False)

    def _handle_hello(self, link: Link, message: Message) -> None:
        reason = self._find_hello_fault(message)
        if isinstance(message, Hello):
            link.send(self._build_hello(message.session))
        if reason is not None:
            link.fault = reason
            link.close()
            return
        link.accept_hello(message)
        self._close_other_incarnations(message.node)
        self._links[message.node, message.session] = link
        self._events.link_up(message.node.host, message, message.session, False)

    def _find_hello_fault(self, message: Message) -> str | None:
        if not isinstance(message, Hello):
            return f"first message is {type(message).__name__}, expected Hello"
        if message.protocol_version != PROTOCOL_VERSION:
            return (
                f"{message.node.host} uses protocol version"
                f" {message.protocol_version}, this node uses {PROTOCOL_VERSION}"
            )
        newest = max((s for node, s in self._links if node == message.node), default=0)
        if message.session <= newest:
            return f"session {message.session} is superseded by session {newest}"
        return None

    def _close_other_incarnations(self, node: NodeId) -> None:
        """Close the links of other incarnations of a host.

        After a restart their session numbers may be the same as those of the new
        incarnation, and their connections may stay open without traffic if the host
        was replaced.
        """
        others = [
            link
            for (other, _), link in self._links.items()
            if other.host == node.host and other != node
        ]
        for link in others:
            link.abort()
            self._remove_link(link)

    def _remove_link(self, link: Link) -> None:
        key = link.hello and (link.hello.node, link.session)
        if key and self._links.get(key) is link:
            del self._links[key]
            self._events.link_lost(key[0].host, link.session, False)

    def _handle_close(self, link: Link) -> None:
        self._connections.discard(link)
        self._remove_link(link)
        if link.fault is not None:
            peer = link.hello.node.host if link.hello else link.address
            self._on_refused(LinkRefusedError(peer=peer, reason=link.fault))
        self._connection_closed.set()
