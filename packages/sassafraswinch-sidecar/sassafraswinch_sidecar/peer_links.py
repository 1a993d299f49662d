"""Links to other sidecars: dialled when a request goes there, or kept for a duty."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.message_codec import Message
from sassafraswinch_sidecar.peer import Peer
from sassafraswinch_sidecar.peer_link import (
    LINK_TIMEOUT_MS,
    PROTOCOL_VERSION,
    PeerLink,
    WriteBatch,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    Heartbeat,
    HeartbeatReply,
    Hello,
    RelayCancel,
    RelayRequest,
    RelayResponse,
)

LINK_CHECK_INTERVAL_S = 0.25
"""Pause between checks of the links. One with requests under way from which nothing
came since the last check gets a heartbeat."""

WAIT_MS = 300.0
"""Longest wait of a request for its link. Dialling, or asking for a sign of life, takes
milliseconds, and tens of them at a host that starts; another host serves it sooner."""

UNREACHABLE_BACKOFF_MS = 1_000.0
"""Time in which nothing is sent to a host whose link didn't come up: its server's
entry, and what gatherers tell, follow within seconds."""

DIAL_TIMEOUT_S = 0.8
"""Time for a connection: ways take milliseconds, and a host that is cut off never
answers."""

REDIAL_DELAY_S = 0.3
"""Pause before a kept link is dialled again: restarted processes are back soon."""

SUSPENSION_THRESHOLD_MS = 300.0
"""Delay of the checks from which this process itself stood still."""


class LinkListener(Protocol):
    """What the owner of the links is told."""

    def link_opened(self, link: PeerLink) -> None:
        """A link is up, whichever side dialled it."""

    def link_lost(self, ip: str) -> None:
        """A dialled link is gone; what was written may still arrive."""

    def requests_unsent(self, requests: Collection[RelayRequest]) -> None:
        """Requests that waited for a link weren't written, and never will be."""

    def is_pending(self, call_id: int) -> bool:
        """Return whether a request that waited for its link still has to go."""

    def dialled_message(self, ip: str, message: Message) -> None:
        """A peer answered on a dialled link."""

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """A peer asked something on the link that it dialled."""

    def accepted_link_lost(self, link: PeerLink) -> None:
        """A link that a peer dialled is gone."""


