"""Links of a sidecar to its peers: dialling, accepting and supervision.

A link is dialled on demand, when a request goes to the peer, or kept up persistently.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from sassafraswinch_node.addresses import Address
from sassafraswinch_node.listening_sockets import BACKLOG, bind
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.supervision import report_failure, run_step
from sassafraswinch_sidecar.held_bytes import HeldBytes
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
    RelayWaitLimit,
)

LINK_CHECK_INTERVAL_S = 0.25
"""Interval of the link checks. A link with requests in flight that received nothing
since the last check is sent a heartbeat."""

MAX_LINK_WAIT_MS = 300.0
"""Longest wait of a request for its link. Dialling or a heartbeat takes milliseconds,
tens of milliseconds if the host is just starting; after this time another host serves
the request sooner."""

UNREACHABLE_BACKOFF_MS = 1_000.0
"""Time for which no request is sent to a host whose link couldn't be established; its
server's registration and the reports of the aggregators follow within seconds."""

DIAL_TIMEOUT_S = 0.8
"""Timeout of a connection attempt, and of the handshake after it; round trips take
milliseconds, and an unreachable host never answers."""

REDIAL_DELAY_S = 0.3
"""Delay before a lost persistent link is dialled again; restarts are short."""

SUSPENSION_THRESHOLD_MS = 300.0
"""Delay of a link check above which this process counts as having been suspended."""


class LinkListener(Protocol):
    """Receives the events of the links."""

    def link_opened(self, link: PeerLink) -> None:
        """Handle a completed handshake, whichever side dialled the link."""

    def link_lost(self, ip: str, unsent: Collection[int]) -> None:
        """Handle the loss of a dialled link; what was written may still arrive.

        Args:
            ip: address of the peer.
            unsent: call ids of the requests that were not written completely.
        """

    def requests_unsent(self, call_ids: Collection[int]) -> None:
        """Handle requests that were not written completely and never will be."""

    def is_pending(self, call_id: int) -> bool:
        """Return whether a request that waited for its link is still to be sent."""

    def dialled_message(self, ip: str, message: Message) -> None:
        """Handle a message from a peer on a dialled link."""

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """Handle a message from a peer on a link that the peer dialled."""

    def accepted_link_lost(self, link: PeerLink) -> None:
        """Handle the loss of a link that a peer dialled."""


