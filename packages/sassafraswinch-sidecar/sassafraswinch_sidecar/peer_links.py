"""Links to all other sidecars: dialled to those that may run requests."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterable
from typing import Protocol

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.heartbeats import heartbeat_pause_ms
from sassafraswinch_sidecar.peer_link import (
    DEAD_MS,
    PROTOCOL_VERSION,
    SUSPECT_MS,
    PeerLink,
    WriteBatch,
)
from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.relay_protocol.ttypes import Hello
from sassafraswinch_sidecar.relay_wire import Message, serialize_message

CHECK_S = 0.25
"""Pause between checks of all links. One with requests under way from which nothing
came since the last check gets a heartbeat."""

YOUNG_MS = 3_000.0
"""Time after the start in which all links get a heartbeat at each check: after a loss
of power the entries know nothing of each other's demand, and servers are cold."""

DIAL_TIMEOUT_S = 0.8
"""Time for a connection: ways take milliseconds, and a host that is cut off never
answers."""

REDIAL_S = 0.3
"""Pause before a lost link is dialled again: restarted processes are back soon."""

STALL_MS = 300.0
"""Delay of the heartbeats from which this process itself stood still."""


class LinkListener(Protocol):
    """What the owner of the links is told."""

    def link_lost(self, ip: str) -> None:
        """A dialled link is gone; what was written may still arrive."""

    def dialled_message(self, ip: str, message: Message) -> None:
        """A peer answered on a dialled link."""

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """A peer asked something on the link that it dialled."""

    def accepted_lost(self, link: PeerLink) -> None:
        """A link that a peer dialled is gone."""

    def heartbeat(self) -> Message:
        """Return the heartbeat for all peers."""


class Peer:
    """A host to which a link is kept.

    Attributes:
        link: the link, once the peer has greeted.
        load: what the peer told on it.
        dialling: makes the link.
        connected: whether ``dialling`` has a connection and waits for the greeting.
        beat_ms: when the last heartbeat was sent.
    """

    def __init__(self):
        self.link: PeerLink | None = None
        self.load = PeerLoad()
        self.dialling: asyncio.Task | None = None
        self.connected = False
        self.beat_ms = 0.0


