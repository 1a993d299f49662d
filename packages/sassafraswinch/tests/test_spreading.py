"""Simulation of the spread of a document change among 560 nodes, and its cost."""

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

import pytest

from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import HostRecord, HostState
from sassafraswinch.messages import DocumentRequest, NodeId
from sassafraswinch.offers import Source
from sassafraswinch.read_budget import DOCUMENT_WATCHES
from sassafraswinch.versions import DocumentStore

from .utils.document_fixtures import body_of, digest, parse

NODES, SERVICES, ZONES, SERVICES_CALLED = 560, 50, 6, 4
IN_FORCE_MS = 9_000
CHANGE_EVERY_S = 86_400 / 1_700
CONTROL_BYTES_PER_S = 2_048
HEARTBEAT_BYTES, REQUEST_BYTES, PACKET_BYTES = 61, 12, 52
"""Sizes of encoded frames, and of the TCP and IP headers around each."""
BYTES_PER_MS = 125_000
"""Throughput of a 1 Gbit/s network interface; a node sends its frames in sequence."""
PARSE_BYTES_PER_MS = 1_000
"""Conservative parsing speed of a YAML document on a loaded host."""


def one_way_ms(a, b):
    return 1.5 if a.availability_zone != b.availability_zone else 0.3


def fleet():
    return [
        HostRecord(
            name=f"h{n}",
            service=f"s{n % SERVICES}",
            availability_zone=f"z{n // SERVICES % ZONES}",
            state=HostState.LIVE,
            link="",
            entry="",
            operators="",
        )
        for n in range(NODES)
    ]


def links_of(records):
    """Return the linked peers of each node according to the plans of all nodes."""
    pairs = set()
    for n, record in enumerate(records):
        plan = LinkPlan(host=record.name, availability_zone=record.availability_zone)
        for step in range(1, SERVICES_CALLED + 1):
            plan.record_service_demand(f"s{(n + 7 * step) % SERVICES}", 0.0)
        pairs |= {frozenset((record.name, o)) for o in plan.choose(records, 0.0)}
    linked = defaultdict(list)
    for one, other in map(sorted, pairs):
        linked[one].append(other)
        linked[other].append(one)
    return linked


@dataclass
class Spread:
    """Simulated nodes that announce a change on every link and fetch it from peers."""

    records: dict
    links: dict
    rng: random.Random
    body: bytes
    loss: float = 0.0
    cut_zone: str = ""
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    sent_bytes: dict = field(default_factory=lambda: defaultdict(int))
    in_force_ms: dict = field(default_factory=dict)
    idle_from_ms: dict = field(default_factory=lambda: defaultdict(float))

    def __post_init__(self):
        self.document_stores = {
            name: DocumentStore(parse=parse, digest=digest, rng=self.rng)
            for name in self.records
        }
        for name, document_store in self.document_stores.items():
            document_store.offer(body_of(1), Source.PLATFORM, 0.0)
            self.schedule(self.rng.uniform(0, 1_000), self.heartbeat, name)

    def schedule(self, ms, action, *args):
        heapq.heappush(self.events, (ms, next(self.order), action, args))

    def send(self, ms, sender, receiver, message, size):
        a, b = self.records[sender], self.records[receiver]
        self.sent_bytes[sender] += size
        cut = (a.availability_zone == self.cut_zone) != (
            b.availability_zone == self.cut_zone
        )
        sent_ms = max(ms, self.idle_from_ms[sender]) + size / BYTES_PER_MS
        self.idle_from_ms[sender] = sent_ms
        if not cut and self.rng.random() >= self.loss:
            arrives_ms = sent_ms + one_way_ms(a, b)
            self.schedule(arrives_ms, self.receive, sender, receiver, message)

    def receive(self, ms, sender, receiver, message):
        document_store, peer = self.document_stores[receiver], NodeId(sender, 1)
        if isinstance(message, tuple):
            near = one_way_ms(self.records[sender], self.records[receiver]) < 1
            self.fetch(
                ms,
                receiver,
                document_store.record_peer_version(peer, *message, ms, near=near),
            )
        elif isinstance(message, DocumentRequest):
            reply = document_store.answer_request(message, ms)
            size = len(reply.body) + REQUEST_BYTES + PACKET_BYTES
            self.send(ms, receiver, sender, reply, size)
        elif message.body:
            parsed_ms = ms + len(self.body) / PARSE_BYTES_PER_MS
            self.schedule(parsed_ms, self.apply_reply, receiver, peer, message)
        else:
            document_store.apply_reply(peer, message, ms)

    def apply_reply(self, ms, name, peer, reply):
        self.record_offered(
            ms, name, self.document_stores[name].apply_reply(peer, reply, ms)
        )

    def record_offered(self, ms, name, offered):
        if offered and offered.changed:
            self.in_force_ms[name] = ms
            self.announce(ms, name)

    def announce(self, ms, name):
        stamp = self.document_stores[name].stamp
        for peer in self.links[name]:
            self.send(ms, name, peer, tuple(stamp), HEARTBEAT_BYTES + PACKET_BYTES)

    def fetch(self, ms, name, fetches):
        for fetch in fetches:
            size = REQUEST_BYTES + PACKET_BYTES
            self.send(ms, name, fetch.peer, fetch.request, size)

    def heartbeat(self, ms, name):
        self.announce(ms, name)
        for step in range(4):
            self.schedule(ms + 250 * step, self.tick, name)
        self.schedule(ms + 1_000, self.heartbeat, name)

    def tick(self, ms, name):
        self.fetch(ms, name, self.document_stores[name].tick(ms))

    def publish(self, ms, readers):
        for name in readers:
            parse_ms = len(self.body) / PARSE_BYTES_PER_MS
            self.schedule(ms + self.rng.uniform(1, 10) + parse_ms, self.read, name)

    def read(self, ms, name):
        offered = self.document_stores[name].offer(self.body, Source.PLATFORM, ms)
        self.record_offered(ms, name, offered)

    def run(self, until_ms):
        """Run until ``until_ms``, or until the change is in force on all nodes."""
        while self.events[0][0] < until_ms and len(self.in_force_ms) < NODES:
            ms, _, action, args = heapq.heappop(self.events)
            action(ms, *args)