class PeerLinks:
    """Dials, accepts and supervises the links of one sidecar.

    A request is written to a link that has recently received something, or waits
    briefly for a heartbeat reply. Failure: most links of a large fleet are idle, and
    without this check a silent link is detected only by the first request on it, which
    is lost or runs although nobody receives its response. The heartbeat costs one
    message each way; heartbeats on all links would be ten times as many messages as
    requests in a fleet of two hundred hosts.

    Args:
        own_ip: IP address of this host.
        availability_zone: availability zone of this host.
        port: port on which this sidecar accepts links.
        dial_port: port on which peers are dialled.
        incarnation: unique number of this process.
        listener: receives the events of the links.
        held: memory limit of the bodies in this process.

    Attributes:
        peers: the hosts to which links were dialled, by IP address.
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
        held: HeldBytes,
    ):
        self.peers: dict[str, Peer] = {}
        self.accepted: set[PeerLink] = set()
        self._own_ip = own_ip
        self._port = port
        self._dial_port = dial_port
        self._hello = Hello(
            protocol_version=PROTOCOL_VERSION,
            ip=own_ip,
            incarnation=incarnation,
            availability_zone=availability_zone,
            takes_suspects=True,
            takes_chunks=True,
            takes_wait_limits=True,
        )
        self._held = held
        self._listener = listener
        self._batch = WriteBatch()
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._check_task: asyncio.Task | None = None

    @property
    def address(self) -> Address:
        """Address at which links are accepted."""
        return Address(ip=self._own_ip, port=self._port)

    async def open(self) -> None:
        """Listen for links and start the link checks."""
        await self.serve(bind(self._own_ip, self._port))

    async def serve(self, listening: socket.socket) -> None:
        """Accept links on a listening socket and start the link checks."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: self._new_link(self._accepted_handshake, self._accepted_lost),
            sock=listening,
            backlog=BACKLOG,
        )
        self._check_task = loop.create_task(self._check_forever())

    async def close(self) -> None:
        """Close all links."""
        if self._check_task is not None:
            self._check_task.cancel()
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
        """Keep links to these hosts up; others aren't dialled again once lost."""
        wanted = set(ips) - {self._own_ip}
        for ip, peer in self.peers.items():
            peer.persistent = ip in wanted
        for ip in wanted:
            peer = self._peer(ip)
            peer.persistent = True
            if peer.link is None:
                self._dial(ip, 0.0)

    def dial_once(self, ip: str) -> None:
        """Dial a host once, which announces this sidecar to it."""
        if ip != self._own_ip and self._peer(ip).link is None:
            self._dial(ip, 0.0)

    def can_reach(self, ip: str) -> bool:
        """Return whether the state of a host's link allows sending it a request."""
        peer = self.peers.get(ip)
        return peer is None or peer.accepts_requests(self._now_ms())

    def send_request(self, ip: str, request: RelayRequest) -> bool:
        """Send a request, or queue it until its link works.

        Returns:
            False if it will never be written.
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
            self._send_heartbeat(peer.link)
        if peer.timer is None:
            loop = asyncio.get_running_loop()
            peer.timer = loop.call_later(MAX_LINK_WAIT_MS / 1000, self._end_wait, peer)
        return True

    def cancel(self, ip: str, call_id: int) -> None:
        """Cancel a request that has been written or still waits."""
        peer = self.peers.get(ip)
        if peer is None:
            return
        if any(request.call_id == call_id for _, request in peer.waiting):
            return  # ``is_pending`` is false for it by now, so it won't be written.
        if peer.link is None:
            return
        peer.link.cancel_bodies(call_id)
        if peer.link.send(RelayCancel(call_id=call_id)):
            peer.outstanding = max(0, peer.outstanding - 1)

    def limit_wait(self, ip: str, call_id: int, max_wait_ms: int) -> None:
        """Limit how long a request that has been written waits for a slot."""
        peer = self.peers.get(ip)
        if peer is None or peer.link is None or not peer.link.takes_wait_limits:
            return
        peer.link.send(RelayWaitLimit(call_id=call_id, max_wait_ms=max_wait_ms))

    def send(self, ip: str, message: Message) -> bool:
        """Send a message to a linked peer; False if nothing was written."""
        peer = self.peers.get(ip)
        return peer is not None and peer.link is not None and peer.link.send(message)

    def poll(self, ip: str, frame: bytes) -> None:
        """Send a frame to a linked peer and expect a reply to it."""
        peer = self.peers.get(ip)
        if peer is not None and peer.link is not None and peer.link.send_frame(frame):
            peer.link.expect_reply()

    def linked(self) -> Iterable[str]:
        """Return the addresses of peers with an open link."""
        return (ip for ip, peer in self.peers.items() if peer.link is not None)

    def unsent_bytes(self) -> int:
        """Return the number of bytes buffered for peers that haven't read them yet."""
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

    def _send_heartbeat(self, link: PeerLink) -> None:
        """Send a heartbeat, unless one is unanswered already."""
        if not link.silent_ms() and link.send(Heartbeat(next(self._sequence))):
            link.expect_reply()

    def _end_wait(self, peer: Peer) -> None:
        """Give back the requests whose link wasn't usable in time."""
        peer.timer = None
        peer.backoff_until_ms = self._now_ms() + UNREACHABLE_BACKOFF_MS
        self._return_waiting(peer)

    def _send_waiting(self, peer: Peer) -> None:
        """Write the requests that wait for the link."""
        pending = (
            request
            for request in peer.pop_waiting(self._now_ms())
            if self._listener.is_pending(request.call_id)
        )
        unsent = [
            request.call_id for request in pending if not self._write(peer, request)
        ]
        if unsent:
            self._listener.requests_unsent(unsent)

    def _return_waiting(self, peer: Peer) -> None:
        waiting = peer.pop_waiting(self._now_ms())
        if waiting:
            self._listener.requests_unsent([request.call_id for request in waiting])

    def _new_link(
        self,
        on_handshake: Callable[[PeerLink], None],
        on_lost: Callable[[PeerLink], None],
    ) -> PeerLink:
        dialled = on_handshake == self._dialled_handshake
        return PeerLink(
            own_hello=self._hello,
            on_handshake=on_handshake,
            on_message=self._dialled_message if dialled else self._accepted_message,
            on_lost=on_lost,
            batch=self._batch,
            held=self._held,
        )

    def _dial(self, ip: str, delay_s: float) -> None:
        peer = self.peers[ip]
        if peer.dialling is None:
            loop = asyncio.get_running_loop()
            peer.dialling = loop.create_task(self._dial_until_linked(ip, peer, delay_s))

    async def _dial_until_linked(self, ip: str, peer: Peer, delay_s: float) -> None:
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
                    lambda: self._new_link(self._dialled_handshake, self._dialled_lost),
                    ip,
                    self._dial_port,
                )
        except (OSError, TimeoutError):
            return False
        except Exception as error:
            # The peer must still be dialled again, and its requests given back.
            report_failure("dial_peer", error)
            return False
        peer.connected = True
        # The peer's Hello completes the handshake; without it the link isn't used.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await peer.handshake_done.wait()
        return peer.link is not None

    def _dialled_handshake(self, link: PeerLink) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None:
            link.abort("the peer calls itself by an address that was not dialled")
            return
        old = peer.link
        if old is not None and old.is_open and old.incarnation == link.incarnation:
            # A suspended peer answers several attempts when it resumes. Requests on the
            # link that was first would be lost with it.
            link.abort("superfluous")
            peer.handshake_done.set()
            return
        peer.link = link
        peer.outstanding = 0
        if old is not None:
            old.abort("replaced")
            self._listener.link_lost(link.peer_ip, old.unsent_requests())
        peer.backoff_until_ms = 0.0
        # The dialling task must not be cancelled here; it ends by itself. Failure: the
        # Hello is read before create_connection has returned; cancelling the task then
        # closes the connection, while the link still looks open.
        peer.handshake_done.set()
        log_event("link_up", peer=link.peer_ip, incarnation=link.incarnation)
        self._listener.link_opened(link)
        self._send_waiting(peer)

    def _dialled_lost(self, link: PeerLink) -> None:
        peer = self.peers.get(link.peer_ip)
        if peer is None or peer.link is not link:
            return
        peer.link = None
        peer.outstanding = 0
        log_event("link_lost", peer=link.peer_ip, reason=link.fault)
        unsent = link.unsent_requests()
        self._listener.link_lost(link.peer_ip, unsent)
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
            # A peer that refuses an announced request never grants its body.
            link.drop_request_body(message.call_id)
        elif isinstance(message, HeartbeatReply) and message.sequence:
            link.record_reply()
        self._listener.dialled_message(link.peer_ip, message)
        if peer.waiting and peer.is_live:
            self._send_waiting(peer)

    def _accepted_handshake(self, link: PeerLink) -> None:
        self.accepted.add(link)
        self._listener.link_opened(link)
        peer = self.peers.get(link.peer_ip)
        if peer is not None:
            self._redial(peer, link)

    def _redial(self, peer: Peer, accepted: PeerLink) -> None:
        """Dial a peer at once that has just opened a link of its own.

        Failure: all hosts lose power and restart within 0.3 s of each other. The first
        host dials the others before they listen, its SYN packets are lost, and it waits
        a second for links that could be established at once. Meanwhile requests find no
        server, which costs half of the served requests of the first two seconds.
        """
        peer.backoff_until_ms = 0.0
        former = peer.link
        if former is not None and former.incarnation != accepted.incarnation:
            former.abort("restarted")
            self._dialled_lost(former)
        if peer.link is not None or peer.connected:
            return
        if not peer.persistent and peer.dialling is None:
            return
        if peer.dialling is not None:
            peer.dialling.cancel()
            peer.dialling = None
        self._dial(accepted.peer_ip, 0.0)

    def _accepted_message(self, link: PeerLink, message: Message) -> None:
        self._listener.accepted_message(link, message)

    def _accepted_lost(self, link: PeerLink) -> None:
        self.accepted.discard(link)
        self._listener.accepted_link_lost(link)

    async def _check_forever(self) -> None:
        while True:
            due_ms = self._now_ms() + LINK_CHECK_INTERVAL_S * 1000
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
            was_suspended = self._now_ms() - due_ms > SUSPENSION_THRESHOLD_MS
            for peer in list(self.peers.values()):
                if peer.link is not None:
                    run_step("check_link", self._check, peer, peer.link, was_suspended)

    def _check(self, peer: Peer, link: PeerLink, was_suspended: bool) -> None:
        if was_suspended:
            link.restart_silence_timer()
        if link.silent_ms() > LINK_TIMEOUT_MS:
            link.abort("silent")
            return
        is_quiet = not link.received_since_check and peer.outstanding > 0
        link.received_since_check = False
        if is_quiet:
            self._send_heartbeat(link)

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000
