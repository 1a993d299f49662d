"""State machine test of at-most-once execution across two nodes.

It covers tickets, execution records and sent calls.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafraswinch.claims import Dispatch, Recorded, Refused
from sassafraswinch.execution import IDLE_OWNER_EVICTION_MS, ExecutionLedger
from sassafraswinch.messages import Acknowledge, Answer, Fence, FenceReply, NodeId
from sassafraswinch.sent_calls import SentCalls
from sassafraswinch.ticket_states import TicketStates
from sassafraswinch.tickets import TicketLedger, fingerprint
from sassafraswinch.verdict import Verdict

HOSTS = ("a", "b")
LIFETIME_MS = 1000
GRACE_MS = 500
ANSWER_BYTES = 3000
OPERATION = "approve-order"


def limited(function):
    """Limit how often a rule runs in one example, by the machine's ``limits``."""
    name = function.__name__

    def limited_rule(self, **picks):
        self.counts[name] += 1
        return function(self, **picks)

    limited_rule.__name__ = name
    return precondition(lambda self: self.counts[name] < self.limits.get(name, 99))(
        limited_rule
    )


def other(host):
    return HOSTS[1 - HOSTS.index(host)]


@dataclass(frozen=True)
class Request:
    """A caller's request with the index of its ticket."""

    ticket: int
    organisation: str
    body: bytes

    @property
    def answer_body(self):
        return f"{self.ticket} {self.organisation} ".encode() + self.body


@dataclass(frozen=True)
class Frame:
    source: NodeId
    target: NodeId
    session: int
    payload: object


@dataclass(frozen=True)
class SentRequest:
    number: int
    request: Request


@dataclass
class Node:
    """One incarnation of a node: the state that a restart loses."""

    id: NodeId
    links: dict = field(default_factory=dict)
    sessions: int = 0
    numbers: int = 0
    open_calls: dict = field(default_factory=dict)
    queue: list = field(default_factory=list)
    running: list = field(default_factory=list)

    def __post_init__(self):
        self.sent = SentCalls()
        self.tickets = TicketLedger(
            node=self.id,
            secret=str(self.id.incarnation).encode(),
            lifetime_ms=LIFETIME_MS,
            grace_ms=GRACE_MS,
            max_answer_bytes=ANSWER_BYTES,
            max_running=3,
            states=TicketStates(segment_tickets=2, max_segments=3),
        )
        self.executed = ExecutionLedger(
            max_answer_bytes=ANSWER_BYTES,
            max_owners=3,
            max_live_calls=4,
            max_dropped_calls=1,
        )