def simulate_spread(
    *,
    size_bytes,
    packs_to=0.15,
    seed=1,
    loss=0.0,
    cut_zone="",
    readers=DOCUMENT_WATCHES,
):
    records = {record.name: record for record in fleet()}
    noise = random.Random(seed).randbytes(round(size_bytes * packs_to))
    body = body_of(2).ljust(size_bytes - len(noise)) + noise
    links = links_of(list(records.values()))
    run = Spread(records, links, random.Random(seed), body, loss, cut_zone)
    outside = [n for n, r in records.items() if r.availability_zone != cut_zone]
    run.publish(2_000, run.rng.sample(outside, readers))
    run.run(2_000 + IN_FORCE_MS)
    return run


@pytest.mark.parametrize("size_bytes", (100_000, 1_000_000))
def test_a_change_is_in_force_on_all_nodes_in_time(size_bytes):
    """A change is read by the few nodes with an open watch at that moment.

    One message in a hundred is lost. Each node announces the change once on each
    link, and these announcements must use less than 1/20 of the control budget.
    """
    run = simulate_spread(size_bytes=size_bytes, loss=0.01)
    assert len(run.in_force_ms) == NODES
    links = sum(map(len, run.links.values())) / NODES
    announced_bytes = links * (HEARTBEAT_BYTES + PACKET_BYTES)
    assert announced_bytes / CHANGE_EVERY_S < CONTROL_BYTES_PER_S / 20


def test_one_platform_reader_is_enough():
    """Only one node of the fleet can reach the platform."""
    assert len(simulate_spread(size_bytes=100_000, readers=1).in_force_ms) == NODES


def test_partitioned_zone_converges_on_the_change():
    """A zone is partitioned from the fleet, and one of its nodes reads the change.

    All nodes of the zone must converge on the new version without the rest of the
    fleet, and the rest without the zone.
    """
    run = simulate_spread(size_bytes=100_000, cut_zone="z0", readers=1)
    assert len(run.in_force_ms) == sum(
        r.availability_zone != "z0" for r in run.records.values()
    )
    inside = next(n for n, r in run.records.items() if r.availability_zone == "z0")
    run.read(11_000, inside)
    run.run(11_000 + IN_FORCE_MS)
    assert len(run.in_force_ms) == NODES
