"""Runs requests at the backend server beside this sidecar."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

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
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayRequest,
    RelayResponse,
    ServerLoad,
    Verdict,
)
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.server_exits import ServerExits
from sassafraswinch_sidecar.server_monitor import ServerMonitor
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

TICK_S = 0.02
"""Grain of the longest waits, which are tens of milliseconds and more."""

RESPONSE_GRACE_MS = 50.0
"""Time past its limit after which a server's answer is no longer waited for. It
stops at the limit by itself, and its answer to that is the truer one."""

OTHER_INSTANCE = "other-instance"
INSTANCE_LEAVING = "instance-leaving"
MISDIRECTED_STATUS = 421
SERVER_FAILURE_STATUS = 500
"""Least status of answers that clear no request: its run may have been cut short."""

SERVER_ENDED = "server-ended"
SERVER_RESET = "server-reset"

UNKNOWN_SLOTS = 16
"""Slots assumed before the platform has told them."""


@dataclass(slots=True, eq=False)
class Execution:
    """A request that waits for the backend server or runs there."""

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


class Executor:
    """The queue before one backend server, and the requests that run there.

    Args:
        service: the server's service.
        client: connections to the server.
        names: header fields of the deployment.
        is_leaving: tells whether an instance must get no new work.
        held: counts the bytes that this process holds.
        suspects: requests that ended servers.
        log: lines about single requests.
    """

    def __init__(
        self,
        *,
        service: str,
        client: HttpClient,
        names: HeaderNames,
        is_leaving: Callable[[str], bool],
        held: HeldBytes,
        suspects: SuspectRequests,
        log: RequestLog,
    ):
        self.queue = ServerQueue(limit=int(UNKNOWN_SLOTS * USABLE_SLOT_SHARE))
        self.running: dict[str, Execution] = {}
        self.leaving = False
        self._service = service
        self._client = client
        self._names = names
        self._is_leaving = is_leaving
        self._held = held
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._executions: dict[tuple[object, int], Execution] = {}
        self._ticking: asyncio.TimerHandle | None = None
        self._suspects = suspects
        self._gate = SuspectGate(
            suspects=suspects,
            running=lambda: (each.request for each in self.running.values()),
        )
        self._ends = ServerExits(
            suspects=suspects,
            is_leaving=self._leaves,
            log=log,
            now_ms=lambda: self._loop.time() * 1000,
        )
        self._broken: list[Execution] = []
        self._watch = ServerMonitor(
            client=client,
            service=service,
            on_down=self._refuse_waiting,
            on_exit_checked=self._looked,
        )

    def set_slots(self, slots: int) -> None:
        """Take the number of requests that the server runs at once."""
        self.queue.limit = max(1, int(slots * USABLE_SLOT_SHARE))

    def load(self) -> ServerLoad:
        """Return what peers are told of the server."""
        queue = self.queue
        return ServerLoad(
            in_flight=queue.running,
            queued=queue.queued,
            limit=queue.limit if self._watch.is_up else 0,
        )

    def submit(self, request: RelayRequest, reply: Reply, owner: object) -> None:
        """Take a request; ``reply`` is called once unless it is cancelled.

        Args:
            request: the request; its time counts from now.
            reply: gets its end.
            owner: with the call's number, names it for ``cancel``.
        """
        now_ms = self._loop.time() * 1000
        execution = Execution(
            request=request,
            reply=reply,
            owner=owner,
            deadline_ms=now_ms + request.remaining_ms,
        )
        refusal = self._refusal(request)
        if refusal:
            if refusal == OTHER_INSTANCE:
                execution.actual_instance_id = self._watch.trusted_instance_id()
            self._end_unrun(execution, refusal)
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
            self._end_unrun(execution, "overloaded")
            return
        self._executions[owner, request.call_id] = execution
        execution.held_bytes = len(request.body)
        self._held.hold(execution.held_bytes)
        self._start(now_ms)
        if self.queue.queued and self._ticking is None:
            self._ticking = self._loop.call_later(TICK_S, self._tick)

    def cancel(self, owner: object, call_id: int) -> None:
        """Nobody waits for a request any more.

        One that must not run twice and has started is left to its end: breaking it
        off would leave its effect half done.
        """
        execution = self._executions.get((owner, call_id))
        if execution is None:
            return
        if self.queue.withdraw(execution.queue_entry):
            self._forget(execution)
        elif execution.request.idempotent:
            self._break_off(execution)

    def cancel_owner(self, owner: object) -> None:
        """Cancel all requests of an owner that can't be told their ends."""
        for key_owner, call_id in list(self._executions):
            if key_owner is owner:
                self.cancel(owner, call_id)

    def leave(self) -> None:
        """Refuse what waits and all that comes; what runs may finish."""
        self.leaving = True
        for queued in self.queue.drain():
            self._end_unrun(queued.item, "leaving")

    @property
    def in_flight(self) -> int:
        """Requests that wait or run."""
        return len(self._executions)

    def close(self) -> None:
        """Stop probing and close idle connections."""
        self._watch.close()
        if self._ticking is not None:
            self._ticking.cancel()
        self._client.close()

    def _refusal(self, request: RelayRequest) -> str:
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
        if request.body and not self._held.fits(len(request.body)):
            return "no-memory"
        return self._gate.refusal_reason(request)

    def _start(self, now_ms: float) -> None:
        for queued in self.queue.pop_startable(now_ms):
            execution = queued.item
            # Servers may have ended under it while it waited.
            refusal = self._gate.refusal_reason(execution.request)
            if refusal:
                self._end_unrun(execution, refusal)
            else:
                self._run(execution, now_ms)

    def _run(self, execution: Execution, now_ms: float) -> None:
        request = execution.request
        left_ms = execution.deadline_ms - now_ms
        payload = serialize_request(request, self._names, left_ms)
        request_id = request.request_id.encode()
        id_name = self._names.request_id.lower()

        def is_own(response: HttpResponse) -> bool:
            return any(
                lowered == id_name and value == request_id
                for lowered, _, value in response.fields
            )

        if self.queue.running == 1:
            self._watch.record_activity()
        execution.exchange = Exchange(
            payload, request.method.encode(), is_own, self._exchange_done, execution
        )
        self.running[request.request_id] = execution
        self._client.send(execution.exchange, fresh=not request.idempotent)

    def _exchange_done(self, exchange: Exchange, end: HttpResponse | Fault) -> None:
        execution = exchange.context
        if isinstance(end, HttpResponse):
            self._watch.record_activity()
            self._ends.clear_abandoned_requests()
            self._answered(execution, end)
        elif end is Fault.UNREACHABLE:
            self._watch.record_unreachable()
            if self._ends.has_abandoned_requests:
                self._watch.check_exit()
            self._end(execution, Verdict.NOT_RUN, "server-down")
        else:
            # The server may have ended: who answers next may be another instance.
            self._watch.record_instance(None)
            execution.offered = True
            if end is Fault.RESET:
                self._connection_broke(execution)
            else:
                self._end(execution, Verdict.MAY_HAVE_RUN, f"server-{end.value}")

    def _connection_broke(self, execution: Execution) -> None:
        """End a request once it is known why its connection broke."""
        if self._watch.has_exited:
            self._end_with_server(execution)
            return
        self._broken.append(execution)
        self._watch.check_exit()

    def _looked(self, server_ended: bool) -> None:
        broken, self._broken = self._broken, []
        open_ones = [execution for execution in broken if not execution.ended]
        if server_ended:
            instance_id = open_ones[0].request.instance_id if open_ones else ""
            self._ends.record_exit(instance_id)
        for execution in open_ones:
            if server_ended:
                self._end_with_server(execution)
            else:
                self._end(execution, Verdict.MAY_HAVE_RUN, SERVER_RESET)

    def _end_with_server(self, execution: Execution) -> None:
        execution.server_end = self._ends.record_running_request(execution.request)
        self._end(execution, Verdict.MAY_HAVE_RUN, SERVER_ENDED)

    def _leaves(self, instance_id: str) -> bool:
        return self.leaving or self._is_leaving(instance_id)

    def _answered(self, execution: Execution, response: HttpResponse) -> None:
        names = self._names
        execution.offered = True
        lowered = {name: value for name, _, value in response.fields}
        if response.status == MISDIRECTED_STATUS:
            told = lowered.get(names.actual_instance.lower())
            self._watch.record_instance(told.decode("latin-1") if told else None)
            execution.actual_instance_id = self._watch.trusted_instance_id()
            self._end(execution, Verdict.NOT_RUN, OTHER_INSTANCE)
            return
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
            self._ends.record_answered_request(execution.request)
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

    def apply_pause(self, stood_ms: float) -> None:
        """Take the time that passed, unknown to the clock, off all time limits."""
        for execution in self._executions.values():
            execution.deadline_ms -= stood_ms
            execution.queue_entry.queue_deadline_ms -= stood_ms

    def expire(self, now_ms: float) -> None:
        """End the requests whose server has let their time pass."""
        overdue_ms = now_ms - RESPONSE_GRACE_MS
        late = [
            execution
            for execution in self._executions.values()
            if execution.exchange is not None and execution.deadline_ms < overdue_ms
        ]
        for execution in late:
            self._overtime(execution)

    def _overtime(self, execution: Execution) -> None:
        if execution.ended:
            return
        self._client.cancel(execution.exchange)
        self._ends.record_abandoned_request(execution.request)
        execution.offered = True
        self._end(execution, Verdict.MAY_HAVE_RUN, "deadline")
        self._watch.record_overdue(self.queue.mean_hold_ms)

    def _break_off(self, execution: Execution) -> None:
        if execution.ended:
            return
        self._client.cancel(execution.exchange)
        self._ends.record_abandoned_request(execution.request)
        self._release(execution)
        self._forget(execution)
        self._start(self._loop.time() * 1000)

    def _end_unrun(self, execution: Execution, reason: str) -> None:
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
        self._forget(execution)
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
        self._start(self._loop.time() * 1000)
        execution.reply(
            RelayResponse(
                call_id=request.call_id,
                verdict=verdict,
                status=status,
                headers=headers,
                body=body,
                reason=reason,
                offered=execution.offered,
                slot_times=serialize_slot_times(execution.slot_ms),
                load=self.load(),
                actual_instance_id=execution.actual_instance_id,
                repeats_spent=execution.repeats_spent,
                server_end=execution.server_end,
            )
        )

    def _release(self, execution: Execution) -> None:
        place = execution.queue_entry
        if place is None or place.started_at_ms is None or execution.ended:
            return
        held_ms = self.queue.release_slot(place, self._loop.time() * 1000)
        add_slot_times(execution.slot_ms, {self._service: held_ms})

    def _forget(self, execution: Execution) -> None:
        execution.ended = True
        self._held.release(execution.held_bytes)
        execution.held_bytes = 0
        request = execution.request
        self._executions.pop((execution.owner, request.call_id), None)
        if self.running.get(request.request_id) is execution:
            del self.running[request.request_id]

    def _tick(self) -> None:
        self._ticking = None
        now_ms = self._loop.time() * 1000
        for queued in self.queue.pop_expired(now_ms):
            self._end_unrun(queued.item, "queue-timeout")
        if self.queue.queued:
            self._ticking = self._loop.call_later(TICK_S, self._tick)

    def _refuse_waiting(self) -> None:
        for queued in self.queue.drain():
            self._end_unrun(queued.item, "server-down")