class NodesMachine(RuleBasedStateMachine):
    """Two nodes whose frames may be reordered, duplicated, delayed or lost."""

    limits = {
        "new_tickets": 2,
        "new_link": 4,
        "give_up": 2,
        "disturb": 3,
        "pass_time": 3,
    }

    @initialize()
    def start(self):
        self.counts = Counter()
        self.now_ms = 0.0
        self.incarnations = 0
        self.frames = []
        self.issued_tickets = []
        self.runs = defaultdict(list)
        self.verdicts_by_ticket = defaultdict(set)
        self.nodes = {}
        for host in HOSTS:
            self.restart(host)
        self.issue(host="a", count=2)

    @rule(
        fault=st.sampled_from(
            ["restart", "restart", "lose_frame", "forget_previous_runs"]
        ),
        host=st.sampled_from(HOSTS),
    )
    @limited
    def disturb(self, fault, host):
        getattr(self, fault)(host)

    def lose_frame(self, host):
        del self.frames[:1]

    def restart(self, host):
        self.incarnations += 1
        node = self.nodes[host] = Node(NodeId(host, self.incarnations))
        node.tickets.tick(self.now_ms)

    @rule(host=st.sampled_from(HOSTS), count=st.sampled_from([1, 6]))
    @limited
    def new_tickets(self, host, count):
        self.issue(host, count)

    def issue(self, host, count):
        tickets = self.nodes[host].tickets
        self.issued_tickets += [
            (host, tickets.issue("acme", OPERATION, self.now_ms)) for _ in range(count)
        ]

    @rule()
    @limited
    def first_attempt(self):
        self.issue(host="a", count=1)
        self.attempt(pick=0, organisation="acme", body=b"1", ingress="a")

    @rule()
    @limited
    def running_call(self):
        self.first_attempt()
        if self.frames:
            self.deliver_newest()
        if self.nodes["b"].queue:
            self.start_or_refuse(pick=1, refuse=False)

    @rule(
        pick=st.integers(0, 2),
        organisation=st.sampled_from(["acme", "acme", "rival"]),
        body=st.sampled_from([b"1", b"1", b"2"]),
        ingress=st.sampled_from(HOSTS),
    )
    @limited
    def attempt(self, pick, organisation, body, ingress):
        ticket = max(0, len(self.issued_tickets) - 1 - pick)
        request = Request(ticket, organisation, body)
        host = self.issued_tickets[ticket][0]
        if host == ingress:
            self.claim(self.nodes[host], request, self.now_ms)
        else:
            self.send(self.nodes[ingress], host, request)

    @precondition(lambda self: self.frames)
    @rule()
    def deliver(self):
        self.arrive(self.frames.pop(0), retry=False, delay_ms=0)

    @precondition(lambda self: self.frames)
    @rule()
    def deliver_newest(self):
        self.arrive(self.frames.pop(), retry=False, delay_ms=0)

    @precondition(lambda self: self.frames)
    @rule(
        pick=st.integers(0, 3),
        duplicate=st.booleans(),
        retry=st.booleans(),
        delay_ms=st.sampled_from([0, LIFETIME_MS]),
    )
    def deliver_any(self, pick, duplicate, retry, delay_ms):
        frame = self.frames[pick % len(self.frames)]
        if not duplicate:
            self.frames.remove(frame)
        self.arrive(frame, retry, delay_ms)

    def arrive(self, frame, retry, delay_ms):
        node = self.nodes[frame.target.host]
        if node.id != frame.target:
            return
        payload = frame.payload
        if isinstance(payload, Request):
            self.claim(node, payload, self.now_ms - delay_ms)
        elif isinstance(payload, SentRequest):
            if node.executed.receive(frame.source, frame.session, payload.number):
                node.queue.append((frame.source, payload))
        elif isinstance(payload, Fence):
            for reply in node.executed.fence(frame.source, payload).replies:
                self.reply(node, frame.source, reply)
        elif isinstance(payload, FenceReply):
            verdict = node.sent.settle_fenced(frame.source, payload)
            if verdict:
                answer = Answer(number=payload.number, verdict=verdict)
                self.settle(node, answer, retry)
        elif isinstance(payload, Answer):
            if node.sent.is_open(payload.number, frame.source):
                node.sent.settle(payload.number)
                self.reply(node, frame.source, Acknowledge(numbers=(payload.number,)))
                self.settle(node, payload, retry)
        else:
            node.executed.acknowledge(frame.source, payload.numbers)

    @rule(owner=st.sampled_from(HOSTS))
    @limited
    def new_link(self, owner):
        self.link_up(owner)

    def link_up(self, owner):
        node = self.nodes[owner]
        host = other(owner)
        node.sessions += 1
        peer = self.nodes[host].id
        node.links[host] = (peer, node.sessions)
        recovery = node.sent.link_up(peer, node.sessions)
        for fence in recovery.fences:
            self.send(node, host, fence)
        for number in recovery.lost:
            answer = Answer(number=number, verdict=Verdict.MAY_HAVE_RUN)
            self.settle(node, answer, retry=False)

    @precondition(lambda self: self.nodes_with("open_calls"))
    @rule(pick=st.integers(0, 1))
    @limited
    def give_up(self, pick):
        node = self.pick("open_calls", pick)
        number = next(iter(node.open_calls))
        node.sent.settle(number)
        answer = Answer(number=number, verdict=Verdict.MAY_HAVE_RUN)
        self.settle(node, answer, retry=False)

    @precondition(lambda self: self.nodes_with("queue"))
    @rule(pick=st.integers(0, 1), refuse=st.sampled_from([False, False, True]))
    def start_or_refuse(self, pick, refuse):
        node = self.pick("queue", pick)
        owner, sent = node.queue.pop(0)
        if refuse:
            self.finish(node, owner, sent, Verdict.NOT_RUN)
        elif node.executed.start(owner, sent.number):
            self.runs[sent.request.ticket].append(sent.request)
            node.running.append((owner, sent))

    @precondition(lambda self: self.nodes_with("running"))
    @rule(pick=st.integers(0, 1))
    def end_run(self, pick):
        node = self.pick("running", pick)
        self.finish(node, *node.running.pop(0), Verdict.ANSWERED)

    def nodes_with(self, what):
        return [node for node in self.nodes.values() if getattr(node, what)]

    def pick(self, what, pick):
        nodes = self.nodes_with(what)
        return nodes[pick % len(nodes)]

    @rule(
        ms=st.sampled_from(
            [LIFETIME_MS / 2, LIFETIME_MS + GRACE_MS, IDLE_OWNER_EVICTION_MS]
        )
    )
    @limited
    def pass_time(self, ms):
        self.now_ms += ms
        if ms == IDLE_OWNER_EVICTION_MS:
            self.frames.clear()  # Links that were silent for that long are closed.
        for node in self.nodes.values():
            node.tickets.tick(self.now_ms)
            node.executed.tick(self.now_ms)

    def forget_previous_runs(self, host):
        owner = other(host)
        for incarnation in range(self.nodes[owner].id.incarnation):
            self.nodes[host].executed.retire_owner(NodeId(owner, incarnation))

    def claim(self, node, request, now_ms):
        claim = node.tickets.claim(
            self.issued_tickets[request.ticket][1],
            request.organisation,
            OPERATION,
            fingerprint("POST", "/orders/1/approval", request.body),
            now_ms,
        )
        if isinstance(claim, Dispatch):
            self.dispatch(node, claim.number, request)
        elif isinstance(claim, Recorded):
            self.record_answer(request, claim.answer)
        elif isinstance(claim, Refused):
            self.verdicts_by_ticket[request.ticket].add(claim.verdict)

    def dispatch(self, node, ticket_number, request):
        host = other(node.id.host)
        if host not in node.links:
            self.link_up(node.id.host)
        node.numbers += 1
        peer, session = node.links[host]
        assert node.sent.add(node.numbers, peer=peer, session=session)
        node.open_calls[node.numbers] = (ticket_number, request)
        self.send(node, host, SentRequest(node.numbers, request))

    def settle(self, node, answer, retry):
        ticket_number, request = node.open_calls.pop(answer.number)
        if retry and answer.verdict is Verdict.NOT_RUN:
            self.dispatch(node, ticket_number, request)
            return
        node.tickets.finish(ticket_number, answer, self.now_ms)
        self.record_answer(request, answer)

    def record_answer(self, request, answer):
        self.verdicts_by_ticket[request.ticket].add(answer.verdict)
        if answer.verdict is Verdict.ANSWERED:
            assert answer.body == request.answer_body

    def finish(self, node, owner, sent, verdict):
        body = sent.request.answer_body if verdict is Verdict.ANSWERED else b""
        answer = Answer(number=sent.number, verdict=verdict, body=body)
        node.executed.finish(owner, sent.number, answer)
        self.reply(node, owner, answer)

    def send(self, node, host, payload):
        peer, session = node.links.get(host, (self.nodes[host].id, 0))
        self.frames.append(Frame(node.id, peer, session, payload))

    def reply(self, node, owner, payload):
        self.frames.append(Frame(node.id, owner, 0, payload))

    @invariant()
    def at_most_once(self):
        for ticket, requests in self.runs.items():
            assert len(requests) <= 1, f"ticket {ticket} ran {requests}"
            assert all(request.organisation == "acme" for request in requests)

    @invariant()
    def not_run_is_true(self):
        for ticket, verdicts in self.verdicts_by_ticket.items():
            assert Verdict.NOT_RUN not in verdicts or not self.runs[ticket]

    @invariant()
    def memory_is_bounded(self):
        for node in self.nodes.values():
            assert node.tickets.size.answer_bytes <= ANSWER_BYTES
            assert node.executed.size.answer_bytes <= ANSWER_BYTES
            assert node.executed.size.records <= 4 + 1


class NodesWithLinkFaults(NodesMachine):
    """Only links fail, which leaves more steps for frames that outlive their link."""

    limits = {"disturb": 0, "pass_time": 0, "new_tickets": 0, "give_up": 0}


class NodesWithRestarts(NodesMachine):
    """Links fail and nodes restart within the lifetime of one ticket."""

    limits = {
        "pass_time": 0,
        "new_tickets": 0,
        "give_up": 0,
        "new_link": 2,
        "attempt": 2,
        "running_call": 2,
    }


TestNodesMachine = NodesMachine.TestCase
TestNodesWithLinkFaults = NodesWithLinkFaults.TestCase
TestNodesWithRestarts = NodesWithRestarts.TestCase
TestNodesMachine.settings = TestNodesWithLinkFaults.settings = (
    TestNodesWithRestarts.settings
) = settings(derandomize=True, deadline=None, max_examples=300, stateful_step_count=50)