class PeerLinks:
    """Dials, accepts and watches the links of one sidecar.

    Args:
        own_ip: address of this host.
        port: port at which this sidecar accepts links.
        dial_port: port at which the others are dialled.
        incarnation: number of this process, which no other process has.
        listener: is told what happens.

    Attributes:
        peers: the hosts to which links are kept, by address.
        relied_on: peers that get a heartbeat at each check, since this sidecar must
            notice their loss within a second.
        accepted: links that peers dialled.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        port: int,
        dial_port: int,
        incarnation: int,
        listener: LinkListener,
    ):
        self.peers: dict[str, Peer] = {}
        self.relied_on: frozenset[str] = frozenset()
        self.accepted: set[PeerLink] = set()
        self._own_ip = own_ip
        self._port = port
        self._dial_port = dial_port
        self._greeting = Hello(
            protocol_version=PROTOCOL_VERSION, ip=own_ip, incarnation=incarnation
        )
        self._listener = listener
        self._batch = WriteBatch()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._opened_ms = 0.0

    @property
    def heartbeat_ms(self) -> float:
        """Pause between the heartbeats of a link that shows signs of life."""
        return heartbeat_pause_ms(len(self.peers))

    async def open(self) -> None:
        """Accept links and begin to send heartbeats."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._new_link(self._accepted_greeted, self._accepted_lost),
            self._own_ip,
            self._port,
            reuse_address=True,
        )
        self._beating = loop.create_task(self._beat())
        self._opened_ms = loop.time() * 1000

    async def close(self) -> None:
        """Close all links."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for peer in self.peers.values():
            if peer.dialling is not None:
                peer.dialling.cancel()
            if peer.link is not None:
                peer.link.close()
        for link in list(self.accepted):
            link.close()

    def keep(self, ips: Iterable[str]) -> None:
        """Keep links to these hosts, and give up those to others."""
        wanted = set(ips) - {self._own_ip}
        for ip in self.peers.keys() - wanted:
            peer = self.peers.pop(ip)
            if peer.dialling is not None:
                peer.dialling.cancel()
            if peer.link is not None:
                peer.link.close()
        for ip in wanted - self.peers.keys():
            self.peers[ip] = Peer()
            self._dial(ip, 0.0)

    def load_of(self, ip: str) -> PeerLoad | None:
        """Return the load of a peer that can be reached; None otherwise."""
        peer = self.peers.get(ip)
        if peer is None or peer.link is None or peer.link.silent_ms() > SUSPECT_MS:
            return None
        return peer.load

    def send(self, ip: str, message: Message) -> bool:
        """Write to a peer; False where nothing was written."""
        peer = self.peers.get(ip)
        return peer is not None and peer.link is not None and peer.link.send(message)

    def linked(self) -> Iterable[str]:
        """Return the addresses of peers with an open link."""
        return (ip for ip, peer in self.peers.items() if peer.link is not None)

    def unsent_bytes(self) -> int:
        """Return the bytes that are held for peers until they read them."""
        dialled = (peer.link for peer in self.peers.values() if peer.link is not None)
        return sum(
            link.unsent_bytes for link in itertools.chain(dialled, self.accepted)
        )

    def _new_link(
        self,
        greeted: Callable[[PeerLink], None],
        lost: Callable[[PeerLink], None],
    ) -> PeerLink:
        dialled = greeted == self._dialled_greeted
        return PeerLink(
            greeting=self._greeting,
            greeted=greeted,
            receive=self._dialled_message if dialled else self._accepted_message,
            lost=lost,
            batch=self._batch,
        )

    def _dial(self, ip: str, delay_s: float) -> None:
        peer = self.peers.get(ip)
        if peer is not None and peer.dialling is None:
            loop = asyncio.get_running_loop()
            peer.dialling = loop.create_task(self._keep_dialling(ip, peer, delay_s))

    async def _keep_dialling(self, ip: str, peer: Peer, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(delay_s)
        while True:
            peer.connected = False
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await loop.create_connection(
                        lambda: self._new_link(
                            self._dialled_greeted, self._dialled_lost
                        ),
                        ip,
                        self._dial_port,
                    )
                peer.connected = True
                # The peer's greeting completes the link; without one it is dropped.
                await asyncio.sleep(DIAL_TIMEOUT_S)
                if peer.link is not None:
                    break
            await asyncio.sleep(REDIAL_S)
        peer.dialling = None

    def _dialled_greeted(self, link: PeerLink) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None:
            link.abort("not wanted any more")
            return
        old, peer.link = peer.link, link
        if old is not None:
            old.abort("replaced")
        peer.load = PeerLoad()
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        log_event("link_up", peer=link.peer_ip, incarnation=link.incarnation)
        link.send(self._listener.heartbeat())
        link.expect_reply()

    def _dialled_lost(self, link: PeerLink) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        log_event("link_lost", peer=link.peer_ip, reason=link.fault)
        self._listener.link_lost(link.peer_ip)
        self._dial(link.peer_ip, REDIAL_S)

    def _dialled_message(self, link: PeerLink, message: Message) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is not None and peer.link is link:
            self._listener.dialled_message(link.peer_ip, message)

    def _accepted_greeted(self, link: PeerLink) -> None:
        self.accepted.add(link)
        peer = self.peers.get(link.peer_ip)
        if peer is not None:
            self._dial_at_once(peer, link)

    def _dial_at_once(self, peer: Peer, greeted: PeerLink) -> None:
        """Dial a peer that has just shown that it is up.

        Failure: all hosts lose power and are back within 0.3 s of each other. Whoever
        is up first dials the others before they are, its opening packets are lost, and
        it waits a second for links that would be up at once; meanwhile requests find
        no server, and half of the credit of the first two seconds was lost.
        """
        former = peer.link
        if former is not None and former.incarnation != greeted.incarnation:
            former.abort("restarted")
            self._dialled_lost(former)
        if peer.link is not None or peer.connected:
            return
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        self._dial(greeted.peer_ip, 0.0)

    def _accepted_message(self, link: PeerLink, message: Message) -> None:
        self._listener.accepted_message(link, message)

    def _accepted_lost(self, link: PeerLink) -> None:
        self.accepted.discard(link)
        self._listener.accepted_lost(link)

    async def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_ms = (loop.time() + CHECK_S) * 1000
            await asyncio.sleep(CHECK_S)
            now_ms = loop.time() * 1000
            stalled = now_ms - due_ms > STALL_MS
            young = now_ms - self._opened_ms < YOUNG_MS
            pause_ms = CHECK_S * 1000 if young else self.heartbeat_ms
            heartbeat = serialize_message(self._listener.heartbeat())
            for peer in list(self.peers.values()):
                if peer.link is None:
                    continue
                relied_on = peer.link.peer_ip in self.relied_on
                beat_ms = CHECK_S * 1000 if relied_on else pause_ms
                self._check(peer, heartbeat, now_ms, beat_ms, stalled)

    def _check(
        self,
        peer: Peer,
        heartbeat: bytes,
        now_ms: float,
        pause_ms: float,
        stalled: bool,
    ) -> None:
        link = peer.link
        if stalled:
            link.forgive_silence()
        if link.silent_ms() > DEAD_MS:
            link.abort("silent")
            return
        quiet = not link.heard_since_check and peer.load.outstanding > 0
        link.heard_since_check = False
        if not quiet and now_ms - peer.beat_ms < pause_ms - CHECK_S * 1000 / 2:
            return
        if link.send_frame(heartbeat):
            peer.beat_ms = now_ms
            link.expect_reply()
