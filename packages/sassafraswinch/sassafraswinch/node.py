"""Node: composes the owner, executor, ingress and egress decisions of one process.

Sans-IO: adapters pass in the time and messages, and the node acts through ports.
"""

import random
from collections.abc import Callable

from sassafraswinch.classify import Classifier
from sassafraswinch.document import Document
from sassafraswinch.document_exchange import UNSOLICITED_SEQUENCE, DocumentExchange
from sassafraswinch.early_retries import EarlyRetries
from sassafraswinch.egress import Egress
from sassafraswinch.entry import Entry
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.executor import Executor
from sassafraswinch.forwarding import Forwarder, request_from_forward
from sassafraswinch.gate import Gate
from sassafraswinch.host_exchange import HostExchange
from sassafraswinch.ingress_limits import IngressLimits
from sassafraswinch.levels import IngressShedder
from sassafraswinch.lifecycle import LEAVE_NOTICE_MS, Lifecycle
from sassafraswinch.local_links import LOCAL_SESSION, LocalLinks
from sassafraswinch.membership import Membership
from sassafraswinch.messages import (
    Acknowledge,
    Answer,
    Call,
    Cancel,
    DocumentReply,
    DocumentRequest,
    Fence,
    FenceReply,
    Forward,
    Heartbeat,
    HostsReply,
    HostsRequest,
    Load,
    Message,
    NodeId,
)
from sassafraswinch.outcomes import answer_of
from sassafraswinch.owned_call import Finished, OwnedCall
from sassafraswinch.owner import Owner
from sassafraswinch.pending import LocalWaiter, Pending, RemoteWaiter, Waiter
from sassafraswinch.ports import BackendPort, CallerPort, LinkPort, Recorder
from sassafraswinch.requests import BackendResult, CallKey, Outcome, Request
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.routing import Router
from sassafraswinch.tickets import TicketLedger
from sassafraswinch.versions import DocumentStore


