"""The node process: decision logic of a node with its network adapters."""

import asyncio
import itertools
import os
import random
import socket
import time

from sassafraswinch.burn import BurnRecorder, BurnReport
from sassafraswinch.document import Document
from sassafraswinch.lifecycle import NodeState
from sassafraswinch.link_plan import LinkPlan
from sassafraswinch.membership import HostRecord, HostState, Membership
from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Message,
    NodeId,
)
from sassafraswinch.requests import BackendResult, CallKey, Outcome, Request
from sassafraswinch.status import Status
from sassafraswinch.wake import WakeDetector
from sassafraswinch_node.address_wait import bind_optional, bind_when_available
from sassafraswinch_node.backend import BackendClient
from sassafraswinch_node.caller_memory import CallerMemory
from sassafraswinch_node.dispatcher import Dispatcher
from sassafraswinch_node.http_calls import CallListener, IdentityHeaders
from sassafraswinch_node.link import LinkRefusedError, LinkTraffic
from sassafraswinch_node.link_adapter import LinkAdapter
from sassafraswinch_node.listeners import HttpListener
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.node_factory import make_node
from sassafraswinch_node.operators import operators_app
from sassafraswinch_node.platform import PlatformClient
from sassafraswinch_node.platform_watch import PlatformWatch
from sassafraswinch_node.settings import Address, Settings
from sassafraswinch_node.snapshot import build_status
from sassafraswinch_node.stopping import log_aborted_calls
from sassafraswinch_node.supervision import FailureLog, run_step, start_supervised
from sassafraswinch_node.usage import UsageMeter

BUSY_TICK_MS = 25
"""Tick interval while calls are in flight; short compared to queue delays of 10 ms and
more."""

IDLE_TICK_MS = 100
"""Tick interval while no call is in flight; the gate still adjusts its limits."""

LINK_UPDATE_INTERVAL_MS = 1_000
"""Interval between updates of the set of hosts to link to."""

OPERATORS_TIMEOUT_S = 0.1
"""Time for which a start waits for the operators' listener, whose address may be taken;
the node serves without it."""

ABORT_TIMEOUT_S = 1
"""Time limit for the final responses to callers after the process was aborted."""


