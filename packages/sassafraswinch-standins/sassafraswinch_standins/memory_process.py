"""In-memory node process: a complete ``Node`` behind fakes of its ports."""

import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from sassafraswinch.lifecycle import NodeState
from sassafraswinch.membership import HostRecord, Membership
from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Call,
    Hello,
    Message,
    NodeId,
)
from sassafraswinch.requests import BackendResult, CallKey, Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch.wake import WakeDetector
from sassafraswinch_standins.memory_backend import (
    PURPOSE_HEADER,
    Exchange,
    MemoryBackend,
)
from sassafraswinch_standins.memory_checks import PendingRequest
from sassafraswinch_standins.memory_context import FleetContext
from sassafraswinch_standins.memory_links import HEARTBEAT_MS, MemoryLinks
from sassafraswinch_standins.memory_node import CheckedLinks, make_node
from sassafraswinch_standins.memory_platform_reader import MemoryPlatformReader
from sassafraswinch_standins.memory_schedule import Action

TICK_MS = 25.0
LONG_PAUSE_MS = 2_000.0
"""Length of a pause after which a node must not act on its earlier view of peers."""


class MemoryProcess:
    """Node process on a host, from its start to its end."""

    def __init__(
        self, *, record: HostRecord, context: FleetContext, backend: MemoryBackend
    ):
        self.host = record.name
        self.availability_zone = record.availability_zone
        self.record = record
        self.context = context
        self.schedule = context.schedule
        self.checks = context.checks
        self.backend = backend
        self.rng = random.Random(self.schedule.rng.getrandbits(64))
        self.node_id = NodeId(self.host, self.rng.getrandbits(63))
        self.alive = True
        self.paused = False
        self.left_at_ms: float | None = None
        self.reads = MemoryPlatformReader(process=self, platform=context.platform)
        self._paused_at_ms = 0.0
        self._resumed_at_ms = 0.0
        self._proved_ms: dict[str, float] = {}
        self.membership = Membership(self_host=self.host)
        self.membership.add_hosts((record,), self.schedule.now_ms)
        self.wake_detector = WakeDetector(tick_ms=TICK_MS)
        self._mailbox: deque[Action] = deque()
        self._timers: deque[Action] = deque()
        self._handles = itertools.count(1)
        self._on_outcome: dict[int, Callable[[Outcome], None]] = {}
        self._abandoned: set[int] = set()
        self._exchanges: dict[CallKey, Exchange] = {}
        self.links = MemoryLinks(
            node=self.node_id,
            schedule=self.schedule,
            connect=lambda links, link: context.network.connect(self, link),
            post=self.post_timer,
            receiver=self,
            hello=self._hello,
            heartbeat=lambda sequence: self.node.heartbeat(sequence, self.now_ms),
        )
        self.node = make_node(self)
        self.node.owner.links = CheckedLinks(links=self.node.links, process=self)

    @property
    def now_ms(self) -> float:
        """Current time of the simulated clock."""
        return self.schedule.now_ms

    def start(self) -> None:
        """Start the node, its ticks and heartbeats, and the reads of the platform."""
        self.observe()
        self.node.start(self.now_ms)
        self._run_periodically(TICK_MS, self._tick)
        self._run_periodically(HEARTBEAT_MS, self._send_heartbeats)
        self.reads.schedule_next()

    def post(self, action: Action) -> None:
        """Run an action now, or on resuming; never if the process has ended."""
        self._run(action, self._mailbox)

    def post_timer(self, action: Action) -> None:
        """Run an action of a timer; on resuming, socket reads come first."""
        self._run(action, self._timers)

    def pause(self) -> None:
        """Suspend the process, as if it got no processor time."""
        self.paused = True
        self._paused_at_ms = self.now_ms

    def resume(self) -> None:
        """Resume the process: first the queued socket reads, then the timers."""
        self.paused = False
        if self.now_ms - self._paused_at_ms > LONG_PAUSE_MS:
            self._resumed_at_ms = self.now_ms
        self.checks.extend_deadlines(self.host)
        for queue in (self._mailbox, self._timers):
            while queue:
                self.post(queue.popleft())

    def end(self) -> None:
        """End the process; waiting callers see their connections break."""
        self.alive = False
        on_outcome, self._on_outcome = self._on_outcome, {}
        for callback in on_outcome.values():
            callback(None)
        for exchange in self._exchanges.values():
            exchange.is_open = False

    def submit(
        self,
        request: Request,
        pending: PendingRequest,
        on_outcome: Callable[[Outcome], None],
    ) -> int:
        """Submit a request of a caller and return its handle."""
        return self._submit(self.node.submit, request, pending, on_outcome)

    def abandon(self, handle: int) -> None:
        """Report to the node that a caller has disconnected."""
        if self._on_outcome.pop(handle, None) is not None:
            self.checks.record_withdrawal((self.host, handle))
            self._abandoned.add(handle)
            self.post(lambda: self._call_node(self.node.abandon, handle))

    def submit_child(
        self,
        request: Request,
        pending: PendingRequest,
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Submit a child call of the local backend server."""
        self._submit(self.node.submit_child, request, pending, on_outcome)

    def sent(self, host: str, call: Call) -> None:
        """Pass a call that was written to the checks."""
        self.checks.record_call(call, dict(call.headers)[PURPOSE_HEADER])
        network = self.context.network
        if host != self.host and self._proved_ms.get(host, 0.0) < self._resumed_at_ms:
            self.checks.sent_on_stale_view(self.host, host)
        target = network.running(host)
        leaving = target is not None and target.left_at_ms is not None
        if leaving and network.undisturbed(self, host):
            self.checks.sent_to_leaving(self.host, host, target.left_at_ms)

    def respond(self, handle: int, outcome: Outcome) -> None:
        """Deliver the outcome of a request (caller port)."""
        if handle in self._abandoned:
            return
        self.checks.record_outcome((self.host, handle), outcome)
        on_outcome = self._on_outcome.pop(handle, None)
        if on_outcome is not None:
            self.schedule.after(0.1, lambda: on_outcome(outcome))

    def dispatch(self, key: CallKey, call: Call, traceparent: str) -> None:
        """Dispatch a call to the backend server (backend port)."""
        if self.left_at_ms is not None:
            self.checks.started_while_leaving(self.host, self.left_at_ms, call)
        exchange = self._exchanges[key] = Exchange(
            key=key,
            call=call,
            traceparent=traceparent,
            front=self,
            due_at_ms=self.now_ms + call.remaining_ms,
        )
        self.backend.accept(exchange)

    def cancel(self, key: CallKey) -> None:
        """Close the connection of a call (backend port)."""
        exchange = self._exchanges[key]
        result = BackendResult(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.CANCELLED)
        self.schedule.after(0, lambda: exchange.end(result))

    def backend_done(self, key: CallKey, result: BackendResult) -> None:
        """Process the result of a dispatched call."""
        self.observe()
        del self._exchanges[key]
        self.node.backend_done(key, result, self.now_ms)

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """Pass a new link and the document version in its ``Hello`` to the node."""
        self.observe()
        self.node.link_up(hello.node, session, dialled=dialled, now_ms=self.now_ms)
        self.node.document_exchange.record_hello(hello, self.now_ms)

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """Pass a message to the node."""
        self.observe()
        self.node.handle_message(node, session, message, self.now_ms)

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """Pass the loss of a link to the node."""
        self.observe()
        self.node.link_lost(
            node, session, dialled=dialled, replaced=replaced, now_ms=self.now_ms
        )

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """Record the answer to a heartbeat and pass it to the node."""
        self.observe()
        previous_ms = self._proved_ms.get(node.host, 0.0)
        self._proved_ms[node.host] = max(previous_ms, sent_at_ms)
        self.node.link_proved(node, sent_at_ms, self.now_ms)

    def leave(self) -> None:
        """Begin a planned stop, unless one is under way."""
        if not self.node.lifecycle.leaving:
            self.left_at_ms = self.now_ms
            self.observe()
            self.node.leave(self.now_ms)

    @property
    def exchanges(self) -> int:
        """Number of calls at the backend server."""
        return len(self._exchanges)

    def _run(self, action: Action, queue: deque[Action]) -> None:
        if not self.alive:
            return
        if self.paused:
            queue.append(action)
        else:
            action()
            self._check_document()

    def _submit(
        self, submit, request: Request, pending: PendingRequest, on_outcome
    ) -> int:
        handle = next(self._handles)
        self._on_outcome[handle] = on_outcome
        self.checks.record_request((self.host, handle), pending)
        numbered = replace(request, handle=handle)
        self.post(lambda: self._call_node(submit, numbered))
        return handle

    def _call_node(self, step, subject: Request | int) -> None:
        self.observe()
        step(subject, self.now_ms)

    def _hello(self, session: int) -> Hello:
        stamp = self.node.document_exchange.keeper.stamp
        return Hello(
            protocol_version=PROTOCOL_VERSION,
            node=self.node_id,
            availability_zone=self.availability_zone,
            service=self.record.service,
            session=session,
            document_version=stamp.version,
            document_digest=stamp.digest,
        )

    def observe(self) -> None:
        """Report a pause of this process to the node, before any other input."""
        if self.wake_detector.observe(monotonic_ms=self.now_ms, wall_ms=self.now_ms):
            self.node.resume_after_pause(self.now_ms)

    def _check_document(self) -> None:
        keeper = self.node.document_exchange.keeper
        self.checks.record_held_document(self.node_id, keeper.stamp)
        if self.node.entry.classifier is not None:
            self.checks.record_applied_document(self.host, keeper.stamp)

    def _run_periodically(self, period_ms: float, action: Action) -> None:
        """Run an action each period; if due in a pause, it runs once on resuming."""

        def again() -> None:
            action()
            self.schedule.after(period_ms, lambda: self.post_timer(again))

        first_ms = self.rng.uniform(0, period_ms)
        self.schedule.after(first_ms, lambda: self.post_timer(again))

    def _tick(self) -> None:
        self.observe()
        self.node.tick(self.now_ms)
        if self.membership.self_leaving:
            self.leave()
        lifecycle = self.node.lifecycle
        if lifecycle.state is NodeState.LEAVING:
            lifecycle.tick(self.now_ms, in_flight=self.node.in_flight)
        if lifecycle.state is NodeState.STOPPED:
            self.context.on_process_stopped(self)

    def _send_heartbeats(self) -> None:
        self.links.beat()
        names = [record.name for record in self.membership.peers(self.now_ms)]
        self.links.want(name for name in names if self.context.dials(self.host, name))