class Node:
    """All decisions of one node.

    Each public method is one step: it handles an event and returns after all of its
    consequences have been passed to the ports.
    """

    def __init__(
        self,
        *,
        node: NodeId,
        links: LinkPort,
        backend: BackendPort,
        callers: CallerPort,
        gate: Gate,
        membership: Membership,
        router: Router,
        tickets: TicketLedger,
        ledger: ExecutionLedger,
        shedder: IngressShedder,
        budget: CallerRetryBudget,
        document_store: DocumentStore,
        service: str,
        rng: random.Random,
        recorder: Recorder | None = None,
        document_changed: Callable[[Document], None] = lambda document: None,
        service_called: Callable[[str], None] = lambda service: None,
        leave_notice_ms: float = LEAVE_NOTICE_MS,
    ):
        self.node = node
        self.service = service
        self.document_changed = document_changed
        self.callers = callers
        self.links = LocalLinks(host=node.host, links=links)
        self.membership = membership
        self.router = router
        self.lifecycle = Lifecycle(leave_notice_ms=leave_notice_ms)
        self.owner = Owner(
            node=node,
            links=self.links,
            membership=membership,
            router=router,
            service_called=service_called,
        )
        self.executor = Executor(gate=gate, ledger=ledger, backend=backend, rng=rng)
        self.forwarder = Forwarder(
            links=self.links,
            next_number=self.owner.next_number,
            is_known=membership.knows,
            fresh_ticket=lambda request, now_ms: self.entry.issue_ticket(
                request, now_ms
            ),
            respond=self._respond,
        )
        self.entry = Entry(
            node=node,
            owner=self.owner,
            ledger=tickets,
            forwarder=self.forwarder,
            limits=IngressLimits(
                shedder=shedder, budget=budget, early_retries=EarlyRetries(), rng=rng
            ),
            respond=self._respond,
            recorder=recorder,
            rng=rng,
        )
        self.egress = Egress(
            executor=self.executor,
            owner=self.owner,
            entry=self.entry,
            respond=self._respond,
        )
        self.host_exchange = HostExchange(
            self_host=node.host, membership=membership, links=self.links
        )
        self.document_exchange = DocumentExchange(
            keeper=document_store,
            lifecycle=self.lifecycle,
            links=self.links,
            membership=membership,
            heartbeat=self.heartbeat,
            apply_document=self._apply_document,
        )
        self._owned_by_handle: dict[int, OwnedCall] = {}

    def start(self, now_ms: float) -> None:
        """Request the newest document from peers, now that the listeners are open."""
        self.lifecycle.listening()
        self.document_exchange.start_sync(now_ms)

    def resume_after_pause(self, now_ms: float) -> None:
        """Synchronise again after a process pause, since the state held may be stale.

        The sync starts first because it expects an answer from each linked peer, and
        no peer counts as linked once ``require_fresh_round_trips`` was called.
        """
        self.lifecycle.woke()
        self.document_exchange.start_sync(now_ms)
        self.membership.require_fresh_round_trips(now_ms)

    def heartbeat(self, sequence: int, now_ms: float) -> Heartbeat:
        """Return the heartbeat that this node sends on every link."""
        stamp = self.document_exchange.keeper.stamp
        return Heartbeat(
            sequence=sequence,
            load=self.executor.load(now_ms),
            document_version=stamp.version,
            document_digest=stamp.digest,
        )

    def submit(self, request: Request, now_ms: float) -> None:
        """Handle a request received by the ingress listener."""
        waiter = LocalWaiter(handle=request.handle)
        self._add_waiting(request.handle, self.entry.submit(request, waiter, now_ms))
        self._run_pending(now_ms)

    def submit_child(self, request: Request, now_ms: float) -> None:
        """Handle a child request received by the egress listener."""
        waiter = LocalWaiter(handle=request.handle)
        self._add_waiting(request.handle, self.egress.submit(request, waiter, now_ms))
        self._run_pending(now_ms)

    def abandon(self, handle: int, now_ms: float) -> None:
        """Handle the disconnection of the sender of a request."""
        owned = self._owned_by_handle.pop(handle, None)
        if owned is None:
            self.forwarder.abandon(handle)
            return
        pending: Pending = owned.context
        waiter = LocalWaiter(handle=handle)
        pending.waiters = [other for other in pending.waiters if other != waiter]
        if not pending.waiters and not owned.abandoned:
            self.owner.abandon(owned, now_ms)
        self._run_pending(now_ms)

    def backend_done(self, key: CallKey, result: BackendResult, now_ms: float) -> None:
        """Handle the end of a dispatch to the local backend server."""
        self.executor.backend_done(key, result, now_ms)
        self._run_pending(now_ms)

    def link_up(
        self, node: NodeId, session: int, *, dialled: bool, now_ms: float
    ) -> None:
        """Handle a new link, dialled by this node or by ``node``."""
        self.host_exchange.request_missing_hosts(node, now_ms)
        if dialled:
            self.membership.link_up(
                node.host, node.incarnation, now_ms, session=session
            )
            self.owner.link_up(node, session, now_ms)
            self.forwarder.link_up(node, now_ms)
        self._run_pending(now_ms)

    def link_lost(
        self,
        node: NodeId,
        session: int,
        *,
        dialled: bool,
        replaced: bool,
        now_ms: float,
    ) -> None:
        """Handle a lost link; ``replaced`` if a newer one to the host is open."""
        if dialled:
            self.membership.link_lost(node.host, now_ms, session=session)
            if not replaced:
                self.document_exchange.peer_lost(node.host, now_ms)
            self.owner.link_lost(node.host, session, now_ms)
            self.forwarder.link_lost(
                node.host, session, replaced=replaced, now_ms=now_ms
            )
        elif not replaced and not self.owner.is_linked(node):
            self.document_exchange.peer_lost(node.host, now_ms)
        self._run_pending(now_ms)

    def handle_message(
        self, node: NodeId, session: int, message: Message, now_ms: float
    ) -> None:
        """Handle a message of another node."""
        self._dispatch_message(node, session, message, now_ms)
        self._run_pending(now_ms)

    def link_proved(self, node: NodeId, sent_at_ms: float, now_ms: float) -> None:
        """Record that ``node`` answered a heartbeat sent at ``sent_at_ms``."""
        self.membership.record_round_trip(node.host, sent_at_ms, now_ms)
        self.document_exchange.record_heartbeat_answer(node.host, sent_at_ms, now_ms)
        self._run_pending(now_ms)

    def tick(self, now_ms: float) -> None:
        """Process deadlines, adaptive limits and expiries that are due."""
        for _, step in self.tick_steps():
            step(now_ms)

    def tick_steps(self) -> tuple[tuple[str, Callable[[float], None]], ...]:
        """Return the steps of a tick by name, so that each may fail by itself."""
        return (
            ("document_exchange", self.document_exchange.tick),
            ("membership", self.membership.tick),
            ("executor", self.executor.tick),
            ("owner", self.owner.tick),
            ("forwarder", self.forwarder.tick),
            ("ledger", self.entry.ledger.tick),
            ("pending", self._run_pending),
        )

    def leave(self, now_ms: float) -> None:
        """Refuse new calls from now on; calls in flight run to completion."""
        self.lifecycle.leave(now_ms)
        self.entry.leaving = True
        self.executor.leave(now_ms)
        self.links.announce(self.heartbeat(UNSOLICITED_SEQUENCE, now_ms))
        self._run_pending(now_ms)

    def counters(self) -> dict[str, int]:
        """Return the counters since the start, for the operators' status."""
        return {
            "retries": self.owner.retries,
            "calls_received": self.executor.received,
            "forwarded": self.forwarder.forwarded,
        }

    @property
    def in_flight(self) -> int:
        """Number of requests and calls that a planned stop has to wait for."""
        executed, forwarded = len(self.executor.calls), len(self.forwarder.open)
        return len(self.awaited_calls()) + executed + forwarded

    def awaited_calls(self) -> list[OwnedCall]:
        """Return the owned calls whose outcome is still awaited.

        An abandoned call counts while a request waits for it: a backend server may
        go on waiting for a child call whose parent was cancelled.
        """
        return [
            owned
            for owned in self.owner.open.values()
            if owned.context.waiters or not owned.abandoned
        ]

    def _add_waiting(self, handle: int, owned: OwnedCall | None) -> None:
        if owned is not None:
            self._owned_by_handle[handle] = owned

    def _respond(self, waiter: Waiter, outcome: Outcome) -> None:
        if isinstance(waiter, LocalWaiter):
            self._owned_by_handle.pop(waiter.handle, None)
            self.callers.respond(waiter.handle, outcome)
            return
        self.links.reply(waiter.node, answer_of(waiter.number, outcome))

    def _dispatch_message(
        self, node: NodeId, session: int, message: Message, now_ms: float
    ) -> None:
        match message:
            case Call():
                self.executor.receive(node, session, message, now_ms)
            case Answer():
                self._handle_answer(node, message, now_ms)
            case Acknowledge():
                self.executor.ledger.acknowledge(node, message.numbers)
            case Cancel():
                self.executor.cancel(node, message, now_ms)
            case Fence():
                self.executor.fence(node, message, now_ms)
            case FenceReply():
                self.owner.handle_fence_reply(node, message, now_ms)
            case Forward():
                self._handle_forward(node, message, now_ms)
            case Heartbeat():
                self._record_load(node, message.load, now_ms)
                self.document_exchange.record_heartbeat(node, message, now_ms)
                self.host_exchange.request_missing_hosts(node, now_ms)
            case DocumentRequest():
                self.document_exchange.answer_document_request(node, message, now_ms)
            case DocumentReply():
                self.document_exchange.apply_document_reply(node, message, now_ms)
            case HostsRequest():
                self.host_exchange.send_hosts(node)
            case HostsReply():
                self.host_exchange.add_reply(node, message, now_ms)

    def _record_load(self, node: NodeId, load: Load, now_ms: float) -> None:
        self.membership.record_report(node, load, now_ms)
        self.router.record_load(node.host, load, now_ms)

    def _apply_document(self, document: Document | None) -> None:
        """Classify by ``document`` from now on; calls in flight keep their class."""
        classifier = Classifier(document=document) if document else None
        self.entry.set_classifier(classifier)
        if document is None:
            return
        self.egress.classifier = classifier
        self.executor.has_document = True
        percent = document.retry.caller_share_percent
        self.entry.limits.budget.set_share_percent(percent)
        service = document.services.get(self.service)
        self.executor.gate.set_slots(service.slots if service else None)
        self.document_changed(document)

    def _handle_answer(self, node: NodeId, answer: Answer, now_ms: float) -> None:
        if answer.load is not None:
            self._record_load(node, answer.load, now_ms)
        if not self.forwarder.handle_answer(node.host, answer, now_ms):
            self.owner.handle_answer(node, answer, now_ms)

    def _handle_forward(self, node: NodeId, forward: Forward, now_ms: float) -> None:
        waiter = RemoteWaiter(node=node, number=forward.number)
        self.entry.submit(request_from_forward(forward), waiter, now_ms)

    def _run_pending(self, now_ms: float) -> None:
        """Process replies, local messages and ended calls until none is left."""
        busy = True
        while busy:
            busy = self._send_replies()
            busy |= self._deliver_local(now_ms)
            busy |= self._end_parents(now_ms)
            busy |= self._finish_calls(now_ms)

    def _send_replies(self) -> bool:
        replies = self.executor.take_replies()
        for reply in replies:
            self.links.reply(reply.owner, reply.message)
        return bool(replies)

    def _deliver_local(self, now_ms: float) -> bool:
        if not self.links.queue:
            return False
        local = self.links.queue.popleft()
        self._dispatch_message(self.node, LOCAL_SESSION, local.message, now_ms)
        return True

    def _end_parents(self, now_ms: float) -> bool:
        ended = self.executor.take_ended()
        for parent in ended:
            self.egress.cancel_children(parent, now_ms)
        return bool(ended)

    def _finish_calls(self, now_ms: float) -> bool:
        finished_calls = self.owner.take_finished()
        for finished in finished_calls:
            self._finish_call(finished, now_ms)
        return bool(finished_calls)

    def _finish_call(self, finished: Finished, now_ms: float) -> None:
        pending: Pending = finished.owned.context
        if pending.parent is not None:
            self.egress.handle_finished(finished, now_ms)
            return
        self.entry.handle_finished(finished, now_ms)