class NodeProcess:
    """Runs a ``Node`` on network sockets until it is stopped."""

    def __init__(self, *, settings: Settings, rng: random.Random | None = None):
        self.settings = settings
        self.rng = rng or random.Random(int.from_bytes(os.urandom(16), "big"))
        self.node_id = NodeId(settings.host, self.rng.getrandbits(63))
        self.membership = Membership(
            self_host=settings.host, self_leaving_grace_ms=settings.list_leave_delay_ms
        )
        self.wake = WakeDetector(tick_ms=IDLE_TICK_MS)
        self.stopped = asyncio.Event()
        self.http: dict[str, HttpListener] = {}
        self._caller_memory = CallerMemory(max_bytes=settings.max_caller_memory_bytes)
        self._stopping = asyncio.Event()
        self.aborted_calls = 0
        """Number of calls in flight when the process was aborted."""
        self._handles = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._failures = FailureLog()
        self._identity = IdentityHeaders(
            caller=b"x-caller-id", organisation=b"x-organisation-id"
        )
        self._document: Document | None = None
        self.recorder = BurnRecorder(host=settings.host, now_ms=self.now_ms())
        self._traffic = LinkTraffic()
        self.usage = UsageMeter(now_ms=self.now_ms(), traffic=self._traffic)
        self.links = LinkAdapter(
            receiver=self,
            build_hello=self._hello,
            build_heartbeat=self._heartbeat,
            membership=self.membership,
            plan=LinkPlan(
                host=settings.host, availability_zone=settings.availability_zone
            ),
            on_refused=_link_refused,
            traffic=self._traffic,
        )
        self.dispatcher = Dispatcher(
            client=BackendClient(
                ip=settings.backend.ip,
                port=settings.backend.port,
                max_connections=settings.max_connections,
            ),
            done=self._backend_done,
        )
        self.ingress = self._listener(self._submit)
        self.egress = self._listener(self._submit_child)
        self.node = make_node(
            settings=settings,
            node_id=self.node_id,
            links=self.links,
            backend=self.dispatcher,
            callers=self,
            membership=self.membership,
            recorder=self.recorder,
            document_changed=self._document_changed,
            service_called=self.links.record_service_demand,
            rng=self.rng,
        )
        self.platform = PlatformClient(urls=settings.platform)
        self.watch = PlatformWatch(
            client=self.platform,
            document_exchange=self.node.document_exchange,
            membership=self.membership,
            now_ms=self.now_ms,
            rng=self.rng,
        )

    def now_ms(self) -> float:
        """Return the time of the event loop's monotonic clock in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    async def start(self) -> bool:
        """Open the listeners and start to watch the platform.

        Waits for addresses that are taken or not there yet. The operators' listener
        isn't needed to serve, and opens when its address is available; only a port that
        the system selects must be known before, since it is told to other nodes.

        Returns:
            Whether the node has started; False if it was told to stop before.

        Raises:
            UnusableAddressError: an address can't be bound, for a reason that doesn't
                pass.
        """
        self._failures.install(asyncio.get_running_loop())
        settings = self.settings
        needed = ["entry", "egress"]
        if not settings.operators.port:
            needed.append("operators")
        addresses = [getattr(settings, name) for name in needed]
        sockets = await bind_when_available(
            [settings.link, *addresses], stopping=self._stopping
        )
        if not sockets:
            return False
        link_socket, *http_sockets = sockets
        for name, listening in zip(needed, http_sockets, strict=True):
            await self._open_http(name, listening)
        link = await self.links.start(link_socket)
        self.membership.add_hosts([self._own_record(link)], self.now_ms())
        self.node.start(self.now_ms())
        if "operators" not in self.http:
            opening = start_supervised("open_operators", self._open_operators)
            self._tasks.append(opening)
            await asyncio.wait({opening}, timeout=OPERATORS_TIMEOUT_S)
        self._tasks += [
            start_supervised("platform_watch", self.watch.run),
            start_supervised("tick", self._tick),
        ]
        log_event(
            "node_started",
            host=settings.host,
            availability_zone=settings.availability_zone,
            incarnation=self.node_id.incarnation,
            link=str(link),
            entry=str(self.http["entry"].address),
            egress=str(self.http["egress"].address),
            operators=str(self._operators_address()),
        )
        return True

    async def _open_http(self, name: str, listening: socket.socket) -> None:
        apps = {
            "entry": self.ingress,
            "egress": self.egress,
            "operators": operators_app(status=self.status, burn=self.burn),
        }
        address = getattr(self.settings, name)
        listener = HttpListener(
            app=apps[name],
            address=address,
            listening=listening,
            memory=self._caller_memory,
            max_header_bytes=self.settings.max_header_bytes,
        )
        self.http[name] = listener
        await listener.start()

    async def _open_operators(self) -> None:
        """Open the operators' listener, without which the node serves as well."""
        address = self.settings.operators
        listening = await bind_optional(address, stopping=self._stopping)
        if listening is not None:
            await self._open_http("operators", listening)

    def _operators_address(self) -> Address:
        """Return the address of the operators' listener, also before it is open."""
        listener = self.http.get("operators")
        return listener.address if listener else self.settings.operators

    def _own_record(self, link: Address) -> HostRecord:
        """Return the record of this host in the form of the platform's host list.

        Failure: a node restarts without a connection to the platform. The host list
        from its peers doesn't contain the node, so it would never execute a call.
        """
        return HostRecord(
            name=self.settings.host,
            service=self.settings.service,
            availability_zone=self.settings.availability_zone,
            state=HostState.LIVE,
            link=str(link),
            entry=str(self.http["entry"].address),
            operators=str(self._operators_address()),
        )

    def status(self) -> Status:
        """Return the current status of this node."""
        return build_status(
            settings=self.settings,
            node=self.node,
            pool=self.links.pool,
            usage=self.usage,
            task_failures=self._failures.failures,
            now_ms=self.now_ms(),
        )

    def burn(self) -> BurnReport:
        """Return the burn report of this node."""
        return self.recorder.report(self.now_ms())

    def leave(self) -> None:
        """Start a planned stop: refuse new requests, complete those in flight."""
        if self.node.lifecycle.leaving:
            return
        self._stopping.set()
        self.node.leave(self.now_ms())
        log_event("node_leaving", in_flight=self.node.in_flight)

    def abort(self) -> None:
        """Stop at once; log the calls in flight and end the waiting requests."""
        self.aborted_calls = log_aborted_calls(self.node)
        self.ingress.end_waiting_requests()
        self.egress.end_waiting_requests()
        self.node.lifecycle.cut()
        self._stopping.set()
        self.stopped.set()

    async def close(self) -> None:
        """Close listeners, links and tasks."""
        timeout_s = ABORT_TIMEOUT_S if self.aborted_calls else None
        await asyncio.gather(
            *(listener.stop(timeout_s=timeout_s) for listener in self.http.values())
        )
        await self.links.stop()
        for task in self._tasks:
            task.cancel()
        await self.platform.close()
        await self.dispatcher.client.close()
        log_event("node_stopped", host=self.settings.host)

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """Pass a new link and the peer's document version to the node."""
        now_ms = self._checked_now_ms()
        self.node.link_up(hello.node, session, dialled=dialled, now_ms=now_ms)
        self.node.document_exchange.record_hello(hello, now_ms)

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """Pass a received message to the node."""
        self.node.handle_message(node, session, message, self._checked_now_ms())

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """Pass the loss of a link to the node."""
        now_ms = self._checked_now_ms()
        self.node.link_lost(
            node, session, dialled=dialled, replaced=replaced, now_ms=now_ms
        )

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """Pass to the node that the peer has replied to a heartbeat."""
        self.node.link_proved(node, sent_at_ms, self._checked_now_ms())

    def respond(self, handle: int, outcome: Outcome) -> None:
        """Answer a request at the listener that holds it (CallerPort)."""
        if not self.ingress.respond(handle, outcome):
            self.egress.respond(handle, outcome)

    def _listener(self, submit) -> CallListener:
        return CallListener(
            submit=submit,
            abandon=self._abandon,
            handles=self._handles,
            identity=lambda: self._identity,
            max_body_bytes=self.settings.max_body_bytes,
            leaving=lambda: self.node.lifecycle.leaving,
        )

    def _document_changed(self, document: Document) -> None:
        identity = document.identity
        self._identity = IdentityHeaders(
            caller=identity.caller_header.encode(),
            organisation=identity.organisation_header.encode(),
        )
        objectives = {
            service_class.name: service_class.objective
            for service_class in document.classes
            if service_class.objective is not None
        }
        self.recorder.set_objectives(objectives, document_version=document.version)
        log_event("document_in_force", version=document.version, digest=document.digest)

    def _checked_now_ms(self) -> float:
        """Return the time; first notify the node if the process was suspended."""
        now_ms = self.now_ms()
        if self.wake.observe(monotonic_ms=now_ms, wall_ms=time.time() * 1000):
            log_event("node_woke", host=self.settings.host)
            self.node.resume_after_pause(now_ms)
        return now_ms

    def _submit(self, request: Request) -> None:
        self.node.submit(request, self._checked_now_ms())

    def _submit_child(self, request: Request) -> None:
        self.node.submit_child(request, self._checked_now_ms())

    def _abandon(self, handle: int) -> None:
        self.node.abandon(handle, self._checked_now_ms())

    def _backend_done(self, key: CallKey, result: BackendResult) -> None:
        self.node.backend_done(key, result, self._checked_now_ms())

    def _hello(self, session: int) -> Hello:
        stamp = self.node.document_exchange.keeper.stamp
        return Hello(
            protocol_version=PROTOCOL_VERSION,
            node=self.node_id,
            availability_zone=self.settings.availability_zone,
            service=self.settings.service,
            session=session,
            document_version=stamp.version,
            document_digest=stamp.digest,
        )

    def _heartbeat(self, sequence: int) -> Heartbeat:
        return self.node.heartbeat(sequence, self.now_ms())

    async def _tick(self) -> None:
        links_updated_at_ms = -LINK_UPDATE_INTERVAL_MS
        while True:
            now_ms = self._checked_now_ms()
            for name, step in self.node.tick_steps():
                run_step(name, step, now_ms)
            if now_ms - links_updated_at_ms >= LINK_UPDATE_INTERVAL_MS:
                links_updated_at_ms = now_ms
                self._update_links(now_ms)
            if self.node.lifecycle.state is NodeState.LEAVING:
                self.node.lifecycle.tick(now_ms, in_flight=self.node.in_flight)
            if self.node.lifecycle.state is NodeState.STOPPED:
                self.stopped.set()
                return
            tick_ms = BUSY_TICK_MS if self.node.in_flight else IDLE_TICK_MS
            await asyncio.sleep(tick_ms / 1000)

    def _update_links(self, now_ms: float) -> None:
        run_step("usage", self.usage.tick, now_ms)
        run_step("link_plan", self.links.apply_plan)
        if self.membership.self_leaving:
            self.leave()


def _link_refused(error: LinkRefusedError) -> None:
    log_event("link_refused", level="warning", peer=error.peer, reason=error.reason)
