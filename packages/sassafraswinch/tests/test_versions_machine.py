"""Stateful test of the document store: restarts, partitions, stale platform reads."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.messages import DocumentReply, DocumentRequest, NodeId
from sassafraswinch.offers import Source
from sassafraswinch.sync import MAX_SYNC_WAIT_MS, SYNC_WAIT_MS
from sassafraswinch.version_claims import FETCH_TIMEOUT_MS, NO_STAMP, Stamp, supersedes
from sassafraswinch.versions import DocumentStore

from .utils.document_fixtures import body_of, new_document_store, stamp_of

HOSTS = ("a", "b", "c", "d")
LANES = (0, 1)
hosts = st.sampled_from(HOSTS)


@dataclass
class Run:
    """One incarnation of a node, and the events that the test recorded for it."""

    node: NodeId
    document_store: DocumentStore
    highest: Stamp = NO_STAMP
    claims: dict = field(default_factory=dict)
    synced_from_ms: float = 0.0
    peers_at_sync: dict = field(default_factory=dict)
    serving: bool = False
    unresponsive: bool = False


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
        run = Run(
            node=NodeId(host, self.starts),
            document_store=new_document_store(self.starts),
        )
        old, self.runs[host] = self.runs.get(host), run
        for peer in (p for p in self.runs.values() if old and p is not run):
            self.drop_links(peer, host)
        for other in HOSTS:
            self.connect(host, other)
        self.sync(run)

    def connect(self, host, other):
        for sender, receiver in ((host, other), (other, host)):
            for lane in LANES:
                self.lanes[sender, receiver, lane].clear()
                self.send_heartbeat(sender, receiver, lane)

    def drop_links(self, run, host):
        run.claims.pop(host, None)
        run.peers_at_sync.pop(host, None)
        self.send(run, run.document_store.peer_lost(host, self.now_ms))

    def sync(self, run, expected=HOSTS):
        others = [self.runs[h] for h in expected if h in self.runs]
        run.peers_at_sync = {
            r.node.host: r.document_store.stamp for r in others if r is not run
        }
        run.synced_from_ms, run.serving = self.now_ms, False
        run.document_store.start_sync(self.now_ms, expected=run.peers_at_sync)

    def send_heartbeat(self, sender, receiver, lane):
        if sender != receiver and {sender, receiver} <= self.runs.keys():
            run = self.runs[sender]
            self.lanes[sender, receiver, lane] += (
                run.document_store.stamp,
                self.now_ms,
            )

    def send(self, run, fetches):
        if run.document_store.serving and not run.serving:
            run.serving = True
            self.check_first_serving(run, self.now_ms - run.synced_from_ms)
        for fetch in fetches:
            self.lanes[run.node.host, fetch.peer, 0].append(fetch.request)

    def record_offered(self, run, offered):
        if offered is None:
            return
        self.send(run, offered.fetches)
        if offered.changed:
            for receiver in HOSTS:
                for lane in LANES:
                    self.send_heartbeat(run.node.host, receiver, lane)

    def connected(self, sender, receiver):
        return (sender in self.cut) == (receiver in self.cut)

    def deliver(self, sender, receiver, lane):
        queue = self.lanes[sender, receiver, lane]
        if not queue or not self.connected(sender, receiver):
            return False
        message, run, peer = queue.popleft(), self.runs[receiver], self.runs[sender]
        if isinstance(message, Stamp):
            if not supersedes(run.claims.get(sender, NO_STAMP), message):
                run.claims[sender] = message
            self.send(
                run,
                run.document_store.record_peer_version(
                    peer.node, *message, self.now_ms
                ),
            )
        elif isinstance(message, float):
            self.lanes[receiver, sender, lane].append(("pong", message))
        elif isinstance(message, tuple):
            fetches = run.document_store.record_round_trip(
                sender, message[1], self.now_ms
            )
            self.send(run, fetches)
        elif isinstance(message, DocumentRequest) and not run.unresponsive:
            reply = run.document_store.answer_request(message, self.now_ms)
            self.lanes[receiver, sender, lane].append(reply)
        elif isinstance(message, DocumentReply):
            self.record_offered(
                run, run.document_store.apply_reply(peer.node, message, self.now_ms)
            )
        return True

    @rule(kind=st.sampled_from(("good", "twin", "bad", "crash")), reader=hosts)
    def publish(self, kind, reader):
        """Publish a document; a twin reuses the version of the latest one."""
        salt, version = len(self.published), stamp_of(self.published[-1]).version
        body = body_of(version + (kind != "twin"), kind.replace("twin", "good"), salt)
        self.published.append(body)
        self.read_platform(reader, 0)

    @rule(host=hosts, back=st.integers(0, 3))
    def read_platform(self, host, back):
        """Read a document from the platform, which may return an older one."""
        if host not in self.cut:
            body = self.published[max(0, len(self.published) - 1 - back)]
            run = self.runs[host]
            self.record_offered(
                run, run.document_store.offer(body, Source.PLATFORM, self.now_ms)
            )

    @rule(sender=hosts, receiver=hosts, lane=st.sampled_from(LANES), back=st.booleans())
    def exchange(self, sender, receiver, lane, back):
        """Exchange a heartbeat, and optionally all messages of the other direction."""
        self.send_heartbeat(sender, receiver, lane)
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
            assert rounds < 300, "nodes reply to each other without end"

    @rule(host=hosts, other=hosts)
    def lose_links(self, host, other):
        if host != other:
            self.drop_links(self.runs[host], other)
            self.drop_links(self.runs[other], host)
            self.connect(host, other)

    @rule(host=hosts)
    def restart(self, host):
        self.start(host)

    @rule(host=hosts, expected=st.sets(hosts, min_size=1))
    def resume(self, host, expected):
        """Resume a paused process, whose buffers hold old messages."""
        self.sync(self.runs[host], expected)

    @rule(host=hosts)
    def toggle_unresponsive(self, host):
        """Make a node answer no more requests for the version it claims, or undo it."""
        self.runs[host].unresponsive = not self.runs[host].unresponsive

    @rule(cut=st.frozensets(hosts, max_size=3))
    def partition(self, cut):
        self.cut = cut

    @rule(step_ms=st.sampled_from((10, 300, FETCH_TIMEOUT_MS, SYNC_WAIT_MS)))
    def wait(self, step_ms):
        self.now_ms += step_ms
        for run in self.runs.values():
            self.send(run, run.document_store.tick(self.now_ms))

    def teardown(self):
        """Check that each side of a partition converges on its best document."""
        holders = [r for r in self.runs.values() if not r.unresponsive]
        before = [(r.node.host, r.document_store.stamp) for r in holders]
        for _ in range(25):
            self.wait(1_000)
            for sender, receiver, lane in list(self.lanes):
                self.send_heartbeat(sender, receiver, lane)
            self.deliver_all()
        for host, run in self.runs.items():
            side = [stamp for peer, stamp in before if self.connected(host, peer)]
            assert not any(
                supersedes(stamp, run.document_store.stamp) for stamp in side
            )
            assert run.document_store.serving or not run.document_store.in_force
        if len(holders) == len(HOSTS):
            sides = {
                (h in self.cut, r.document_store.stamp) for h, r in self.runs.items()
            }
            assert len(sides) == len({h in self.cut for h in HOSTS})

    @invariant()
    def check(self):
        for run in self.runs.values():
            document_store, stamp = run.document_store, run.document_store.stamp
            assert not supersedes(run.highest, stamp), "version fell"
            run.highest = stamp
            if document_store.in_force:
                assert document_store.in_force.body.startswith(b"good")
                assert stamp == stamp_of(document_store.in_force.body)

    def check_first_serving(self, run, waited_ms):
        if waited_ms < MAX_SYNC_WAIT_MS:
            newer = [
                s
                for s in run.claims.values()
                if supersedes(s, run.document_store.stamp)
            ]
            assert not newer, "serves an older document than a peer claimed"
        if waited_ms < SYNC_WAIT_MS:
            at_sync = run.peers_at_sync.values()
            newer = [s for s in at_sync if supersedes(s, run.document_store.stamp)]
            assert not newer, (
                "serves early, with an older document than a reachable peer"
            )


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=60
)
