"""Links between nodes in memory, with the contract of the real ones.

Sessions are numbered by the dialling incarnation; ``link_up`` comes before the
messages of a session and ``link_lost`` after them; a link that goes silent is replaced
by a new one beside it. What was written to a lost link may still arrive at the peer.
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
"""Silence after which the dialling node makes a new link beside the old one."""
ACCEPTED_SILENCE_MS = 10_000.0
"""Silence after which an accepted link is closed."""
GREETING_TIMEOUT_MS = 2_000.0
REDIAL_MAX_MS = 3_000.0


class MemoryLinks:
    """The links of one process: those it dialled and those it accepted.

    Args:
        node: this incarnation.
        schedule: the clock.
        connect: opens a connection for a link to its host; None if it is refused.
        post: runs an action in this process, once it isn't paused.
        receiver: told of links and messages.
        hello: makes the greeting for a session number.
        heartbeat: makes the heartbeat of a sequence number.
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
        self._ungreeted: dict[End, float] = {}
        self._sessions = itertools.count(1)
        self._sequences = itertools.count(1)
        self._beat_at_ms = schedule.now_ms

    def want(self, hosts: Iterable[str]) -> None:
        """Dial hosts that are new here; hosts are never unwanted."""
        for host in sorted(set(hosts) - self.peers.keys()):
            peer = self.peers[host] = Peer(host=host)
            self._dial(peer)

    def send(self, host: str, message: Message) -> int | None:
        """Write on the dialled link; None proves that nothing was written."""
        peer = self.peers.get(host)
        if peer is None or peer.link is None or peer.dialling:
            return None
        return peer.link.session if peer.link.end.write(message) else None

    def connect(self, host: str) -> None:
        """Dial a host that isn't linked yet."""
        self.want((host,))

    def announce(self, message: Message) -> None:
        """Write on every open link, whoever dialled it."""
        for host in self.peers:
            self.send(host, message)
        for node in {node for node, _ in self.accepted}:
            self.reply(node, message)

    def reply(self, node: NodeId, message: Message) -> bool:
        """Write on the newest link that ``node`` dialled."""
        sessions = [session for other, session in self.accepted if other == node]
        return bool(sessions) and self.accepted[node, max(sessions)].write(message)

    def beat(self) -> None:
        """Send heartbeats and look for silence; called each ``HEARTBEAT_MS``."""
        now_ms = self.schedule.now_ms
        paused = now_ms - self._beat_at_ms > 2.5 * HEARTBEAT_MS
        self._beat_at_ms = now_ms
        heartbeat = self.heartbeat(next(self._sequences))
        for peer in self.peers.values():
            if peer.link is not None and not peer.dialling:
                self._beat_dialled(peer, heartbeat, paused)
        for key, end in list(self.accepted.items()):
            if paused:
                end.last_read_ms = now_ms
            if now_ms - end.last_read_ms > ACCEPTED_SILENCE_MS:
                self._lose_accepted(*key)
            else:
                end.write(heartbeat)
        for end, since_ms in list(self._ungreeted.items()):
            if now_ms - since_ms > GREETING_TIMEOUT_MS:
                del self._ungreeted[end]
                end.close()

    def close(self) -> None:
        """Close all links, as the end of the process does."""
        for peer in self.peers.values():
            for link in (peer.link, peer.greeting):
                if link is not None:
                    link.end.close()
        for end in (*self.accepted.values(), *self._ungreeted):
            end.close()

    def accept(self, end: End) -> None:
        """Take a connection that another process opened; its greeting follows."""
        self._ungreeted[end] = self.schedule.now_ms

    def read_accepted(self, end: End, frame: Frame) -> None:
        """Take a frame at the accepting end."""
        if not end.is_open:
            return
        end.last_read_ms = self.schedule.now_ms
        if end.hello is None:
            self._greeted_by(end, frame)
            return
        node, session = end.hello.node, end.hello.session
        if frame is CLOSED:
            self._lose_accepted(node, session)
            return
        if isinstance(frame, Heartbeat):
            end.write(HeartbeatReply(sequence=frame.sequence))
        self.receiver.link_message(node, session, frame, dialled=False)

    def read_dialled(self, link: DialledLink, frame: Frame) -> None:
        """Take a frame at the dialling end."""
        if not link.end.is_open:
            return
        link.end.last_read_ms = self.schedule.now_ms
        peer = self.peers[link.host]
        if frame is CLOSED:
            self._closed_by_peer(peer, link)
        elif link.end.hello is None:
            self._greeted(peer, link, frame)
        elif isinstance(frame, HeartbeatReply):
            self._proved(link, frame.sequence)
        else:
            node = link.end.hello.node
            self.receiver.link_message(node, link.session, frame, dialled=True)

    def _beat_dialled(self, peer: Peer, heartbeat: Heartbeat, paused: bool) -> None:
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

    def _greeted(self, peer: Peer, link: DialledLink, frame: Frame) -> None:
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

    def _proved(self, link: DialledLink, sequence: int) -> None:
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

    def _greeted_by(self, end: End, frame: Frame) -> None:
        del self._ungreeted[end]
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
