"""Tests of membership: lagging host lists, silent links, restarts, process pauses."""

from collections import deque
from dataclasses import dataclass, field, replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.membership import (
    HOST_RETENTION_MS,
    HostRecord,
    HostState,
    Membership,
)
from sassafraswinch.messages import Load, NodeId
from sassafraswinch.wake import WakeDetector

NOTICE_MS = 3_000
SILENT_MS = 3_000
HOSTS = ("x", "y", "z")
hosts = st.sampled_from(HOSTS)


def record(name, state=HostState.LIVE):
    return HostRecord(
        name=name,
        service="archiv",
        availability_zone="brno-a",
        state=state,
        link=f"{name}:1",
        entry=f"{name}:2",
        operators=f"{name}:3",
    )


@dataclass
class Peer:
    """Actual state of a host, and the messages in flight on the link to it."""

    name: str
    incarnation: int = 1
    leaving_since_ms: float | None = None
    cut: bool = False
    session: int = 0
    linked: bool = False
    answered_ms: float = 0.0
    has_reported: bool = False
    marked: bool = False
    """Whether the newest list read marks this or an earlier incarnation as leaving."""
    queue: deque = field(default_factory=deque)


class MembershipMachine(RuleBasedStateMachine):
    """One node with three peers; its adapter reports links silent after 3 s."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.members = Membership(self_host="self")
        self.detector = WakeDetector(tick_ms=250)
        self.detector.observe(monotonic_ms=0.0, wall_ms=0.0)
        self.lists = [{name: record(name) for name in HOSTS}]
        self.members.apply_host_list(self.lists[0].values(), 1, 0.0)
        self.peers = {name: Peer(name) for name in HOSTS}
        for peer in self.peers.values():
            self.dial(peer)

    def dial(self, peer):
        if peer.linked:
            self.members.link_lost(peer.name, self.now_ms, session=peer.session)
        peer.queue.clear()
        peer.linked, peer.has_reported = not peer.cut, False
        if peer.linked:
            peer.session += 1
            peer.answered_ms = self.now_ms
            self.members.link_up(
                peer.name, peer.incarnation, self.now_ms, session=peer.session
            )

    def send_heartbeat(self, peer, at_ms):
        leaving = peer.leaving_since_ms is not None
        peer.queue.append((NodeId(peer.name, peer.incarnation), Load(leaving=leaving)))
        peer.queue.append(at_ms)

    def deliver(self, peer, count=100):
        for _ in range(0 if peer.cut else min(count, len(peer.queue))):
            message = peer.queue.popleft()
            if isinstance(message, float):
                peer.answered_ms = self.now_ms
                self.members.record_round_trip(peer.name, message, self.now_ms)
            else:
                peer.has_reported = True
                self.members.record_report(*message, self.now_ms)

    def publish(self, name, state):
        self.lists.append(self.lists[-1] | {name: record(name, state)})

    @rule(host=hosts)
    def leave(self, host):
        peer = self.peers[host]
        if peer.leaving_since_ms is None:
            peer.leaving_since_ms = self.now_ms
            self.send_heartbeat(peer, self.now_ms)
            self.publish(host, HostState.LEAVING)

    @rule(host=hosts)
    def restart(self, host):
        peer = self.peers[host]
        peer.incarnation += 1
        peer.leaving_since_ms = None
        peer.marked = False
        self.dial(peer)
        self.publish(host, HostState.LIVE)

    @rule(host=hosts, cut=st.booleans())
    def partition(self, host, cut):
        self.peers[host].cut = cut

    @rule(back=st.integers(0, 4), kept=st.sets(hosts))
    def read_list(self, back, kept):
        """Read a list that lags by some changes, or a new one that lacks live hosts."""
        version = max(1, len(self.lists) - back)
        shown = self.lists[version - 1]
        if back == 0:
            shown = {name: shown[name] for name in kept}
        if version > self.members.list_version:
            for name, shown_record in shown.items():
                self.peers[name].marked = shown_record.state is HostState.LEAVING
        self.members.apply_host_list(shown.values(), version, self.now_ms)

    @rule(steps=st.integers(1, 8))
    def elapse(self, steps):
        for _ in range(steps):
            self.now_ms += 500
            woke = self.detector.observe(monotonic_ms=self.now_ms, wall_ms=self.now_ms)
            assert not woke
            for peer in self.peers.values():
                self.send_heartbeat(peer, self.now_ms)
                self.deliver(peer)
                if self.now_ms - peer.answered_ms >= SILENT_MS and peer.linked:
                    self.members.record_silent_link(
                        peer.name, self.now_ms, session=peer.session
                    )
                    peer.linked = False
                if not peer.linked:
                    self.dial(peer)
            self.members.tick(self.now_ms)
            self.check()

    @rule(leaver=hosts, pause_s=st.integers(2, 60))
    def pause(self, leaver, pause_s):
        """Suspend the process while a host leaves and heartbeats fill the buffers."""
        for second in range(pause_s):
            for peer in self.peers.values():
                self.send_heartbeat(peer, self.now_ms)
            self.now_ms += 1_000
            if second == 0:
                self.leave(leaver)
        assert self.detector.observe(monotonic_ms=self.now_ms, wall_ms=self.now_ms)
        self.members.require_fresh_round_trips(self.now_ms)
        for peer in self.peers.values():
            self.send_heartbeat(peer, self.now_ms)

    @rule(host=hosts, count=st.integers(1, 4))
    def deliver_some(self, host, count):
        self.deliver(self.peers[host], count)

    @invariant()
    def check(self):
        views = {v.name: v for v in self.members.candidates("archiv", self.now_ms)}
        for peer in self.peers.values():
            view = views.get(peer.name)
            if view and view.linked and peer.leaving_since_ms is not None:
                assert self.now_ms - peer.leaving_since_ms < NOTICE_MS, (
                    "a leaving host gets new calls"
                )
            fresh = peer.has_reported and not peer.cut and not peer.queue
            if fresh and peer.leaving_since_ms is None and not peer.marked:
                assert view and view.linked, "a host that answers was removed"


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)


def linked_members(*names):
    members = Membership(self_host="self")
    members.apply_host_list([record(name) for name in names], 5, 0.0)
    for name in names:
        members.link_up(name, 1, 0.0)
        members.record_report(NodeId(name, 1), Load(), 0.0)
    return members


def linked(members):
    views = members.candidates("archiv", 0.0)
    return {view.name for view in views if view.linked}


def test_leaving_report_of_a_host_overrides_the_list():
    """A host leaves while the platform's list still shows it as live.

    It reports so on one answer. Neither the list nor an older message of the same
    incarnation, delivered late by another link, may make it live again.
    """
    members = linked_members("x", "y")
    members.record_report(NodeId("x", 1), Load(leaving=True), 1.0)
    members.record_report(NodeId("x", 1), Load(leaving=False), 2.0)
    members.apply_host_list([record("x"), record("y")], 6, 3.0)
    assert linked(members) == {"y"}


def test_restart_in_place_clears_the_leaving_mark_of_the_list():
    """A host listed as leaving restarts in place; then the platform fails.

    Its new incarnation reports that it accepts calls, so it gets calls, even while an
    older list that is read again marks it as leaving. Before its first report it
    gets none.
    """
    members = linked_members("x", "y")
    leaving = replace(record("x"), state=HostState.LEAVING)
    members.apply_host_list([leaving, record("y")], 6, 1.0)
    assert linked(members) == {"y"}
    members.link_up("x", 2, 2.0)
    assert linked(members) == {"y"}
    members.record_report(NodeId("x", 2), Load(), 3.0)
    members.apply_host_list([leaving, record("y")], 6, 4.0)
    assert linked(members) == {"x", "y"}


def test_host_stays_linked_when_an_older_link_closes():
    """A link goes silent, a second one is opened, and then the first one closes."""
    members = linked_members("x")
    members.link_up("x", 1, 1.0, session=2)
    members.link_lost("x", 2.0, session=0)
    assert linked(members) == {"x"}


def test_unlisted_host_is_kept_through_a_long_partition():
    """The list becomes empty and the regions are partitioned for an hour.

    The addresses must still be known afterwards; a host that stays away for longer
    is evicted.
    """
    members = linked_members("x")
    members.apply_host_list([], 6, 0.0)
    assert linked(members) == {"x"}
    members.link_lost("x", 1.0)
    members.tick(3_600_000.0)
    assert [peer.name for peer in members.peers(0.0)] == ["x"]
    members.tick(HOST_RETENTION_MS)
    assert members.peers(0.0) == ()
