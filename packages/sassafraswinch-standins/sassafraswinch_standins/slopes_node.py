"""Cost of the decisions of two nodes that exchange messages without sockets."""

import itertools
import random
import time
from collections import deque
from collections.abc import Iterator

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.document import digest, parse_document
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.levels import IngressShedder
from sassafraswinch.membership import HostRecord, HostState, Membership
from sassafraswinch.messages import Heartbeat, Message, NodeId
from sassafraswinch.node import Node
from sassafraswinch.requests import BackendResult, CallKey, Outcome, Request
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.routing import Router
from sassafraswinch.tickets import TicketLedger
from sassafraswinch.verdict import Verdict
from sassafraswinch.versions import DocumentStore
from sassafraswinch_standins.memory_document import make_document
from sassafraswinch_standins.slopes_links import HEARTBEAT
from sassafraswinch_standins.slopes_timing import (
    Figure,
    best_cpu_us,
    held_bytes,
)

SERVICES, ZONES = 50, 6
SERVICE = "archiv"
BATCH = 8
"""Concurrent calls: below every limit, so that no call waits or is refused."""
BATCHES = 300
OPEN_CALLS = 750
"""Calls that are open at the same time: two seconds at 375 calls per second."""
STEP_MS = 25.0
MAX_ANSWER_BYTES = 8_388_608
ANSWER = BackendResult(verdict=Verdict.ANSWERED, status=200, body=b"x" * 500)


class Ports:
    """All ports of a node, which record what is sent through them."""

    def __init__(self):
        self.sent: deque[Message] = deque()
        self.dispatched: deque[CallKey] = deque()
        self.responses: list[Outcome] = []

    def send(self, host: str, message: Message) -> int | None:
        """Record a message to the only peer."""
        self.sent.append(message)
        return 1

    def connect(self, host: str) -> None:
        """Do nothing: the link is up."""

    def announce(self, message: Message) -> None:
        """Do nothing: the peer needs no announcements."""

    def reply(self, node: NodeId, message: Message) -> bool:
        """Record a message to the only peer."""
        self.sent.append(message)
        return True

    def dispatch(self, key: CallKey, call: object, traceparent: str) -> None:
        """Record a started call."""
        self.dispatched.append(key)

    def cancel(self, key: CallKey) -> None:
        """Do nothing: no call is cancelled here."""

    def respond(self, handle: int, outcome: Outcome) -> None:
        """Record an outcome."""
        self.responses.append(outcome)


def host_records(hosts: int) -> tuple[HostRecord, ...]:
    """Return the host list of a fleet; ``h0`` serves ``archiv``."""
    return tuple(
        HostRecord(
            name=f"h{number}",
            service=f"service-{number % SERVICES}" if number else SERVICE,
            availability_zone=f"zone-{number % ZONES}",
            state=HostState.LIVE,
            link=f"10.0.{number // 250}.{number % 250}:7001",
            entry=f"10.0.{number // 250}.{number % 250}:7002",
            operators=f"10.0.{number // 250}.{number % 250}:7003",
        )
        for number in range(hosts)
    )


def make_node(host: str, *, hosts: int = 2) -> tuple[Node, Ports]:
    """Return a node with a small document and the host list of a fleet."""
    ports, rng = Ports(), random.Random(1)
    node_id = NodeId(host, int(host[1:]) + 1)
    membership = Membership(self_host=host)
    membership.apply_host_list(host_records(hosts), 1, 0.0)
    node = Node(
        node=node_id,
        links=ports,
        backend=ports,
        callers=ports,
        gate=AdaptiveGate(slots=120, rng=rng),
        membership=membership,
        router=Router(availability_zone="zone-0", rng=rng),
        tickets=TicketLedger(
            node=node_id,
            secret=b"k" * 32,
            lifetime_ms=120_000,
            max_answer_bytes=MAX_ANSWER_BYTES,
        ),
        ledger=ExecutionLedger(max_answer_bytes=MAX_ANSWER_BYTES),
        shedder=IngressShedder(),
        budget=CallerRetryBudget(share_percent=10),
        document_store=DocumentStore(
            parse=lambda body: parse_document(body, source="slopes"),
            digest=digest,
            rng=rng,
        ),
        service=SERVICE,
        rng=rng,
    )
    keeper = node.document_exchange.keeper
    body = make_document(1, slots=120)
    node.start(0.0)
    node.document_exchange.apply_platform_document(keeper.parse_body(body), 0.0)
    for now_ms in range(0, 60_000, 1_000):
        node.tick(float(now_ms))
    return node, ports


