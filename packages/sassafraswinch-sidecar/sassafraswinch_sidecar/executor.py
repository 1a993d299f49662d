"""Executor of requests at the backend server on this host."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from sassafraswinch_node.supervision import report_failure, run_step
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.http_client import (
    Exchange,
    Fault,
    HttpClient,
    HttpResponse,
)
from sassafraswinch_sidecar.http_fields import (
    NOT_FORWARDED,
    serialize_end_to_end,
)
from sassafraswinch_sidecar.instances import NO_INCARNATION
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.notice_handler import NoticeHandler
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayRequest,
    RelayResponse,
    ServerLoad,
    Verdict,
)
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.server_exits import ServerExits
from sassafraswinch_sidecar.server_monitor import ServerMonitor
from sassafraswinch_sidecar.server_notices import NoticeDecoder
from sassafraswinch_sidecar.server_queue import (
    USABLE_SLOT_SHARE,
    QueuedRequest,
    ServerQueue,
)
from sassafraswinch_sidecar.server_request import serialize_request
from sassafraswinch_sidecar.slot_times import add_slot_times, serialize_slot_times
from sassafraswinch_sidecar.suspect_gate import SuspectGate
from sassafraswinch_sidecar.suspect_requests import SuspectRequests

Reply = Callable[[RelayResponse], None]

MIN_TICK_S = 0.001
"""Shortest wait for the next start of a paced server: the resolution of timers."""

TICK_S = 0.02
"""Interval of the check for expired queue waits, which last tens of ms or more."""

RESPONSE_GRACE_MS = 50.0
"""Time past a request's deadline for which the server's response is still awaited. The
server stops at the deadline by itself, and its own response says more about the outcome
than a time-out does."""

OTHER_INSTANCE = "other-instance"
INSTANCE_LEAVING = "instance-leaving"
MISDIRECTED_STATUS = 421
SERVER_FAILURE_STATUS = 500
"""Lowest status code of a server failure. Such a response doesn't clear a suspect,
because the run may have been cut short."""

SERVER_EXITED = "server-ended"
SERVER_RESET = "server-reset"

RATE_LIMITED = "server-rate-limit"
"""The server's rate limit would not let the request start in time."""

TRIAL_SLOTS = 4
"""Requests that may run before the server has answered anything. Its rate limit, if it
names one, was known to the process before this one; these requests fit into what is
tolerated beyond any limit, and the first response or the peers name it again."""

MAX_WIRE_WAIT_MS = 2**31 - 1
"""Greatest wait that a message can hold."""

UNKNOWN_SLOTS = 16
"""Slots of the server that are assumed until the platform data lists them."""


@dataclass(slots=True, eq=False)
class Execution:
    """A request that is queued for the backend server or runs there.

    Attributes:
        request: the request as received from its owner.
        reply: callback that gets the response.
        owner: with the call id of the request, identifies the execution.
        deadline_ms: event loop time at which the request times out.
        queue_entry: entry in the server's queue; None until the request is queued.
        exchange: HTTP exchange with the server; None until the request starts.
        offered: whether the request was written to the server.
        ended: whether the execution has ended or was cancelled.
        actual_instance_id: id of the instance that runs in place of the expected one.
        held_bytes: size of the body, as counted in the memory limit.
        repeats_spent: whether a child call failed and was not retried because the
            retry budget was exhausted.
        server_end: name of the server exit during which the request ran.
        calls_done: number of finished child calls.
        slot_ms: slot time of the request and its child calls, by service.
        incarnation: lifetime of the instance that was registered when it started.
    """

    request: RelayRequest
    reply: Reply
    owner: object
    deadline_ms: float
    queue_entry: QueuedRequest | None = None
    exchange: Exchange | None = None
    offered: bool = False
    ended: bool = False
    actual_instance_id: str | None = None
    held_bytes: int = 0
    repeats_spent: bool = False
    server_end: str | None = None
    calls_done: int = 0
    slot_ms: dict[str, float] = field(default_factory=dict)
    incarnation: int = NO_INCARNATION

    def release_references(self) -> None:
        """Drop what refers back to this execution, so that its last reference frees it.

        The garbage collector is triggered by counts of objects. The bodies of ended
        requests would exceed the memory of the process before it runs.
        """
        if self.queue_entry is not None:
            self.queue_entry.item = None
        self.queue_entry = self.exchange = None


