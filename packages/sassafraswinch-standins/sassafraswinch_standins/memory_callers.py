"""In-memory callers that keep tickets, retry aggressively and switch nodes."""

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_backend import MARK_HEADER, PURPOSE_HEADER
from sassafraswinch_standins.memory_checks import Checks, PendingRequest
from sassafraswinch_standins.memory_document import (
    CLASSES,
    OPERATIONS,
    ORGANISATIONS,
)
from sassafraswinch_standins.memory_process import MemoryProcess
from sassafraswinch_standins.memory_schedule import Schedule

CLIENT_LATENCY_MS = 3.0
"""One-way latency between a caller and a node."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Kind of request: an operation and the organisation that requests it."""

    operation: str
    service: str
    method: str
    target: str
    organisation: str

    @property
    def needs_ticket(self) -> bool:
        """Whether it needs a ticket, as it may run at most once."""
        return self.method == "POST"

    @property
    def deadline_ms(self) -> float:
        """Deadline of its priority class."""
        tier = f"tier={ORGANISATIONS.get(self.organisation)}"
        return next(
            deadline_ms
            for _, organisations, operations, deadline_ms in CLASSES
            if organisations in ("", tier) and (not operations or self.needs_ticket)
        )


@dataclass(slots=True, kw_only=True, eq=False)
class Demand:
    """Request of one caller, over all its attempts."""

    identity: str
    traffic: Traffic
    retries_left: int
    generation: int = 0
    ticket: str | None = None
    attempts: int = 0
    ticket_uses: int = 0
    done: bool = False

    @property
    def mark(self) -> str:
        """Identifies the request of the current ticket, which runs at most once."""
        return f"{self.identity}.{self.generation}"


def is_not_run(outcome: Outcome, *, first: bool) -> bool:
    """Return whether a caller may safely retry with a new ticket.

    Args:
        outcome: the outcome that it received.
        first: whether it has sent this ticket only once. In that case nothing ran if
            the attempt was not forwarded to the ticket's owner.
    """
    if outcome.verdict is Verdict.NOT_RUN:
        return True
    return first and outcome.reason in (
        Reason.TICKET_OWNER_UNREACHABLE,
        Reason.TICKET_OWNER_RESTARTED,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of a caller's request, sent to one node."""

    demand: Demand
    generation: int
    mark: str
    request: Request
    node: MemoryProcess
    patience_ms: float | None


class MemoryCallers:
    """All callers of a fleet.

    Args:
        schedule: the clock.
        checks: records each request and its outcome.
        nodes: returns the running processes that callers may reach.
    """

    def __init__(
        self,
        *,
        schedule: Schedule,
        checks: Checks,
        nodes: Callable[[], list[MemoryProcess]],
    ):
        self.schedule = schedule
        self.checks = checks
        self.nodes = nodes
        self.demands: list[Demand] = []
        self.broken = 0
        self._numbers = itertools.count(1)
        self._tickets: defaultdict[Traffic, list[str]] = defaultdict(list)

    def call(
        self,
        operation: str,
        *,
        organisation: str = "acme",
        repeats: int = 0,
        host: str | None = None,
        patience_ms: float | None = None,
    ) -> Demand:
        """Start a request.

        Args:
            operation: its name in the document.
            organisation: the organisation that sends the request.
            repeats: maximum number of retries while it is not answered.
            host: host of the node that gets the first attempt; random by default.
            patience_ms: time after which the caller closes the connection of an
                attempt.
        """
        number = next(self._numbers)
        name, service, method, path, _ = next(
            o for o in OPERATIONS if o[0] == operation
        )
        traffic = Traffic(
            operation=name,
            service=service,
            method=method,
            target=path.replace("{order}", "17"),
            organisation=organisation,
        )
        demand = Demand(
            identity=f"{operation}-{number}", traffic=traffic, retries_left=repeats
        )
        self.demands.append(demand)
        self._attempt(demand, host, patience_ms)
        return demand

    def retry(self, demand: Demand) -> None:
        """Send a request again through a random node, even if it runs or has ended."""
        self._attempt(demand, None, None)

    def _attempt(
        self, demand: Demand, host: str | None, patience_ms: float | None
    ) -> None:
        nodes = [node for node in self.nodes() if host in (None, node.host)]
        if not nodes:
            return
        node = self.schedule.rng.choice(nodes)
        traffic = demand.traffic
        tickets = self._tickets[traffic]
        if traffic.needs_ticket and demand.ticket is None and tickets:
            demand.ticket = tickets.pop()
        demand.attempts += 1
        demand.ticket_uses += demand.ticket is not None
        has_ticket = traffic.needs_ticket and demand.ticket is not None
        mark = demand.mark if has_ticket else f"{demand.mark}.{demand.attempts}"
        request = Request(
            handle=0,
            service=traffic.service,
            method=traffic.method,
            target=traffic.target,
            headers=((MARK_HEADER, mark), (PURPOSE_HEADER, mark)),
            body=demand.identity.encode(),
            organisation=traffic.organisation,
            ticket=demand.ticket,
        )
        attempt = Attempt(
            demand=demand,
            generation=demand.generation,
            mark=mark,
            request=request,
            node=node,
            patience_ms=patience_ms,
        )
        self.schedule.after(CLIENT_LATENCY_MS, lambda: self._arrive(attempt))

    def _arrive(self, attempt: Attempt) -> None:
        node = attempt.node
        if not node.alive:
            self._finish(attempt, None)
            return
        traffic = attempt.demand.traffic
        if traffic.needs_ticket:
            self.checks.at_most_once.add(attempt.demand.identity)
        pending = PendingRequest(
            mark=attempt.mark,
            identity=attempt.demand.identity,
            host=node.host,
            due_at_ms=self.schedule.now_ms + traffic.deadline_ms,
        )
        handle = node.submit(
            attempt.request, pending, lambda outcome: self._finish(attempt, outcome)
        )
        if attempt.patience_ms is not None:
            self.schedule.after(attempt.patience_ms, lambda: node.abandon(handle))

    def _finish(self, attempt: Attempt, outcome: Outcome | None) -> None:
        demand = attempt.demand
        self.broken += outcome is None
        is_current = not demand.done and attempt.generation == demand.generation
        if outcome is not None:
            demand.done |= is_current and outcome.verdict is Verdict.ANSWERED
            self._keep_ticket(attempt, outcome, is_current)
        if is_current and not demand.done and demand.retries_left:
            demand.retries_left -= 1
            pause_ms = self.schedule.rng.uniform(1, 200)
            self.schedule.after(pause_ms, lambda: self._retry(demand))

    def _keep_ticket(
        self, attempt: Attempt, outcome: Outcome, is_current: bool
    ) -> None:
        """Use the new ticket for this request if that is safe, else for later ones."""
        demand = attempt.demand
        latest = is_current and attempt.request.ticket == demand.ticket
        if latest and is_not_run(outcome, first=demand.ticket_uses == 1):
            demand.generation += 1
            demand.ticket_uses = 0
            demand.ticket = outcome.ticket
        elif outcome.ticket is not None:
            self._tickets[demand.traffic].append(outcome.ticket)

    def _retry(self, demand: Demand) -> None:
        if not demand.done:
            self._attempt(demand, None, None)
