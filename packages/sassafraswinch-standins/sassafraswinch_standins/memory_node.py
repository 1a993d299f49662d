"""Node of an in-memory process, whose decisions are passed to the checks."""

from collections.abc import Collection
from typing import TYPE_CHECKING

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.gate import Gate, GateDecision
from sassafraswinch.levels import IngressShedder
from sassafraswinch.messages import Call, Message, Rank
from sassafraswinch.node import Node
from sassafraswinch.ports import LinkPort
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.routing import Router
from sassafraswinch.tickets import TicketLedger
from sassafraswinch.versions import DocumentStore
from sassafraswinch_standins.memory_checks import Checks
from sassafraswinch_standins.memory_document import digest_of, read_document

if TYPE_CHECKING:
    from sassafraswinch_standins.memory_process import MemoryProcess

TICKET_LIFETIME_MS = 20_000
MAX_ANSWER_BYTES = 200_000


class CheckedGate:
    """Gate wrapper that passes each decision to the checks."""

    def __init__(self, *, gate: Gate, host: str, checks: Checks):
        self._gate = gate
        self._host = host
        self._checks = checks
        self._orders: dict[object, int] = {}

    def offer(self, *, key, rank, **rest) -> GateDecision:
        """Delegate and check the decision."""
        self._orders[key] = rank.class_order
        return self._check(self._gate.offer(key=key, rank=rank, **rest))

    def finished(self, *, key, **rest) -> GateDecision:
        """Delegate and check the decision."""
        return self._check(self._gate.finished(key=key, **rest))

    def withdraw(self, key, now_ms: float) -> GateDecision:
        """Delegate and check the decision."""
        return self._check(self._gate.withdraw(key, now_ms))

    def tick(self, now_ms: float) -> GateDecision:
        """Delegate and check the decision."""
        return self._check(self._gate.tick(now_ms))

    def load(self, now_ms: float):
        """Delegate."""
        return self._gate.load(now_ms)

    def leave(self) -> GateDecision:
        """Delegate and check the decision."""
        return self._check(self._gate.leave())

    def set_slots(self, slots: int | None) -> None:
        """Delegate."""
        self._gate.set_slots(slots)

    def _check(self, decision: GateDecision) -> GateDecision:
        self._checks.check_decision(self._host, self._orders, decision)
        return decision


class CheckedShedder(IngressShedder):
    """Ingress shedder that passes each decision to the checks."""

    def __init__(self, *, host: str, checks: Checks):
        super().__init__()
        self._host = host
        self._checks = checks

    def admits(self, operation: str, rank: Rank, now_ms: float) -> bool:
        """Decide whether to admit a request and check the decision."""
        admitted = super().admits(operation, rank, now_ms)
        place = f"entry of {self._host}, {operation}"
        self._checks.check_admission(place, rank.class_order, admitted)
        return admitted


class CheckedLinks:
    """Link wrapper of the owner that passes each call sent to the checks."""

    def __init__(self, *, links: LinkPort, process: "MemoryProcess"):
        self._links = links
        self._process = process

    def send(self, host: str, message: Message) -> int | None:
        """Delegate, and check a call that was written."""
        session = self._links.send(host, message)
        if session is not None and isinstance(message, Call):
            self._process.sent(host, message)
        return session


def left_behind(node: Node, hosts: Collection[str]) -> list[object]:
    """Return what is in flight, except calls whose fate only a lost host knows."""
    owned = node.owner.open.values()
    return [
        *(call.attempt for call in owned if call.attempt.peer.host in hosts),
        *node.executor.calls,
        *node.forwarder.open,
    ]


def make_node(process: "MemoryProcess") -> Node:
    """Return the node of a process, with its decisions passed to the checks."""
    rng = process.rng
    return Node(
        node=process.node_id,
        links=process.links,
        backend=process,
        callers=process,
        gate=CheckedGate(
            gate=AdaptiveGate(slots=6, rng=rng),
            host=process.host,
            checks=process.checks,
        ),
        membership=process.membership,
        router=Router(availability_zone=process.availability_zone, rng=rng),
        tickets=TicketLedger(
            node=process.node_id,
            secret=rng.randbytes(32),
            lifetime_ms=TICKET_LIFETIME_MS,
            max_answer_bytes=MAX_ANSWER_BYTES,
        ),
        ledger=ExecutionLedger(max_answer_bytes=MAX_ANSWER_BYTES),
        shedder=CheckedShedder(host=process.host, checks=process.checks),
        budget=CallerRetryBudget(share_percent=10),
        document_store=DocumentStore(parse=read_document, digest=digest_of, rng=rng),
        service=process.record.service,
        rng=rng,
    )
