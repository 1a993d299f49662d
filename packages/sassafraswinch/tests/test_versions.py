"""Configuration keepers under lost memory, partitions and a misleading platform."""

import hashlib
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.messages import DocumentReply, DocumentRequest, NodeId
from sassafraswinch.offers import Outcome, Source
from sassafraswinch.sync import SYNC_LIMIT_MS, SYNC_WAIT_MS
from sassafraswinch.transfer import pack_document
from sassafraswinch.version_claims import FETCH_TIMEOUT_MS, NO_STAMP, Stamp, supersedes
from sassafraswinch.versions import ConfigKeeper

HOSTS = ("a", "b", "c", "d")
LANES = (0, 1)
hosts = st.sampled_from(HOSTS)


@dataclass
class FakeDocument:
    version: int
    body: bytes


def parse(body):
    kind, version, _ = body.split(maxsplit=2)
    if kind == b"crash":
        raise RecursionError("parser fault")
    if kind == b"bad":
        fault = InvalidFieldError(source="test", field="classes", reason="missing")
        raise InvalidFieldsError("test", [fault])
    return FakeDocument(version=int(version), body=body)


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


def stamp_of(body):
    return Stamp(int(body.split(maxsplit=2)[1]), digest(body))


def body_of(version, kind="good", salt=0):
    return f"{kind} {version} {salt}".encode()


def new_keeper(seed=1):
    return ConfigKeeper(parse=parse, digest=digest, rng=random.Random(seed))


@dataclass
class Run:
    """One run of a node's process, and what the test saw happen to it."""

    node: NodeId
    keeper: ConfigKeeper
    highest: Stamp = NO_STAMP
    heard: dict = field(default_factory=dict)
    synced_from_ms: float = 0.0
    peers_at_sync: dict = field(default_factory=dict)
    serving: bool = False
    mute: bool = False