class Executor:
    """Queues requests for one backend server and runs them there.

    Args:
        service: the server's service.
        client: HTTP client with the connections to the server.
        names: header names of the deployment.
        notice_decoder: decodes what the server states in its responses.
        notices: latest notice of the server.
        on_notice: called when the server's limit changes or it begins to leave.
        is_leaving: returns whether an instance must get no new requests.
        incarnation_of: returns the registered lifetime of an instance.
        held: memory limit of request and response bodies in this process.
        suspects: requests that were running when servers crashed.
        log: request log.

    Attributes:
        queue: the server's slots, and the requests that wait for one.
        running: running executions by request id.
        leaving: whether this sidecar is stopping.
        sent_requests: number of requests that were sent to the server.
        rate_refusals: number of requests refused because of the server's rate limit.
    """

    def __init__(
        self,
        *,
        service: str,
        client: HttpClient,
        names: HeaderNames,
        notice_decoder: NoticeDecoder,
        notices: LocalNotices,
        on_notice: Callable[[], None],
        is_leaving: Callable[[str], bool],
        held: HeldBytes,
        suspects: SuspectRequests,
        log: RequestLog,
        incarnation_of: Callable[[str], int] = lambda instance_id: NO_INCARNATION,
    ):
        self.queue = ServerQueue(
            limit=int(UNKNOWN_SLOTS * USABLE_SLOT_SHARE), trial_slots=TRIAL_SLOTS
        )
        self.running: dict[str, Execution] = {}
        self.leaving = False
        self.sent_requests = 0
        self.rate_refusals = 0
        self._service = service
        self._client = client
        self._names = names
        self._is_leaving = is_leaving
        self._incarnation_of = incarnation_of
        self._held = held
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._open_executions: dict[tuple[object, int], Execution] = {}
        self._tick_timer: asyncio.TimerHandle | None = None
        self._suspects = suspects
        self._gate = SuspectGate(
            suspects=suspects,
            running=lambda: (each.request for each in self.running.values()),
        )
        self._server_exits = ServerExits(
            suspects=suspects,
            is_leaving=self._leaves,
            log=log,
            now_ms=self._now_ms,
        )
        self._broken_executions: list[Execution] = []
        self._notice_handler = NoticeHandler(
            queue=self.queue,
            notices=notices,
            decoder=notice_decoder,
            client=client,
            names=names,
            now_ms=self._now_ms,
            on_paced=self._handle_pace_change,
            on_notice=on_notice,
        )
        self._watch = ServerMonitor(
            client=client,
            service=service,
            on_down=self._refuse_queued,
            on_exit_checked=self._on_server_checked,
        )

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the server runs concurrently."""
        self.queue.limit = max(1, int(slots * USABLE_SLOT_SHARE))

    def load(self) -> ServerLoad:
        """Return the load of the server, as reported to peers."""
        queue = self.queue
        load = ServerLoad(
            in_flight=queue.running,
            queued=queue.queued,
            limit=queue.limit if self._watch.is_up else 0,
            notice=self._notice_handler.report(),
        )
        if queue.pace.limit_per_s is not None:
            wait_ms = queue.pace.wait_ms(queue.queued + 1, self._now_ms())
            load.rate_wait_ms = min(int(wait_ms), MAX_WIRE_WAIT_MS)
            load.mean_hold_us = int(queue.mean_hold_ms * 1000)
        return load

    def submit(
        self,
        request: RelayRequest,
        reply: Reply,
        owner: object,
        *,
        is_body_counted: bool = False,
    ) -> None:
        """Queue a request; ``reply`` is called once unless the request is cancelled.

        Args:
            request: the request; its remaining time counts from now.
            reply: callback that gets the response.
            owner: with the call id, identifies the request in ``cancel``.
            is_body_counted: whether the owner counts the body in the memory limit.
        """
        now_ms = self._now_ms()
        execution = Execution(
            request=request,
            reply=reply,
            owner=owner,
            deadline_ms=now_ms + request.remaining_ms,
        )
        if request.notice is not None:
            self._notice_handler.merge_report(request.notice)
        body_bytes = 0 if is_body_counted else len(request.body)
        refusal = self._refusal_reason(request, body_bytes)
        if refusal:
            if refusal == OTHER_INSTANCE:
                execution.actual_instance_id = self._watch.trusted_instance_id()
            self._end_not_run(execution, refusal)
            return
        execution.queue_entry = QueuedRequest(
            execution,
            request.inner,
            request.priority,
            now_ms + min(request.max_wait_ms, request.remaining_ms),
            request.progress,
            request.last,
        )
        if not self.queue.enqueue(execution.queue_entry, now_ms):
            self._end_not_run(execution, self._queue_refusal("overloaded"))
            return
        self._open_executions[owner, request.call_id] = execution
        execution.held_bytes = body_bytes
        self._held.hold(body_bytes)
        self._start_queued(now_ms)
        self._schedule_tick(now_ms)

    def cancel(self, owner: object, call_id: int) -> None:
        """Cancel a request whose response is no longer awaited.

        A request that has started and isn't idempotent runs to its end, because
        aborting it could leave its effect half done.
        """
        execution = self._open_executions.get((owner, call_id))
        if execution is None:
            return
        if self.queue.withdraw(execution.queue_entry):
            self._remove(execution)
        elif execution.request.idempotent:
            self._abort(execution)

    def limit_wait(self, owner: object, call_id: int, max_wait_ms: float) -> None:
        """Refuse a request that hasn't started within a time from now."""
        execution = self._open_executions.get((owner, call_id))
        if execution is None:
            return
        now_ms = self._now_ms()
        entry = execution.queue_entry
        entry.queue_deadline_ms = min(entry.queue_deadline_ms, now_ms + max_wait_ms)
        if max_wait_ms <= 0:
            self._refuse_expired(now_ms)

    def cancel_owner(self, owner: object) -> None:
        """Cancel all requests of an owner that can no longer get their responses."""
        for key_owner, call_id in list(self._open_executions):
            if key_owner is owner:
                self.cancel(owner, call_id)

    def leave(self) -> None:
        """Refuse queued and new requests; running requests may finish."""
        self.leaving = True
        for queued in self.queue.drain():
            self._end_not_run(queued.item, "leaving")

    def refuse_leaving(self) -> None:
        """Refuse the queued requests for instances that are leaving or gone."""
        for queued in self.queue.pop_matching(
            lambda execution: self._is_leaving(execution.request.instance_id)
        ):
            self._end_not_run(queued.item, INSTANCE_LEAVING)

    @property
    def in_flight(self) -> int:
        """Number of requests that are queued or running."""
        return len(self._open_executions)

    def close(self) -> None:
        """Stop probing and close idle connections."""
        self._watch.close()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self._client.close()

    def refuse_announced(self, request: RelayRequest) -> RelayResponse | None:
        """Return the response to a request whose body isn't worth receiving."""
        refusal = self._refusal_reason(request, request.body_bytes)
        if not refusal:
            return None
        execution = Execution(request, _ignore, owner=None, deadline_ms=0.0)
        return self._response(execution, Verdict.NOT_RUN, refusal)

    def _refusal_reason(self, request: RelayRequest, body_bytes: int) -> str:
        if self.leaving:
            return "leaving"
        if request.service_name != self._service:
            return "other-service"
        if self._is_leaving(request.instance_id):
            return INSTANCE_LEAVING
        if self._watch.is_other_instance(request.instance_id):
            return OTHER_INSTANCE
        if not self._watch.is_up:
            return "server-down"
        if request.remaining_ms <= 0:
            return "deadline"
        if body_bytes and not self._held.fits(body_bytes):
            return "no-memory"
        return self._gate.refusal_reason(request)

    def _start_queued(self, now_ms: float) -> None:
        for queued in self.queue.pop_startable(now_ms):
            execution = queued.item
            try:
                self._start(execution, now_ms)
            except Exception as error:
                report_failure("start_request", error)
                self._end_failed(execution)

    def _start(self, execution: Execution, now_ms: float) -> None:
        refusal = self._late_refusal_reason(execution.request)
        if refusal:
            self.queue.pace.return_start()
            self._end_not_run(execution, refusal)
        else:
            self._run(execution, now_ms)

    def _end_failed(self, execution: Execution) -> None:
        """End a request whose start failed: its slot was counted already."""
        if execution.exchange is None:
            self._end_not_run(execution, "failed")
        else:
            self._client.cancel(execution.exchange)
            self._end(execution, Verdict.MAY_HAVE_RUN, "failed")

    def _late_refusal_reason(self, request: RelayRequest) -> str:
        """Return why a request that was queued may no longer start."""
        if self._is_leaving(request.instance_id):
            return INSTANCE_LEAVING
        # Servers may have crashed while running it since it was queued.
        return self._gate.refusal_reason(request)

    def _run(self, execution: Execution, now_ms: float) -> None:
        request = execution.request
        remaining_ms = execution.deadline_ms - now_ms
        payload, body = serialize_request(request, self._names, remaining_ms)
        request_id = request.request_id.encode()
        request_id_name = self._names.request_id.lower()

        def is_own(response: HttpResponse) -> bool:
            return any(
                lowered == request_id_name and value == request_id
                for lowered, _, value in response.fields
            )

        if self.queue.running == 1:
            self._watch.record_activity()
        execution.exchange = Exchange(
            payload,
            request.method.encode(),
            is_own,
            self._handle_exchange_end,
            request_id=request_id,
            deadline_ms=execution.deadline_ms,
            body=body,
            context=execution,
        )
        execution.incarnation = self._incarnation_of(request.instance_id)
        self.running[request.request_id] = execution
        self.sent_requests += 1
        self._client.send(execution.exchange, fresh=not request.idempotent)

    def _handle_exchange_end(
        self, exchange: Exchange, end: HttpResponse | Fault
    ) -> None:
        execution = exchange.context
        if isinstance(end, HttpResponse):
            self._watch.record_activity()
            self._server_exits.clear_abandoned_requests()
            self._handle_response(execution, end)
        elif end is Fault.UNREACHABLE:
            self._watch.record_unreachable()
            if self._server_exits.has_abandoned_requests:
                self._watch.check_exit()
            self._end(execution, Verdict.NOT_RUN, "server-down")
        else:
            # The server may have exited: the next response may be another instance's.
            self._watch.record_instance(None)
            execution.offered = True
            if end is Fault.RESET:
                self._handle_broken_connection(execution)
            else:
                self._end(execution, Verdict.MAY_HAVE_RUN, f"server-{end.value}")

    def _handle_broken_connection(self, execution: Execution) -> None:
        """End a request once the cause of its broken connection is known."""
        if self._watch.has_exited:
            self._end_at_server_exit(execution)
            return
        self._broken_executions.append(execution)
        self._watch.check_exit()

    def _on_server_checked(self, server_exited: bool) -> None:
        broken, self._broken_executions = self._broken_executions, []
        open_executions = [execution for execution in broken if not execution.ended]
        if server_exited:
            instance_id = (
                open_executions[0].request.instance_id if open_executions else ""
            )
            self._server_exits.record_exit(instance_id)
        for execution in open_executions:
            if server_exited:
                self._end_at_server_exit(execution)
            else:
                self._end(execution, Verdict.MAY_HAVE_RUN, SERVER_RESET)

    def _end_at_server_exit(self, execution: Execution) -> None:
        execution.server_end = self._server_exits.record_running_request(
            execution.request
        )
        self._end(execution, Verdict.MAY_HAVE_RUN, SERVER_EXITED)

    def _leaves(self, instance_id: str) -> bool:
        return self.leaving or self._is_leaving(instance_id)

    def _handle_response(self, execution: Execution, response: HttpResponse) -> None:
        names = self._names
        execution.offered = True
        lowered = {name: value for name, _, value in response.fields}
        if response.status == MISDIRECTED_STATUS:
            actual_id = lowered.get(names.actual_instance.lower(), b"").decode(
                "latin-1"
            )
            self._watch.record_instance(actual_id or None)
            if actual_id:
                self._notice_handler.record_response(actual_id, response)
            execution.actual_instance_id = self._watch.trusted_instance_id()
            self._end(execution, Verdict.NOT_RUN, OTHER_INSTANCE)
            return
        self._notice_handler.record_response(
            execution.request.instance_id, response, execution.incarnation
        )
        if names.not_executed.lower() in lowered:
            self._end(execution, Verdict.NOT_RUN, "server-shed")
            return
        self._watch.record_instance(execution.request.instance_id)
        encoded = b"content-encoding" in lowered
        signed = names.signature.lower() in lowered
        if encoded or (response.status < 300 and not signed):
            self._end(execution, Verdict.MAY_HAVE_RUN, "server-garbled")
            return
        if response.status < SERVER_FAILURE_STATUS:
            self._server_exits.record_answered_request(execution.request)
            self._suspects.record_answer(execution.request)
        lines = serialize_end_to_end(response.fields, NOT_FORWARDED)
        self._end(
            execution,
            Verdict.ANSWERED,
            "",
            status=response.status,
            headers=lines,
            body=response.body,
        )

    def request_notice(self, path: str) -> None:
        """Ask the server for its notice with a health check, once."""
        self._notice_handler.request_notice(path, self._service)

    def record_registration(self, instance_id: str, incarnation: int) -> None:
        """Record which lifetime of an instance is registered for the server."""
        self._notice_handler.record_registration(instance_id, incarnation)

    def _handle_pace_change(self) -> None:
        """Refuse the queued requests that no longer fit, and start those that do."""
        now_ms = self._now_ms()
        for queued in self.queue.pop_unreachable(now_ms):
            self._end_not_run(queued.item, self._queue_refusal(RATE_LIMITED))
        self._start_queued(now_ms)

    def _queue_refusal(self, reason: str) -> str:
        """Return why the queue refuses a request: the rate limit, or ``reason``.

        A paced server that has free slots refuses for its limit.
        """
        if self.queue.pace.limit_per_s is None:
            return reason
        if self.queue.running >= self.queue.limit:
            return reason
        self.rate_refusals += 1
        return RATE_LIMITED

    def apply_pause(self, paused_ms: float) -> None:
        """Subtract a process pause that the clock did not count from all deadlines."""
        for execution in self._open_executions.values():
            execution.deadline_ms -= paused_ms
            execution.queue_entry.queue_deadline_ms -= paused_ms

    def expire(self, now_ms: float) -> None:
        """Time out the running requests that are past their deadline."""
        overdue_ms = now_ms - RESPONSE_GRACE_MS
        overdue = [
            execution
            for execution in self._open_executions.values()
            if execution.exchange is not None and execution.deadline_ms < overdue_ms
        ]
        for execution in overdue:
            run_step("expire_execution", self._time_out, execution)

    def _time_out(self, execution: Execution) -> None:
        if execution.ended:
            return
        self._client.cancel(execution.exchange)
        self._server_exits.record_abandoned_request(execution.request)
        execution.offered = True
        self._end(execution, Verdict.MAY_HAVE_RUN, "deadline")
        self._watch.record_overdue(self.queue.mean_hold_ms)

    def _abort(self, execution: Execution) -> None:
        if execution.ended:
            return
        self._client.cancel(execution.exchange)
        self._server_exits.record_abandoned_request(execution.request)
        self._release(execution)
        self._remove(execution)
        self._start_queued(self._now_ms())

    def _end_not_run(self, execution: Execution, reason: str) -> None:
        self._end(execution, Verdict.NOT_RUN, reason)

    def _end(
        self,
        execution: Execution,
        verdict: int,
        reason: str,
        *,
        status: int = 0,
        headers: bytes = b"",
        body: bytes = b"",
    ) -> None:
        self._release(execution)
        self._remove(execution)
        request = execution.request
        if reason:
            self._log.failed(
                "execution_ended",
                request.request_id,
                instance=request.instance_id,
                reason=reason,
                offered=execution.offered,
                running=self.queue.running,
                queued=self.queue.queued,
                limit=self.queue.limit,
            )
        self._start_queued(self._now_ms())
        response = self._response(execution, verdict, reason)
        response.status = status
        response.headers = headers
        response.body = body
        execution.reply(response)

    def _response(
        self, execution: Execution, verdict: int, reason: str
    ) -> RelayResponse:
        """Return the response to an execution, without a backend server's answer."""
        return RelayResponse(
            call_id=execution.request.call_id,
            verdict=verdict,
            status=0,
            headers=b"",
            body=b"",
            reason=reason,
            offered=execution.offered,
            slot_times=serialize_slot_times(execution.slot_ms),
            load=self.load(),
            actual_instance_id=execution.actual_instance_id,
            repeats_spent=execution.repeats_spent,
            server_end=execution.server_end,
        )

    def _release(self, execution: Execution) -> None:
        queue_entry = execution.queue_entry
        if queue_entry is None or queue_entry.started_at_ms is None or execution.ended:
            return
        held_ms = self.queue.release_slot(queue_entry, self._now_ms())
        add_slot_times(execution.slot_ms, {self._service: held_ms})

    def _remove(self, execution: Execution) -> None:
        execution.ended = True
        self._held.release(execution.held_bytes)
        execution.held_bytes = 0
        request = execution.request
        self._open_executions.pop((execution.owner, request.call_id), None)
        if self.running.get(request.request_id) is execution:
            del self.running[request.request_id]
        execution.release_references()

    def _schedule_tick(self, now_ms: float) -> None:
        """Schedule the next check of the queue, or the next start of a paced server."""
        if not self.queue.queued or self._tick_timer is not None:
            return
        start_s = self.queue.pace.wait_ms(1, now_ms) / 1000
        delay_s = min(max(start_s, MIN_TICK_S), TICK_S) if start_s else TICK_S
        self._tick_timer = self._loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        now_ms = self._now_ms()
        self._refuse_expired(now_ms)
        run_step("start_queued", self._start_queued, now_ms)
        self._schedule_tick(now_ms)

    def _refuse_expired(self, now_ms: float) -> None:
        """Refuse the queued requests that have waited as long as they may."""
        for queued in self.queue.pop_expired(now_ms):
            refusal = self._queue_refusal("queue-timeout")
            run_step("end_queued", self._end_not_run, queued.item, refusal)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    def _refuse_queued(self) -> None:
        for queued in self.queue.drain():
            self._end_not_run(queued.item, "server-down")


def _ignore(response: RelayResponse) -> None:
    """Do nothing: the response is returned instead."""
