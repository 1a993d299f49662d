"""The links that other nodes dial to this one."""

import asyncio
import itertools
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
    encode_now,
)
from sassafraswinch_node.link_timing import LinkTiming, beats

CLOSE_TIMEOUT_MS = 1_000
"""Longest wait for queued messages to be written when the server closes."""


class LinkServer:
    """Accepts links and keeps those of one incarnation of each host.

    A node that dials again keeps its older links here until they close or fall
    silent: answers may still travel on them.

    Args:
        hello: makes this node's greeting for the session number of a peer.
        events: told of links and messages.
        heartbeat: makes the heartbeat of a sequence number.
        refused: told of connections that aren't taken as links.
        timing: time constants.
        traffic: counts what is written.
    """

    def __init__(
        self,
        *,
        hello: Callable[[int], Hello],
        events: LinkEvents,
        heartbeat: Callable[[int], Heartbeat],
        refused: Callable[[LinkRefusedError], None] = lambda error: None,
        timing: LinkTiming | None = None,
        traffic: LinkTraffic | None = None,
    ):
        self._hello = hello
        self._events = events
        self._heartbeat = heartbeat
        self._refused = refused
        self._timing = timing or LinkTiming()
        self._traffic = traffic or LinkTraffic()
        self._sequences = itertools.count(1)
        self._links: dict[tuple[NodeId, int], Link] = {}
        self._connections: set[Link] = set()
        self._closing = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None

    async def start(self, ip: str, port: int) -> tuple[str, int]:
        """Listen, and return the address; port 0 takes any free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_link, ip, port)
        self._beating = asyncio.create_task(self._beat())
        return self._server.sockets[0].getsockname()[:2]

    def send(self, node: NodeId, session: int, message: Message) -> bool:
        """Send a message on a session that a node has dialled.

        False: nothing was or will be written. A peer that doesn't read what is
        queued for it loses the link, and so learns that it missed something.

        Raises:
            FrameTooLargeError: the message exceeds the bound of a frame.
        """
        link = self._links.get((node, session))
        if link is None:
            return False
        if link.send(message):
            return True
        link.abort("it doesn't read what is sent")
        return False

    async def close(self) -> None:
        """Stop listening and close the links after what is queued on them."""
        if self._server is None:
            return
        self._server.close()
        self._beating.cancel()
        for link in tuple(self._connections):
            link.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_MS / 1000):
                while self._connections:
                    self._closing.clear()
                    await self._closing.wait()
        for link in tuple(self._connections):
            link.abort()

    def _make_link(self) -> Link:
        link = Link(receive=self._receive, closed=self._closed, traffic=self._traffic)
        self._connections.add(link)
        return link

    async def _beat(self) -> None:
        async for paused in beats(self._timing.heartbeat_ms):
            payload = encode_now(self._heartbeat(next(self._sequences)))
            for link in tuple(self._connections):
                if paused:
                    link.forgive_silence()
                self._check_silence(link)
                if link.hello is not None:
                    link.send_payload(payload, control=True)

    def _check_silence(self, link: Link) -> None:
        greeting_ms = self._timing.greeting_timeout_ms
        if link.hello is None and link.open_for_ms() > greeting_ms:
            link.abort(f"no hello within {greeting_ms} ms")
        elif link.silent_for_ms() > self._timing.accepted_silence_ms:
            link.abort()

    def _receive(self, link: Link, message: Message) -> None:
        if link.hello is None:
            self._greeted(link, message)
            return
        if isinstance(message, Heartbeat):
            link.send(HeartbeatReply(sequence=message.sequence))
        self._events.link_message(link.hello.node.host, link.session, message, False)

    def _greeted(self, link: Link, message: Message) -> None:
        reason = self._greeting_fault(message)
        if isinstance(message, Hello):
            link.send(self._hello(message.session))
        if reason is not None:
            link.fault = reason
            link.close()
            return
        link.accept(message)
        self._lose_other_incarnations(message.node)
        self._links[message.node, message.session] = link
        self._events.link_up(message.node.host, message, message.session, False)

    def _greeting_fault(self, message: Message) -> str | None:
        if not isinstance(message, Hello):
            return f"first message is {type(message).__name__}, not Hello"
        if message.protocol_version != PROTOCOL_VERSION:
            return (
                f"{message.node.host} speaks protocol version"
                f" {message.protocol_version}, this node {PROTOCOL_VERSION}"
            )
        newest = max((s for node, s in self._links if node == message.node), default=0)
        if message.session <= newest:
            return f"session {message.session} was given up for session {newest}"
        return None

    def _lose_other_incarnations(self, node: NodeId) -> None:
        """Lose the links of earlier runs of a host that has started anew.

        Their sessions may have the same numbers as those of the new run, and their
        connections may stay silently open when the host was replaced.
        """
        others = [
            link
            for (other, _), link in self._links.items()
            if other.host == node.host and other != node
        ]
        for link in others:
            link.abort()
            self._lose(link)

    def _lose(self, link: Link) -> None:
        key = link.hello and (link.hello.node, link.session)
        if key and self._links.get(key) is link:
            del self._links[key]
            self._events.link_lost(key[0].host, link.session, False)

    def _closed(self, link: Link) -> None:
        self._connections.discard(link)
        self._lose(link)
        if link.fault is not None:
            peer = link.hello.node.host if link.hello else link.address
            self._refused(LinkRefusedError(peer=peer, reason=link.fault))
        self._closing.set()
