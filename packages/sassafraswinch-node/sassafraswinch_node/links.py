"""The links that this node dials to the hosts it calls."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
)
from sassafraswinch_node.link import (
    Link,
    LinkEvents,
    LinkRefusedError,
    LinkTraffic,
    encode_now,
)
from sassafraswinch_node.link_server import LinkServer
from sassafraswinch_node.link_timing import LinkTiming, beats

__all__ = ["LinkEvents", "LinkPool", "LinkRefusedError", "LinkServer", "LinkTiming"]

Address = tuple[str, int]
"""IP number and port."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Peer:
    """A wanted host: its greeted link, and the dialling of the next one."""

    host: str
    link: Link | None = None
    dialling: asyncio.Task | None = None
    error: str | None = None


class LinkPool:
    """Keeps one link up to each wanted host.

    A link that has gone silent is replaced, not blamed on the host: a new one is
    dialled beside it, and the old one is lost when the new one is up or can't be
    had. Meanwhile the pool sends nothing to that host.

    Args:
        hello: makes this node's greeting for a session number.
        addresses: the link address of a host; None where it isn't known.
        events: told of links and messages.
        heartbeat: makes the heartbeat of a sequence number.
        refused: told of peers whose greeting doesn't do.
        proved: told of host, session and time of sending of each heartbeat that
            was answered: all that was written before it has been read.
        rng: jitter of redials.
        timing: time constants.
        traffic: counts what is written.
    """

    def __init__(
        self,
        *,
        hello: Callable[[int], Hello],
        addresses: Callable[[str], Address | None],
        events: LinkEvents,
        heartbeat: Callable[[int], Heartbeat],
        refused: Callable[[LinkRefusedError], None] = lambda error: None,
        proved: Callable[[str, int, float], None] = lambda host, session, sent: None,
        rng: random.Random | None = None,
        timing: LinkTiming | None = None,
        traffic: LinkTraffic | None = None,
    ):
        self._hello = hello
        self._addresses = addresses
        self._events = events
        self._heartbeat = heartbeat
        self._refused = refused
        self._proved = proved
        self._rng = rng or random.Random()
        self._timing = timing or LinkTiming()
        self._traffic = traffic or LinkTraffic()
        self._sessions = itertools.count(1)
        self._sequences = itertools.count(1)
        self._peers: dict[str, _Peer] = {}
        self._beating: asyncio.Task | None = None

    def want(self, hosts: Iterable[str]) -> None:
        """Dial hosts that are new here, and close links to all others.

        A host with calls outstanding has to stay wanted until they have ended.
        """
        wanted = set(hosts)
        for host in self._peers.keys() - wanted:
            self._drop(self._peers.pop(host))
        for host in wanted - self._peers.keys():
            peer = self._peers[host] = _Peer(host=host)
            self._start_dialling(peer)
        if self._beating is None and self._peers:
            self._beating = asyncio.create_task(self._beat())

    def send(self, host: str, message: Message) -> int | None:
        """Send a message to a host.

        Returns:
            The session it was queued on: from here on it may reach the peer, now
            or later. None: nothing was or will be written.

        Raises:
            FrameTooLargeError: the message exceeds the bound of a frame.
        """
        peer = self._peers.get(host)
        if peer is None or peer.link is None or peer.dialling is not None:
            return None
        return peer.link.session if peer.link.send(message) else None

    def session(self, host: str) -> int | None:
        """Return the session of the link to a host; None where there is none."""
        peer = self._peers.get(host)
        return peer.link.session if peer and peer.link else None

    def links(self) -> dict[str, Link]:
        """Return the open link to each host that has one."""
        return {peer.host: peer.link for peer in self._peers.values() if peer.link}

    def errors(self) -> dict[str, str]:
        """Return why the last dial failed, for each host without a link."""
        return {
            peer.host: peer.error
            for peer in self._peers.values()
            if peer.error and peer.link is None
        }

    async def close(self) -> None:
        """Close all links after what is queued on them."""
        self.want(())
        if self._beating is not None:
            self._beating.cancel()
            self._beating = None
        await asyncio.sleep(0)

    def _drop(self, peer: _Peer) -> None:
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        if peer.link is not None:
            peer.link.close()
            self._lose(peer)

    def _lose(self, peer: _Peer) -> None:
        link, peer.link = peer.link, None
        if link is not None:
            self._events.link_lost(peer.host, link.session, True)

    async def _beat(self) -> None:
        async for paused in beats(self._timing.heartbeat_ms):
            sequence = next(self._sequences)
            payload = encode_now(self._heartbeat(sequence))
            for peer in self._peers.values():
                if peer.link is None or peer.dialling is not None:
                    continue
                if paused:
                    peer.link.forgive_silence()
                if peer.link.silent_for_ms() > self._timing.silence_ms:
                    self._start_dialling(peer)
                peer.link.send_payload(payload, control=True)
                peer.link.heartbeat_sent(sequence)

    def _start_dialling(self, peer: _Peer) -> None:
        peer.dialling = asyncio.create_task(self._dial(peer))

    async def _dial(self, peer: _Peer) -> None:
        delay_ms = self._timing.redial_min_ms
        while not await self._try_dial(peer):
            if peer.link is not None:
                peer.link.abort()
                self._lose(peer)
            await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)
            delay_ms = min(2 * delay_ms, self._timing.redial_max_ms)

    async def _try_dial(self, peer: _Peer) -> bool:
        timeout_ms = self._timing.greeting_timeout_ms
        greeting = asyncio.get_running_loop().create_future()
        link = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._connect(peer, greeting)
                await greeting
        except TimeoutError:
            peer.error = f"no hello within {timeout_ms} ms"
        except LinkRefusedError as error:
            peer.error = error.reason
            self._refused(error)
        except OSError as error:
            peer.error = str(error)
        finally:
            if link is not None and link.hello is None:
                link.abort()
        return link is not None and link.hello is not None

    async def _connect(self, peer: _Peer, greeting: asyncio.Future) -> Link:
        address = self._addresses(peer.host)
        if address is None:
            raise ConnectionError("no address of the host is known")
        session = next(self._sessions)
        make_link = partial(
            Link,
            receive=partial(self._receive, peer, greeting),
            closed=partial(self._closed, peer, greeting),
            session=session,
            traffic=self._traffic,
        )
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(make_link, *address)
        link.send(self._hello(session))
        return link

    def _receive(
        self, peer: _Peer, greeting: asyncio.Future, link: Link, message: Message
    ) -> None:
        if link.hello is None:
            self._greeted(peer, greeting, link, message)
        elif isinstance(message, HeartbeatReply):
            sent_at_ms = link.heartbeat_answered(message.sequence)
            if sent_at_ms is not None:
                self._proved(peer.host, link.session, sent_at_ms)
        else:
            self._events.link_message(peer.host, link.session, message, True)

    def _greeted(
        self, peer: _Peer, greeting: asyncio.Future, link: Link, message: Message
    ) -> None:
        if greeting.done():  # timed out, and the dialling task has yet to close it
            link.abort()
            return
        reason = _greeting_fault(peer.host, link.session, message)
        if reason is not None:
            link.abort(reason)
            return
        link.accept(message)
        old, peer.link = peer.link, link
        peer.dialling = peer.error = None
        greeting.set_result(None)
        self._events.link_up(peer.host, message, link.session, True)
        if old is not None:
            old.abort()
            self._events.link_lost(peer.host, old.session, True)

    def _closed(self, peer: _Peer, greeting: asyncio.Future, link: Link) -> None:
        if link is peer.link:
            self._lose(peer)
            if peer.dialling is None:
                self._start_dialling(peer)
        elif not greeting.done():
            reason = link.fault or "it closed the connection before a hello"
            greeting.set_exception(LinkRefusedError(peer=peer.host, reason=reason))


def _greeting_fault(host: str, session: int, message: Message) -> str | None:
    """Return what is wrong with the first message on a dialled link."""
    if not isinstance(message, Hello):
        return f"first message is {type(message).__name__}, not Hello"
    if message.protocol_version != PROTOCOL_VERSION:
        return (
            f"it speaks protocol version {message.protocol_version},"
            f" this node {PROTOCOL_VERSION}"
        )
    if message.node.host != host:
        return f"its address now belongs to host {message.node.host}"
    if message.session != session:
        return f"it greets session {message.session}, not {session}"
    return None