class ConfigMachine(RuleBasedStateMachine):
    """Four nodes, two links between each pair, and one platform."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.published = [body_of(1)]
        self.cut = frozenset()
        self.starts = 0
        self.lanes = defaultdict(deque)
        self.runs = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        self.starts += 1
        run = Run(node=NodeId(host, self.starts), keeper=new_keeper(self.starts))
        old, self.runs[host] = self.runs.get(host), run
        for peer in (p for p in self.runs.values() if old and p is not run):
            self.forget(peer, host)
        for other in HOSTS:
            self.connect(host, other)
        self.sync(run)

    def connect(self, host, other):
        for sender, receiver in ((host, other), (other, host)):
            for lane in LANES:
                self.lanes[sender, receiver, lane].clear()
                self.say(sender, receiver, lane)

    def forget(self, run, host):
        run.heard.pop(host, None)
        run.peers_at_sync.pop(host, None)
        self.send(run, run.keeper.peer_lost(host, self.now_ms))

    def sync(self, run, expected=HOSTS):
        others = [self.runs[h] for h in expected if h in self.runs]
        run.peers_at_sync = {
            r.node.host: r.keeper.stamp for r in others if r is not run
        }
        run.synced_from_ms, run.serving = self.now_ms, False
        run.keeper.start_sync(self.now_ms, expected=run.peers_at_sync)

    def say(self, sender, receiver, lane):
        if sender != receiver and {sender, receiver} <= self.runs.keys():
            run = self.runs[sender]
            self.lanes[sender, receiver, lane] += (run.keeper.stamp, self.now_ms)

    def send(self, run, fetches):
        if run.keeper.serving and not run.serving:
            run.serving = True
            self.check_first_serving(run, self.now_ms - run.synced_from_ms)
        for fetch in fetches:
            self.lanes[run.node.host, fetch.peer, 0].append(fetch.request)

    def took(self, run, offered):
        if offered is None:
            return
        self.send(run, offered.fetches)
        if offered.changed:
            for receiver in HOSTS:
                for lane in LANES:
                    self.say(run.node.host, receiver, lane)

    def connected(self, sender, receiver):
        return (sender in self.cut) == (receiver in self.cut)

    def deliver(self, sender, receiver, lane):
        queue = self.lanes[sender, receiver, lane]
        if not queue or not self.connected(sender, receiver):
            return False
        message, run, peer = queue.popleft(), self.runs[receiver], self.runs[sender]
        if isinstance(message, Stamp):
            if not supersedes(run.heard.get(sender, NO_STAMP), message):
                run.heard[sender] = message
            self.send(run, run.keeper.heard(peer.node, *message, self.now_ms))
        elif isinstance(message, float):
            self.lanes[receiver, sender, lane].append(("pong", message))
        elif isinstance(message, tuple):
            fetches = run.keeper.confirmed(sender, message[1], self.now_ms)
            self.send(run, fetches)
        elif isinstance(message, DocumentRequest) and not run.mute:
            reply = run.keeper.answer(message, self.now_ms)
            self.lanes[receiver, sender, lane].append(reply)
        elif isinstance(message, DocumentReply):
            self.took(run, run.keeper.reply(peer.node, message, self.now_ms))
        return True

    @rule(kind=st.sampled_from(("good", "twin", "bad", "crash")), reader=hosts)
    def publish(self, kind, reader):
        """A twin is another content under the version of the latest document."""
        salt, version = len(self.published), stamp_of(self.published[-1]).version
        body = body_of(version + (kind != "twin"), kind.replace("twin", "good"), salt)
        self.published.append(body)
        self.read_platform(reader, 0)

    @rule(host=hosts, back=st.integers(0, 3))
    def read_platform(self, host, back):
        """The platform may show any reader an older document."""
        if host not in self.cut:
            body = self.published[max(0, len(self.published) - 1 - back)]
            run = self.runs[host]
            self.took(run, run.keeper.offer(body, Source.PLATFORM, self.now_ms))

    @rule(sender=hosts, receiver=hosts, lane=st.sampled_from(LANES), back=st.booleans())
    def exchange(self, sender, receiver, lane, back):
        """One heartbeat, and perhaps all that the link holds the other way."""
        self.say(sender, receiver, lane)
        while self.deliver(sender, receiver, lane):
            pass
        while back and self.deliver(receiver, sender, lane):
            pass

    @rule(
        sender=hosts,
        receiver=hosts,
        lane=st.sampled_from(LANES),
        count=st.integers(1, 4),
    )
    def deliver_some(self, sender, receiver, lane, count):
        for _ in range(count):
            self.deliver(sender, receiver, lane)

    @rule()
    def deliver_all(self):
        rounds = 0
        while sum(self.deliver(*lane) for lane in list(self.lanes)):
            self.check()
            rounds += 1
            assert rounds < 300, "messages answer each other without end"

    @rule(host=hosts, other=hosts)
    def lose_links(self, host, other):
        if host != other:
            self.forget(self.runs[host], other)
            self.forget(self.runs[other], host)
            self.connect(host, other)

    @rule(host=hosts)
    def restart(self, host):
        self.start(host)

    @rule(host=hosts, expected=st.sets(hosts, min_size=1))
    def wake(self, host, expected):
        """The process was paused: its buffers hold old messages."""
        self.sync(self.runs[host], expected)

    @rule(host=hosts)
    def toggle_mute(self, host):
        """The node claims its version but answers no request for it."""
        self.runs[host].mute = not self.runs[host].mute

    @rule(cut=st.frozensets(hosts, max_size=3))
    def partition(self, cut):
        self.cut = cut

    @rule(step_ms=st.sampled_from((10, 300, FETCH_TIMEOUT_MS, SYNC_WAIT_MS)))
    def wait(self, step_ms):
        self.now_ms += step_ms
        for run in self.runs.values():
            self.send(run, run.keeper.tick(self.now_ms))

    def teardown(self):
        """Nothing new happens: each side agrees on the best that it can get."""
        holders = [r for r in self.runs.values() if not r.mute]
        before = [(r.node.host, r.keeper.stamp) for r in holders]
        for _ in range(25):
            self.wait(1_000)
            for sender, receiver, lane in list(self.lanes):
                self.say(sender, receiver, lane)
            self.deliver_all()
        for host, run in self.runs.items():
            side = [stamp for peer, stamp in before if self.connected(host, peer)]
            assert not any(supersedes(stamp, run.keeper.stamp) for stamp in side)
            assert run.keeper.serving or not run.keeper.in_force
        if len(holders) == len(HOSTS):
            sides = {(h in self.cut, r.keeper.stamp) for h, r in self.runs.items()}
            assert len(sides) == len({h in self.cut for h in HOSTS})

    @invariant()
    def check(self):
        for run in self.runs.values():
            keeper, stamp = run.keeper, run.keeper.stamp
            assert not supersedes(run.highest, stamp), "version fell"
            run.highest = stamp
            if keeper.in_force:
                assert keeper.in_force.body.startswith(b"good")
                assert stamp == stamp_of(keeper.in_force.body)

    def check_first_serving(self, run, waited_ms):
        if waited_ms < SYNC_LIMIT_MS:
            newer = [s for s in run.heard.values() if supersedes(s, run.keeper.stamp)]
            assert not newer, "serves an older document than it heard of"
        if waited_ms < SYNC_WAIT_MS:
            at_sync = run.peers_at_sync.values()
            newer = [s for s in at_sync if supersedes(s, run.keeper.stamp)]
            assert not newer, "serves early, older than a peer that it could hear"


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=60
)


def test_invalid_document_is_overtaken_by_a_valid_newer_one():
    """An operator publishes version 2 with a fault and mends it as version 3.

    Version 1 stays in force meanwhile, and the report names the field. Once
    version 3 is in force the fault is no longer reported.
    """
    keeper = new_keeper()
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    refused = keeper.offer(body_of(2, "bad"), Source.PLATFORM, 1.0)
    assert refused.outcome is Outcome.INVALID
    assert refused.errors[0].field == "classes"
    assert keeper.stamp.version == 1
    assert keeper.report(2.0).refusal.errors[0].reason == "missing"
    assert keeper.offer(body_of(3), Source.PLATFORM, 3.0).changed
    assert keeper.report(4.0).refusal is None


def test_a_peer_that_does_not_deliver_is_passed_over():
    """A near peer claims version 2 and stays mute; a far one holds it too.

    The node asks the near one, gives up after the timeout, asks the far one,
    and reports the mute peer until it has the document.
    """
    keeper = new_keeper()
    mute, far = NodeId("mute", 1), NodeId("far", 1)
    stamp = stamp_of(body_of(2))
    (first,) = keeper.heard(mute, *stamp, 0.0, near=True)
    assert (first.peer, first.request.version) == ("mute", 2)
    assert keeper.heard(far, *stamp, 1.0, near=False) == ()
    (second,) = keeper.tick(FETCH_TIMEOUT_MS)
    assert second.peer == "far"
    assert keeper.report(FETCH_TIMEOUT_MS).undelivered == ("mute",)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert keeper.reply(far, reply, FETCH_TIMEOUT_MS).changed
    assert keeper.report(FETCH_TIMEOUT_MS).undelivered == ()


def test_a_woken_node_hears_a_fresh_word_before_it_serves():
    """A process is paused while version 2 comes into force elsewhere.

    In its buffers lies a peer's answer to a heartbeat from before the pause,
    ahead of the peer's word on version 2. That answer must not end the wait.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    keeper.start_sync(60_000.0, expected={"peer"})
    keeper.confirmed("peer", 1_000.0, 60_001.0)
    assert keeper.serving is None
    keeper.heard(peer, *stamp_of(body_of(2)), 60_002.0)
    keeper.confirmed("peer", 60_000.0, 60_003.0)
    assert keeper.serving is None
    keeper.reply(
        peer, DocumentReply(version=2, body=pack_document(body_of(2))), 60_004.0
    )
    assert keeper.serving.version == 2


