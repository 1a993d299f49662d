"""Pool of the links that a node dials to the hosts it calls."""

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
    encode_with_timestamp,
)
from sassafraswinch_node.link_server import LinkServer
from sassafraswinch_node.link_timing import LinkTiming, heartbeat_intervals
from sassafraswinch_node.supervision import report_failure, run_step, start_supervised

__all__ = ["LinkEvents", "LinkPool", "LinkRefusedError", "LinkServer", "LinkTiming"]

Address = tuple[str, int]
"""IP address and port."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Peer:
    """A host to keep a link to: its open link, and the task that dials the next one."""

    host: str
    link: Link | None = None
    dialling: asyncio.Task | None = None
    error: str | None = None


class LinkPool:
    """Keeps one link open to each host of a given set.

    A silent link does not mean that its host is down: a new link is dialled beside it,
    and the old one is closed when the new one is open or the dial has failed. Until
    then the pool sends nothing to that host.

    Args:
        build_hello: returns this node's hello for a session number.
        find_address: returns the link address of a host; None if it isn't known.
        events: callbacks for links and messages.
        build_heartbeat: returns the heartbeat for a sequence number.
        on_refused: called with the fault of each peer that is refused.
        on_heartbeat_reply: called with host, session and sending time of each answered
            build_heartbeat: the peer has read all data written before it.
        rng: source of the jitter of redials.
        timing: intervals and timeouts.
        traffic: byte counters of all links.
    """

    def __init__(
        self,
        *,
        build_hello: Callable[[int], Hello],
        find_address: Callable[[str], Address | None],
        events: LinkEvents,
        build_heartbeat: Callable[[int], Heartbeat],
        on_refused: Callable[[LinkRefusedError], None] = lambda error: None,
        on_heartbeat_reply: Callable[
            [str, int, float], None
        ] = lambda host, session, sent: None,
        rng: random.Random | None = None,
        timing: LinkTiming | None = None,
        traffic: LinkTraffic | None = None,
    ):
        self._build_hello = build_hello
        self._find_address = find_address
        self._events = events
        self._build_heartbeat = build_heartbeat
        self._on_refused = on_refused
        self._on_heartbeat_reply = on_heartbeat_reply
        self._rng = rng or random.Random()
        self._timing = timing or LinkTiming()
        self._traffic = traffic or LinkTraffic()
        self._sessions = itertools.count(1)
        self._sequences = itertools.count(1)
        self._peers: dict[str, _Peer] = {}
        self._heartbeat_task: asyncio.Task | None = None

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the hosts to keep links to: dial new ones, close links to all others.

        A host with outstanding calls must stay in the set until they have ended.
        """
        wanted = set(hosts)
        for host in self._peers.keys() - wanted:
            self._remove_peer(self._peers.pop(host))
        for host in wanted - self._peers.keys():
            peer = self._peers[host] = _Peer(host=host)
            self._start_dialling(peer)
        if self._heartbeat_task is None and self._peers:
            self._heartbeat_task = start_supervised("heartbeats", self._send_heartbeats)

    def send(self, host: str, message: Message) -> int | None:
        """Send a message to a host.

        Returns:
            The session it was queued on, where it may reach the peer at any later
            time. None if no part of it was or will be written.

        Raises:
            FrameTooLargeError: the message is longer than a frame may be.
        """
        peer = self._peers.get(host)
        if peer is None or peer.link is None or peer.dialling is not None:
            return None
        return peer.link.session if peer.link.send(message) else None

    def session(self, host: str) -> int | None:
        """Return the session of the link to a host; None if there is no link."""
        peer = self._peers.get(host)
        return peer.link.session if peer and peer.link else None

    def links(self) -> dict[str, Link]:
        """Return the open link to each host that has one."""
        return {peer.host: peer.link for peer in self._peers.values() if peer.link}

    def dial_errors(self) -> dict[str, str]:
        """Return the error of the last dial, for each host without a link."""
        return {
            peer.host: peer.error
            for peer in self._peers.values()
            if peer.error and peer.link is None
        }

    async def close(self) -> None:
        """Write the queued messages, then close all links."""
        self.set_hosts(())
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
            self._heartbeat_task = None
        await asyncio.sleep(0)

    def _remove_peer(self, peer: _Peer) -> None:
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        if peer.link is not None:
            peer.link.close()
            self._remove_link(peer)

    def _remove_link(self, peer: _Peer) -> None:
        link, peer.link = peer.link, None
        if link is not None:
            self._events.link_lost(peer.host, link.session, True)

    async def _send_heartbeats(self) -> None:
        async for paused in heartbeat_intervals(self._timing.heartbeat_ms):
            run_step("heartbeats", self._send_to_linked_peers, paused)

    def _send_to_linked_peers(self, paused: bool) -> None:
        sequence = next(self._sequences)
        payload = encode_with_timestamp(self._build_heartbeat(sequence))
        for peer in tuple(self._peers.values()):
            if peer.link is None or peer.dialling is not None:
                continue
            if paused:
                peer.link.restart_silence_timer()
            run_step("heartbeat", self._send_heartbeat, peer, sequence, payload)

    def _send_heartbeat(self, peer: _Peer, sequence: int, payload: bytes) -> None:
        if peer.link.silent_for_ms() > self._timing.silence_ms:
            self._start_dialling(peer)
        peer.link.send_payload(payload, control=True)
        peer.link.record_heartbeat(sequence)

    def _start_dialling(self, peer: _Peer) -> None:
        peer.dialling = asyncio.create_task(self._dial(peer))

    async def _dial(self, peer: _Peer) -> None:
        delay_ms = self._timing.redial_min_ms
        while not await self._try_dial(peer):
            if peer.link is not None:
                peer.link.abort()
                self._remove_link(peer)
            await asyncio.sleep(delay_ms * self._rng.uniform(0.5, 1.0) / 1000)
            delay_ms = min(2 * delay_ms, self._timing.redial_max_ms)

    async def _try_dial(self, peer: _Peer) -> bool:
        timeout_ms = self._timing.greeting_timeout_ms
        handshake = asyncio.get_running_loop().create_future()
        link = None
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                link = await self._connect(peer, handshake)
                await handshake
        except TimeoutError:
            peer.error = f"no hello within {timeout_ms} ms"
        except LinkRefusedError as error:
            peer.error = error.reason
            self._on_refused(error)
        except OSError as error:
            peer.error = str(error)
        except Exception as error:
            # The host must still be dialled again, perhaps at another address.
            peer.error = repr(error)
            report_failure("dial_host", error)
        finally:
            if link is not None and link.hello is None:
                link.abort()
        return link is not None and link.hello is not None

    async def _connect(self, peer: _Peer, handshake: asyncio.Future) -> Link:
        address = self._find_address(peer.host)
        if address is None:
            raise ConnectionError("the link address of the host is not known")
        session = next(self._sessions)
        create_link = partial(
            Link,
            on_message=partial(self._handle_message, peer, handshake),
            on_closed=partial(self._handle_close, peer, handshake),
            session=session,
            traffic=self._traffic,
        )
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(create_link, *address)
        link.send(self._build_hello(session))
        return link

    def _handle_message(
        self, peer: _Peer, handshake: asyncio.Future, link: Link, message: Message
    ) -> None:
        if link.hello is None:
            self._handle_hello(peer, handshake, link, message)
        elif isinstance(message, HeartbeatReply):
            sent_at_ms = link.record_heartbeat_reply(message.sequence)
            if sent_at_ms is not None:
                self._on_heartbeat_reply(peer.host, link.session, sent_at_ms)
        else:
            self._events.link_message(peer.host, link.session, message, True)

    def _handle_hello(
        self, peer: _Peer, handshake: asyncio.Future, link: Link, message: Message
    ) -> None:
        if handshake.done():  # timed out; the dialling task has not closed the link yet
            link.abort()
            return
        reason = _find_hello_fault(peer.host, link.session, message)
        if reason is not None:
            link.abort(reason)
            return
        link.accept_hello(message)
        old, peer.link = peer.link, link
        peer.dialling = peer.error = None
        handshake.set_result(None)
        self._events.link_up(peer.host, message, link.session, True)
        if old is not None:
            old.abort()
            self._events.link_lost(peer.host, old.session, True)

    def _handle_close(self, peer: _Peer, handshake: asyncio.Future, link: Link) -> None:
        if link is peer.link:
            self._remove_link(peer)
            if peer.dialling is None:
                self._start_dialling(peer)
        elif not handshake.done():
            reason = link.fault or "peer closed the connection before its hello"
            handshake.set_exception(LinkRefusedError(peer=peer.host, reason=reason))


def _find_hello_fault(host: str, session: int, message: Message) -> str | None:
    """Return the fault of the first message on a dialled link, or None."""
    if not isinstance(message, Hello):
        return f"first message is {type(message).__name__}, expected Hello"
    if message.protocol_version != PROTOCOL_VERSION:
        return (
            f"peer uses protocol version {message.protocol_version},"
            f" this node uses {PROTOCOL_VERSION}"
        )
    if message.node.host != host:
        return f"its address now belongs to host {message.node.host}"
    if message.session != session:
        return f"hello is for session {message.session}, expected {session}"
    return None
