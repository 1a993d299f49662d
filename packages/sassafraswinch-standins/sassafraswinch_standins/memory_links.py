"""In-memory links between nodes, with the same guarantees as the real ones.

The dialling incarnation numbers the sessions. ``link_up`` comes before the messages of
a session and ``link_lost`` after them. A silent link is replaced once a new one is up.
Messages written to a lost link may still arrive at the peer.
"""

import itertools
from collections.abc import Callable, Iterable

from sassafraswinch.messages import (
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
    NodeId,
)
from sassafraswinch_standins.memory_channels import CLOSED, End, Frame
from sassafraswinch_standins.memory_peers import (
    REDIAL_MIN_MS,
    DialledLink,
    Peer,
    Receiver,
)
from sassafraswinch_standins.memory_schedule import Action, Schedule

HEARTBEAT_MS = 1_000.0
SILENCE_MS = 3_000.0
"""Silence after which the dialling node opens a new link to replace the old one."""
ACCEPTED_SILENCE_MS = 10_000.0
"""Silence after which an accepted link is closed."""
GREETING_TIMEOUT_MS = 2_000.0
REDIAL_MAX_MS = 3_000.0


class MemoryLinks:
    """Links of one process: those it dialled and those it accepted.

    Args:
        node: this incarnation.
        schedule: the simulated clock.
        connect: opens a connection for a link to its host; False if it is refused.
        post: runs an action in this process as soon as it is not paused.
        receiver: called on link changes and messages.
        hello: returns the ``Hello`` for a session number.
        heartbeat: returns the heartbeat for a sequence number.
    """

    def __init__(
        self,
        *,
        node: NodeId,
        schedule: Schedule,
        connect: Callable[["MemoryLinks", DialledLink], bool],
        post: Callable[[Action], None],
        receiver: Receiver,
        hello: Callable[[int], Hello],
        heartbeat: Callable[[int], Heartbeat],
    ):
        self.node = node
        self.schedule = schedule
        self.connect_to = connect
        self.post = post
        self.receiver = receiver
        self.hello = hello
        self.heartbeat = heartbeat
        self.peers: dict[str, Peer] = {}
        self.accepted: dict[tuple[NodeId, int], End] = {}
        self._awaiting_hello: dict[End, float] = {}
        self._sessions = itertools.count(1)
        self._sequences = itertools.count(1)
        self._last_beat_ms = schedule.now_ms

    def want(self, hosts: Iterable[str]) -> None:
        """Dial hosts that have no link yet; links are kept until the process ends."""
        for host in sorted(set(hosts) - self.peers.keys()):
            peer = self.peers[host] = Peer(host=host)
            self._dial(peer)

    def send(self, host: str, message: Message) -> int | None:
        """Write on the dialled link and return its session.

        None means that nothing was written.
        """
        peer = self.peers.get(host)
        if peer is None or peer.link is None or peer.dialling:
            return None
        return peer.link.session if peer.link.end.write(message) else None

    def connect(self, host: str) -> None:
        """Dial a host unless it already has a link."""
        self.want((host,))

    def announce(self, message: Message) -> None:
        """Write on every open link, whichever end dialled it."""
        for host in self.peers:
            self.send(host, message)
        for node in {node for node, _ in self.accepted}:
            self.reply(node, message)

    def reply(self, node: NodeId, message: Message) -> bool:
        """Write on the newest link that ``node`` dialled."""
        sessions = [session for other, session in self.accepted if other == node]
        return bool(sessions) and self.accepted[node, max(sessions)].write(message)

    def beat(self) -> None:
        """Send heartbeats and check for silent links, once per ``HEARTBEAT_MS``."""
        now_ms = self.schedule.now_ms
        paused = now_ms - self._last_beat_ms > 2.5 * HEARTBEAT_MS
        self._last_beat_ms = now_ms
        heartbeat = self.heartbeat(next(self._sequences))
        for peer in self.peers.values():
            if peer.link is not None and not peer.dialling:
                self._send_heartbeat(peer, heartbeat, paused)
        for key, end in list(self.accepted.items()):
            if paused:
                end.last_read_ms = now_ms
            if now_ms - end.last_read_ms > ACCEPTED_SILENCE_MS:
                self._lose_accepted(*key)
            else:
                end.write(heartbeat)
        for end, since_ms in list(self._awaiting_hello.items()):
            if now_ms - since_ms > GREETING_TIMEOUT_MS:
                del self._awaiting_hello[end]
                end.close()

    def close(self) -> None:
        """Close all links, as the exit of the process does."""
        for peer in self.peers.values():
            for link in (peer.link, peer.greeting):
                if link is not None:
                    link.end.close()
        for end in (*self.accepted.values(), *self._awaiting_hello):
            end.close()

    def accept(self, end: End) -> None:
        """Accept a connection of another process, whose ``Hello`` follows."""
        self._awaiting_hello[end] = self.schedule.now_ms

    def read_accepted(self, end: End, frame: Frame) -> None:
        """Process a frame that arrived at the accepting end."""
        if not end.is_open:
            return
        end.last_read_ms = self.schedule.now_ms
        if end.hello is None:
            self._handle_accepted_hello(end, frame)
            return
        node, session = end.hello.node, end.hello.session
        if frame is CLOSED:
            self._lose_accepted(node, session)
            return
        if isinstance(frame, Heartbeat):
            end.write(HeartbeatReply(sequence=frame.sequence))
        self.receiver.link_message(node, session, frame, dialled=False)

    def read_dialled(self, link: DialledLink, frame: Frame) -> None:
        """Process a frame that arrived at the dialling end."""
        if not link.end.is_open:
            return
        link.end.last_read_ms = self.schedule.now_ms
        peer = self.peers[link.host]
        if frame is CLOSED:
            self._closed_by_peer(peer, link)
        elif link.end.hello is None:
            self._handle_dialled_hello(peer, link, frame)
        elif isinstance(frame, HeartbeatReply):
            self._record_heartbeat_reply(link, frame.sequence)
        else:
            node = link.end.hello.node
            self.receiver.link_message(node, link.session, frame, dialled=True)

    def _send_heartbeat(self, peer: Peer, heartbeat: Heartbeat, paused: bool) -> None:
        now_ms = self.schedule.now_ms
        link = peer.link
        if paused:
            link.end.last_read_ms = now_ms
            link.unanswered.clear()
        if now_ms - link.silent_since_ms() > SILENCE_MS:
            self._dial(peer)
        link.end.write(heartbeat)
        link.unanswered[heartbeat.sequence] = now_ms

    def _dial(self, peer: Peer) -> None:
        peer.dialling = True
        link = DialledLink(host=peer.host, session=next(self._sessions), end=End())
        peer.greeting = link
        if self.connect_to(self, link):
            link.end.write(self.hello(link.session))
            timeout_ms = GREETING_TIMEOUT_MS
        else:
            timeout_ms = 1.0
        self.schedule.after(
            timeout_ms, lambda: self.post(lambda: self._time_out(peer, link))
        )

    def _time_out(self, peer: Peer, link: DialledLink) -> None:
        if peer.greeting is link:
            self._dial_failed(peer)

    def _dial_failed(self, peer: Peer) -> None:
        greeting, peer.greeting = peer.greeting, None
        greeting.end.close()
        self._lose(peer)
        jitter = self.schedule.rng.uniform(0.5, 1.0)
        delay_ms, peer.redial_ms = peer.redial_ms, 2 * peer.redial_ms
        peer.redial_ms = min(peer.redial_ms, REDIAL_MAX_MS)
        self.schedule.after(
            delay_ms * jitter, lambda: self.post(lambda: self._dial(peer))
        )

    def _handle_dialled_hello(
        self, peer: Peer, link: DialledLink, frame: Frame
    ) -> None:
        if peer.greeting is not link or not isinstance(frame, Hello):
            return
        link.end.hello = frame
        old, peer.link = peer.link, link
        peer.greeting, peer.dialling = None, False
        peer.redial_ms = REDIAL_MIN_MS
        self.receiver.link_up(frame, link.session, dialled=True)
        if old is not None:
            old.end.close()
            self._report_lost(old, replaced=True)

    def _record_heartbeat_reply(self, link: DialledLink, sequence: int) -> None:
        answered = [number for number in link.unanswered if number <= sequence]
        sent_at_ms = [link.unanswered.pop(number) for number in answered]
        if sent_at_ms:
            self.receiver.link_proved(link.end.hello.node, sent_at_ms[-1])

    def _closed_by_peer(self, peer: Peer, link: DialledLink) -> None:
        link.end.is_open = False
        if link is peer.greeting:
            self._dial_failed(peer)
        elif link is peer.link:
            self._lose(peer)
            if not peer.dialling:
                self._dial(peer)

    def _lose(self, peer: Peer) -> None:
        link, peer.link = peer.link, None
        if link is not None:
            link.end.close()
            self._report_lost(link, replaced=False)

    def _report_lost(self, link: DialledLink, *, replaced: bool) -> None:
        self.receiver.link_lost(
            link.end.hello.node, link.session, dialled=True, replaced=replaced
        )

    def _handle_accepted_hello(self, end: End, frame: Frame) -> None:
        del self._awaiting_hello[end]
        if not isinstance(frame, Hello):
            end.close()
            return
        newest = max((s for n, s in self.accepted if n == frame.node), default=0)
        end.write(self.hello(frame.session))
        if frame.session <= newest:
            end.close()
            return
        end.hello = frame
        others = [
            key
            for key in self.accepted
            if key[0].host == frame.node.host and key[0] != frame.node
        ]
        for key in others:
            self._lose_accepted(*key)
        self.accepted[frame.node, frame.session] = end
        self.receiver.link_up(frame, frame.session, dialled=False)

    def _lose_accepted(self, node: NodeId, session: int) -> None:
        end = self.accepted.pop((node, session))
        end.close()
        replaced = any(other == node for other, _ in self.accepted)
        self.receiver.link_lost(node, session, dialled=False, replaced=replaced)