class Pair:
    """Owner ``h1`` and executing node ``h0``, which exchange messages by queues."""

    def __init__(self):
        self.now_ms = 60_000.0
        self.owner, self.owner_ports = make_node("h1")
        self.executor, self.executor_ports = make_node("h0")
        self.executor.link_up(self.owner.node, 1, dialled=False, now_ms=self.now_ms)
        self.owner.link_up(self.executor.node, 1, dialled=True, now_ms=self.now_ms)
        heartbeat = self.executor.heartbeat(1, self.now_ms)
        self.owner.message(self.executor.node, 1, heartbeat, self.now_ms)
        self.handles = itertools.count(1)
        self.owner_ns = self.executor_ns = 0

    def run_batch(self) -> None:
        """Run ``BATCH`` calls from submission to outcome and time both nodes."""
        self.now_ms += STEP_MS
        owner, executor = self.owner, self.executor
        start_ns = time.process_time_ns()
        self.submit(BATCH)
        submitted_ns = time.process_time_ns()
        self._deliver(self.owner_ports, executor, owner.node)
        while self.executor_ports.dispatched:
            key = self.executor_ports.dispatched.popleft()
            executor.backend_done(key, ANSWER, self.now_ms + 5)
        executed_ns = time.process_time_ns()
        self._deliver(self.executor_ports, owner, executor.node)
        owner.tick(self.now_ms + 10)
        settled_ns = time.process_time_ns()
        self._deliver(self.owner_ports, executor, owner.node)
        executor.tick(self.now_ms + 10)
        end_ns = time.process_time_ns()
        self.owner_ns += submitted_ns - start_ns + settled_ns - executed_ns
        self.executor_ns += executed_ns - submitted_ns + end_ns - settled_ns

    def submit(self, calls: int) -> None:
        """Submit new calls to the owner."""
        for handle in itertools.islice(self.handles, calls):
            request = Request(
                handle=handle,
                service=SERVICE,
                method="GET",
                target=f"/orders/{handle}",
                caller="buyer",
                organisation="acme",
            )
            self.owner.submit(request, self.now_ms)

    def _deliver(self, ports: Ports, receiver: Node, sender: NodeId) -> None:
        while ports.sent:
            receiver.message(sender, 1, ports.sent.popleft(), self.now_ms + 5)


def _call_figures() -> Iterator[Figure]:
    pair = Pair()
    costs_us: list[tuple[float, float]] = []
    for _ in range(3):
        pair.owner_ns = pair.executor_ns = 0
        for _ in range(BATCHES):
            pair.run_batch()
        calls = BATCH * BATCHES
        costs_us.append(
            (pair.owner_ns / calls / 1_000, pair.executor_ns / calls / 1_000)
        )
    answered = sum(
        outcome.verdict is Verdict.ANSWERED for outcome in pair.owner_ports.responses
    )
    total = len(pair.owner_ports.responses)
    yield Figure(
        name="calls answered in the trial", value=100 * answered / total, unit="%"
    )
    owner_us, executor_us = (min(costs) for costs in zip(*costs_us, strict=True))
    yield Figure(name="owner's decisions per call", value=owner_us, unit="us")
    yield Figure(name="executing decisions per call", value=executor_us, unit="us")


def _open_call_figure() -> Figure:
    """Measure the memory that an owner uses for an open call, including its message."""
    pair = Pair()
    pair.submit(BATCH)
    _, held = held_bytes(lambda: pair.submit(OPEN_CALLS))
    assert len(pair.owner.owner.open) == OPEN_CALLS + BATCH
    return Figure(name="open call at its owner", value=held / OPEN_CALLS, unit="B")


def _heartbeat_figure() -> Figure:
    """Measure the decisions of a node on heartbeats and on proof that a peer reads."""
    node, _ = make_node("h1", hosts=560)
    peer = NodeId("h0", 1)
    node.link_up(peer, 1, dialled=True, now_ms=60_000.0)
    heartbeat = Heartbeat(
        sequence=1,
        load=HEARTBEAT.load,
        document_version=node.document_exchange.keeper.stamp.version,
        document_digest=node.document_exchange.keeper.stamp.digest,
    )

    def receive_heartbeats() -> None:
        node.handle_message(peer, 1, heartbeat, 60_001.0)
        node.handle_message(peer, 1, heartbeat, 60_001.0)
        node.link_proved(peer, 60_000.0, 60_001.0)

    cost_us = best_cpu_us(receive_heartbeats, count=1_000)
    return Figure(
        name="decisions per link and beat, both ends", value=cost_us, unit="us"
    )


def measure() -> Iterator[Figure]:
    """Measure the decisions on calls and on heartbeats."""
    yield from _call_figures()
    yield _open_call_figure()
    yield _heartbeat_figure()