def test_a_peer_that_delivers_less_than_it_claims_is_not_asked_at_once_again():
    """A peer claims version 3 and sends version 2 each time it is asked.

    Version 2 is better than none, but the claim must not be followed in a loop.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert keeper.heard(peer, *stamp_of(body_of(3)), 0.0)
    assert keeper.reply(peer, reply, 1.0).changed
    assert keeper.tick(2.0) == ()
    assert keeper.report(2.0).undelivered == ("peer",)


def test_a_late_message_of_a_second_link_lowers_no_claim():
    """A node restarts and reads version 1; a peer holds 2 but is slow to send it.

    An older word of that peer, version 1, comes late over its other link. The
    node must go on waiting for version 2 until the peer is lost.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.start_sync(0.0)
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    keeper.heard(peer, *stamp_of(body_of(2)), 1.0)
    keeper.heard(peer, *stamp_of(body_of(1)), 2.0)
    keeper.tick(SYNC_WAIT_MS)
    assert keeper.serving is None
    keeper.peer_lost("peer", SYNC_WAIT_MS)
    assert keeper.serving.version == 1


def test_a_claim_of_a_vanished_peer_ends():
    """A peer claims version 2 over a link it dialled, and its host dies.

    Nobody tells the keeper. It asks a few times, then drops the claim.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.heard(peer, *stamp_of(body_of(2)), 0.0)
    asked_ms = [ms for ms in range(0, 120_000, 500) if keeper.tick(ms)]
    assert asked_ms and max(asked_ms) < 40_000
    assert keeper.report(120_000.0).undelivered == ()


def test_a_content_found_invalid_is_fetched_once():
    """A peer of another release accepted version 2, which this node refuses.

    The node must not fetch it again at each heartbeat of that peer.
    """
    keeper, peer, body = new_keeper(), NodeId("peer", 1), body_of(2, "bad")
    (fetch,) = keeper.heard(peer, *stamp_of(body), 0.0)
    offered = keeper.reply(
        peer, DocumentReply(version=2, body=pack_document(body)), 1.0
    )
    assert (offered.outcome, offered.fetches) == (Outcome.INVALID, ())
    assert keeper.heard(peer, *stamp_of(body), 60_000.0) == ()


def test_a_node_bounds_what_it_sends_to_peers():
    """Fifty peers ask the first holder of a 1 MB document in one moment.

    It answers a few and tells the others at once to ask elsewhere.
    """
    keeper = new_keeper()
    body = body_of(1) + random.Random(1).randbytes(300_000)
    keeper.offer(body, Source.PLATFORM, 0.0)
    replies = [keeper.answer(DocumentRequest(version=1), 0.0) for _ in range(50)]
    assert sum(bool(reply.body) for reply in replies) == 4
    assert keeper.answer(DocumentRequest(version=1), 1_000.0).body


def test_a_broken_or_oversized_transfer_is_a_failure_to_deliver():
    """A peer sends bytes that aren't packed, are cut off, or unpack to too much."""
    packed = pack_document(body_of(2))
    for sent in (b"", b"x", packed[:-1], pack_document(b" " * 1_000_001)):
        keeper, peer = new_keeper(), NodeId("peer", 1)
        keeper.heard(peer, *stamp_of(body_of(2)), 0.0)
        assert keeper.reply(peer, DocumentReply(version=2, body=sent), 1.0) is None
        assert keeper.report(1.0).undelivered == ("peer",)