class PeerLinks:
    """Dials, accepts and watches the links of one sidecar.

    A request goes to a link that has just shown signs of life, or waits a moment for
    one. Failure: most links of a large fleet are idle, and one that fell silent is
    found out by the first request on it, which is then lost or runs for nobody. Asking
    first costs a message each way; heartbeats on all links would be ten times as many
    messages as requests in a fleet of two hundred.

    Args:
        own_ip: address of this host.
        availability_zone: where it is.
        port: port at which this sidecar accepts links.
        dial_port: port at which the others are dialled.
        incarnation: number of this process, which no other process has.
        listener: is told what happens.

    Attributes:
        peers: the hosts to which links were dialled, by address.
        accepted: links that peers dialled.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        availability_zone: str,
        port: int,
        dial_port: int,
        incarnation: int,
        listener: LinkListener,
    ):
        self.peers: dict[str, Peer] = {}
        self.accepted: set[PeerLink] = set()
        self._own_ip = own_ip
        self._port = port
        self._dial_port = dial_port
        self._greeting = Hello(
            protocol_version=PROTOCOL_VERSION,
            ip=own_ip,
            incarnation=incarnation,
            availability_zone=availability_zone,
            takes_suspects=True,
        )
        self._listener = listener
        self._batch = WriteBatch()
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._checking: asyncio.Task | None = None

    async def open(self) -> None:
        """Accept links and begin to watch them."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._new_link(self._accepted_greeted, self._accepted_lost),
            self._own_ip,
            self._port,
            reuse_address=True,
        )
        self._checking = loop.create_task(self._check_forever())

    async def close(self) -> None:
        """Close all links."""
        if self._checking is not None:
            self._checking.cancel()
        if self._server is not None:
            self._server.close()
        for peer in self.peers.values():
            peer.pop_waiting(self._now_ms())
            if peer.dialling is not None:
                peer.dialling.cancel()
            if peer.link is not None:
                peer.link.close()
        for link in list(self.accepted):
            link.close()

    def maintain(self, ips: Iterable[str]) -> None:
        """Keep links to these hosts; those to others stay until they are lost."""
        wanted = set(ips) - {self._own_ip}
        for ip, peer in self.peers.items():
            peer.persistent = ip in wanted
        for ip in wanted:
            peer = self._peer(ip)
            peer.persistent = True
            if peer.link is None:
                self._dial(ip, 0.0)

    def dial_once(self, ip: str) -> None:
        """Dial a host once, so that it hears of this one."""
        if ip != self._own_ip and self._peer(ip).link is None:
            self._dial(ip, 0.0)

    def can_reach(self, ip: str) -> bool:
        """Return whether a request may be sent to a host, as far as its link tells."""
        peer = self.peers.get(ip)
        return peer is None or peer.accepts_requests(self._now_ms())

    def send_request(self, ip: str, request: RelayRequest) -> bool:
        """Send a request, or let it wait for its link.

        Returns:
            False where it will never be written.
        """
        if not self.can_reach(ip):
            return False
        peer = self._peer(ip)
        if peer.link is not None and not peer.waiting and peer.is_live:
            return self._write(peer, request)
        peer.waiting.append((self._now_ms(), request))
        if peer.link is None:
            self._dial(ip, 0.0)
        else:
            self._ask(peer.link)
        if peer.timer is None:
            loop = asyncio.get_running_loop()
            peer.timer = loop.call_later(WAIT_MS / 1000, self._waited, peer)
        return True

    def cancel(self, ip: str, call_id: int) -> None:
        """Withdraw a request, whether it has been written or still waits."""
        peer = self.peers.get(ip)
        if peer is None:
            return
        if any(request.call_id == call_id for _, request in peer.waiting):
            return  # Nobody wants it any more, so it isn't written.
        if peer.link is not None and peer.link.send(RelayCancel(call_id=call_id)):
            peer.outstanding = max(0, peer.outstanding - 1)

    def send(self, ip: str, message: Message) -> bool:
        """Write to a peer; False where nothing was written."""
        peer = self.peers.get(ip)
        return peer is not None and peer.link is not None and peer.link.send(message)

    def poll(self, ip: str, frame: bytes) -> None:
        """Write a frame to a peer, which owes an answer to it."""
        peer = self.peers.get(ip)
        if peer is not None and peer.link is not None and peer.link.send_frame(frame):
            peer.link.expect_reply()

    def linked(self) -> Iterable[str]:
        """Return the addresses of peers with an open link."""
        return (ip for ip, peer in self.peers.items() if peer.link is not None)

    def unsent_bytes(self) -> int:
        """Return the bytes that are held for peers until they read them."""
        dialled = (peer.link for peer in self.peers.values() if peer.link is not None)
        return sum(
            link.unsent_bytes for link in itertools.chain(dialled, self.accepted)
        )

    def _peer(self, ip: str) -> Peer:
        peer = self.peers.get(ip)
        if peer is None:
            peer = self.peers[ip] = Peer()
        return peer

    def _write(self, peer: Peer, request: RelayRequest) -> bool:
        if not peer.link.send(request):
            return False
        peer.outstanding += 1
        return True

    def _ask(self, link: PeerLink) -> None:
        """Ask a peer for a sign of life, unless it owes one already."""
        if not link.silent_ms() and link.send(Heartbeat(next(self._sequence))):
            link.expect_reply()

    def _waited(self, peer: Peer) -> None:
        """End the wait for a link that didn't come up in time."""
        peer.timer = None
        peer.backoff_until_ms = self._now_ms() + UNREACHABLE_BACKOFF_MS
        self._return_waiting(peer)

    def _flush(self, peer: Peer) -> None:
        """Write the requests that waited for the link."""
        wanted = (
            request
            for request in peer.pop_waiting(self._now_ms())
            if self._listener.is_pending(request.call_id)
        )
        unsent = [request for request in wanted if not self._write(peer, request)]
        if unsent:
            self._listener.requests_unsent(unsent)

    def _return_waiting(self, peer: Peer) -> None:
        waiting = peer.pop_waiting(self._now_ms())
        if waiting:
            self._listener.requests_unsent(waiting)

    def _new_link(
        self,
        greeted: Callable[[PeerLink], None],
        lost: Callable[[PeerLink], None],
    ) -> PeerLink:
        dialled = greeted == self._dialled_greeted
        return PeerLink(
            own_hello=self._greeting,
            on_handshake=greeted,
            on_message=self._dialled_message if dialled else self._accepted_message,
            on_lost=lost,
            batch=self._batch,
        )

    def _dial(self, ip: str, delay_s: float) -> None:
        peer = self.peers[ip]
        if peer.dialling is None:
            loop = asyncio.get_running_loop()
            peer.dialling = loop.create_task(self._keep_dialling(ip, peer, delay_s))

    async def _keep_dialling(self, ip: str, peer: Peer, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while not await self._dial_once(ip, peer):
            if not peer.persistent:
                peer.backoff_until_ms = self._now_ms() + UNREACHABLE_BACKOFF_MS
                break
            await asyncio.sleep(REDIAL_DELAY_S)
        peer.dialling = None
        if peer.link is None:
            self._return_waiting(peer)

    async def _dial_once(self, ip: str, peer: Peer) -> bool:
        loop = asyncio.get_running_loop()
        peer.connected = False
        peer.handshake_done.clear()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await loop.create_connection(
                    lambda: self._new_link(self._dialled_greeted, self._dialled_lost),
                    ip,
                    self._dial_port,
                )
        except (OSError, TimeoutError):
            return False
        peer.connected = True
        # The peer's greeting completes the link; without one it is dropped.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await peer.handshake_done.wait()
        return peer.link is not None

    def _dialled_greeted(self, link: PeerLink) -> None:
        peer = self.peers[link.peer_ip]
        old, peer.link = peer.link, link
        if old is not None:
            old.abort("replaced")
        peer.outstanding = 0
        peer.backoff_until_ms = 0.0
        # The task that dials ends by itself. Failure: the greeting is read before the
        # dialling has returned; cancelled then, it closes the connection, and the link
        # stays as one that looks open.
        peer.handshake_done.set()
        log_event("link_up", peer=link.peer_ip, incarnation=link.incarnation)
        self._listener.link_opened(link)
        self._flush(peer)

    def _dialled_lost(self, link: PeerLink) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        peer.outstanding = 0
        log_event("link_lost", peer=link.peer_ip, reason=link.fault)
        self._listener.link_lost(link.peer_ip)
        if peer.persistent:
            self._dial(link.peer_ip, REDIAL_DELAY_S)
        elif peer.waiting:
            self._dial(link.peer_ip, 0.0)

    def _dialled_message(self, link: PeerLink, message: Message) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None or peer.link is not link:
            return
        if isinstance(message, RelayResponse):
            peer.outstanding = max(0, peer.outstanding - 1)
        elif isinstance(message, HeartbeatReply) and message.sequence:
            link.record_reply()
        self._listener.dialled_message(link.peer_ip, message)
        if peer.waiting and peer.is_live:
            self._flush(peer)

    def _accepted_greeted(self, link: PeerLink) -> None:
        self.accepted.add(link)
        self._listener.link_opened(link)
        peer = self.peers.get(link.peer_ip)
        if peer is not None:
            self._heed_greeting(peer, link)

    def _heed_greeting(self, peer: Peer, greeted: PeerLink) -> None:
        """Take up a link to a peer that has just shown that it is up.

        Failure: all hosts lose power and are back within 0.3 s of each other. Whoever
        is up first dials the others before they are, its opening packets are lost, and
        it waits a second for links that would be up at once; meanwhile requests find
        no server, and half of the credit of the first two seconds was lost.
        """
        peer.backoff_until_ms = 0.0
        former = peer.link
        if former is not None and former.incarnation != greeted.incarnation:
            former.abort("restarted")
            self._dialled_lost(former)
        if peer.link is not None or peer.connected:
            return
        if not peer.persistent and peer.dialling is None:
            return
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        self._dial(greeted.peer_ip, 0.0)

    def _accepted_message(self, link: PeerLink, message: Message) -> None:
        self._listener.accepted_message(link, message)

    def _accepted_lost(self, link: PeerLink) -> None:
        self.accepted.discard(link)
        self._listener.accepted_link_lost(link)

    async def _check_forever(self) -> None:
        while True:
            due_ms = self._now_ms() + LINK_CHECK_INTERVAL_S * 1000
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
            stalled = self._now_ms() - due_ms > SUSPENSION_THRESHOLD_MS
            for peer in list(self.peers.values()):
                if peer.link is not None:
                    self._check(peer, peer.link, stalled)

    def _check(self, peer: Peer, link: PeerLink, stalled: bool) -> None:
        if stalled:
            link.forgive_silence()
        if link.silent_ms() > LINK_TIMEOUT_MS:
            link.abort("silent")
            return
        quiet = not link.received_since_check and peer.outstanding > 0
        link.received_since_check = False
        if quiet:
            self._ask(link)

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000
