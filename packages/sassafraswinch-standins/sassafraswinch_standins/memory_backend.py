"""In-memory backend server that records its runs, makes child calls and fails."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sassafraswinch.dispatch_result import SHED_HEADER, SHED_STATUS
from sassafraswinch.messages import Call
from sassafraswinch.requests import BackendResult, CallKey, Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_checks import Checks, PendingRequest
from sassafraswinch_standins.memory_schedule import Action, Schedule

MARK_HEADER = "x-mark"
"""Identifies an attempt, or all attempts of a request that may run at most once."""
PURPOSE_HEADER = "x-purpose"
"""Identifies the purpose of a call within its call tree; its retries share it."""

LOOPBACK_LATENCY_MS = 0.1
SERVICE_MS = 12.0
MAX_CHILD_RETRIES = 2
"""Retries of a failed child call by a backend server."""

CHILDREN = {
    "order-history": (("lookup", "archiv", "GET"), ("lookup2", "archiv", "GET")),
    "order-receipt": (("release", "vydej", "POST"),),
    "approve-order": (("lookup", "archiv", "GET"), ("release", "vydej", "POST")),
}
"""Name, service and method of the child calls of an operation, in order. A receipt is
repeatable, so its non-repeatable release is never admitted."""


class Front(Protocol):
    """The node process that made a call."""

    def post(self, action: Action) -> None:
        """Run an action in the process as soon as it is not paused."""

    def backend_done(self, key: CallKey, result: BackendResult) -> None:
        """Process the result of a dispatched call."""


class Egress(Protocol):
    """The node process that currently runs beside a backend server."""

    def submit_child(
        self,
        request: Request,
        pending: PendingRequest,
        on_outcome: Callable[[Outcome | None], None],
    ) -> None:
        """Submit a child call of the backend server."""


@dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """Connection of a node to its backend server for one call."""

    key: CallKey
    call: Call
    traceparent: str
    front: Front
    due_at_ms: float
    is_open: bool = True

    @property
    def identity(self) -> str:
        """Identity of the request, which the answer must echo."""
        return self.call.body.decode()

    def end(self, result: BackendResult) -> None:
        """Report the result to the node, at most once."""
        if self.is_open:
            self.is_open = False
            self.front.post(lambda: self.front.backend_done(self.key, result))


@dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """Execution of a call by a backend server."""

    exchange: Exchange
    number: int
    mark: str
    children: list[tuple[str, str, str]]
    failed: bool = False
    retries: int = 0
    generation: int = 0
    """Increases with each child call proved not run: its retry is a new request."""
    ended: bool = False


@dataclass(slots=True, kw_only=True)
class BackendFaults:
    """Faults injected into a backend server; shares are between 0 and 1."""

    slow_factor: float = 1.0
    shed_share: float = 0.0
    crash_share: float = 0.0
    unreachable: bool = False
    early_retry_share: float = 0.0
    """Share of child calls that are retried before their first outcome."""
    ignore_close_share: float = 0.5
    """Share of steps at which a run continues although its connection was closed."""


@dataclass(slots=True, kw_only=True)
class MemoryBackend:
    """Backend server of one host; it survives restarts of the node process."""

    schedule: Schedule
    checks: Checks
    host: str
    egress: Callable[[], Egress | None]
    """Returns the process at the egress port, None if nothing listens there."""
    faults: BackendFaults = field(default_factory=BackendFaults)
    runs: int = 0
    running: set[Run] = field(default_factory=set)
    _numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def accept(self, exchange: Exchange) -> None:
        """Accept a call, which arrives after the delay of the loopback interface."""
        self.schedule.after(LOOPBACK_LATENCY_MS, lambda: self._begin(exchange))
        left_ms = exchange.due_at_ms - self.schedule.now_ms
        self.schedule.after(left_ms, lambda: exchange.end(_broken()))

    def crash(self) -> None:
        """Break off all runs, as a crash of the host does."""
        for run in tuple(self.running):
            self._end(run, _broken())

    def _begin(self, exchange: Exchange) -> None:
        rng, faults = self.schedule.rng, self.faults
        if not exchange.is_open and rng.random() < 0.5:
            return
        if faults.unreachable:
            exchange.end(
                BackendResult(
                    verdict=Verdict.NOT_RUN, reason=Reason.BACKEND_UNREACHABLE
                )
            )
            return
        if rng.random() < faults.shed_share:
            exchange.end(_shed())
            return
        headers = dict(exchange.call.headers)
        run = Run(
            exchange=exchange,
            number=next(self._numbers),
            mark=headers[MARK_HEADER],
            children=list(CHILDREN.get(exchange.call.operation, ())),
        )
        self.running.add(run)
        self.runs += 1
        self.checks.record_run(run.mark, exchange.identity, self.host)
        if rng.random() < faults.crash_share:
            self._after_service_time(lambda: self._end(run, _broken()))
        else:
            self._after_service_time(lambda: self._advance(run))

    def _after_service_time(self, action: Action) -> None:
        factor = self.schedule.rng.uniform(0.3, 1.0) * self.faults.slow_factor
        self.schedule.after(SERVICE_MS * factor, action)

    def _advance(self, run: Run) -> None:
        if run.ended:
            return
        ignores_close = self.schedule.rng.random() < self.faults.ignore_close_share
        if not run.exchange.is_open and not ignores_close:
            self._end(run, _broken())
        elif run.children:
            run.retries = 0
            self._call_child(run)
        else:
            self._after_service_time(lambda: self._end(run, _answer(run)))

    def _call_child(self, run: Run) -> None:
        self._send_child(run, lambda outcome: self._child_done(run, outcome))
        if self.schedule.rng.random() < self.faults.early_retry_share:
            self._after_service_time(lambda: self._send_child_again(run))

    def _send_child_again(self, run: Run) -> None:
        if run.children and not run.ended:
            self._send_child(run, lambda outcome: None)

    def _send_child(
        self, run: Run, on_outcome: Callable[[Outcome | None], None]
    ) -> None:
        name, service, method = run.children[0]
        exchange = run.exchange
        identity = f"{exchange.identity}/{name}"
        once = method == "POST"
        attempt = next(self._numbers)
        mark = f"{run.mark}/{self.host}.{attempt}/{name}"
        if once:
            self.checks.at_most_once.add(identity)
            mark = f"{identity}.{run.generation}"
        purpose = f"{self.host}.{run.number}/{name}"
        request = Request(
            handle=0,
            service=service,
            method=method,
            target=f"/orders/{name}/release" if once else f"/orders/{name}",
            headers=((MARK_HEADER, mark), (PURPOSE_HEADER, purpose)),
            body=identity.encode(),
            traceparent=exchange.traceparent,
        )
        pending = PendingRequest(
            mark=mark,
            identity=identity,
            host=self.host,
            due_at_ms=max(exchange.due_at_ms, self.schedule.now_ms),
        )
        egress = self.egress()
        if egress is None:
            self.schedule.after(LOOPBACK_LATENCY_MS, lambda: on_outcome(None))
        else:
            egress.submit_child(request, pending, on_outcome)

    def _child_done(self, run: Run, outcome: Outcome | None) -> None:
        if run.ended:
            return
        answered = outcome is not None and outcome.verdict is Verdict.ANSWERED
        if outcome is not None and outcome.verdict is Verdict.NOT_RUN:
            run.generation += 1
        if not answered and run.retries < MAX_CHILD_RETRIES:
            run.retries += 1
            self._after_service_time(lambda: self._retry_child(run))
            return
        run.failed |= not answered
        run.children.pop(0)
        self._advance(run)

    def _retry_child(self, run: Run) -> None:
        if not run.ended:
            self._send_child(run, lambda outcome: self._child_done(run, outcome))

    def _end(self, run: Run, result: BackendResult) -> None:
        if not run.ended:
            run.ended = True
            self.running.discard(run)
            run.exchange.end(result)


def _answer(run: Run) -> BackendResult:
    return BackendResult(
        verdict=Verdict.ANSWERED,
        status=500 if run.failed else 200,
        body=run.exchange.identity.encode(),
    )


def _broken() -> BackendResult:
    return BackendResult(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.BACKEND_BROKEN)


def _shed() -> BackendResult:
    return BackendResult(
        verdict=Verdict.ANSWERED, status=SHED_STATUS, headers=((SHED_HEADER, "1"),)
    )
