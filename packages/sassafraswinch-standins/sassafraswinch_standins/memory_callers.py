"""Callers in memory: they keep tickets, repeat hard, and change nodes."""

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_backend import MARK_HEADER, PURPOSE_HEADER
from sassafraswinch_standins.memory_checks import Asked, Checks
from sassafraswinch_standins.memory_document import (
    CLASSES,
    OPERATIONS,
    ORGANISATIONS,
)
from sassafraswinch_standins.memory_process import MemoryProcess
from sassafraswinch_standins.memory_schedule import Schedule

CLIENT_MS = 3.0
"""One way between a caller and a node."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """One kind of request."""

    operation: str
    service: str
    method: str
    target: str
    organisation: str

    @property
    def once(self) -> bool:
        """Whether it needs a ticket."""
        return self.method == "POST"

    @property
    def deadline_ms(self) -> float:
        """Deadline of its class."""
        tier = f"tier={ORGANISATIONS.get(self.organisation)}"
        return next(
            deadline_ms
            for _, organisations, operations, deadline_ms in CLASSES
            if organisations in ("", tier) and (not operations or self.once)
        )


@dataclass(slots=True, kw_only=True, eq=False)
class Demand:
    """What one caller wants done, over all its attempts."""

    identity: str
    traffic: Traffic
    repeats_left: int
    generation: int = 0
    ticket: str | None = None
    attempts: int = 0
    ticket_uses: int = 0
    done: bool = False

    @property
    def mark(self) -> str:
        """Names what may run once at most: this ticket's request."""
        return f"{self.identity}.{self.generation}"


def is_not_run(outcome: Outcome, *, first: bool) -> bool:
    """Return whether a caller may go on with a new ticket.

    Args:
        outcome: what it was told.
        first: whether it has sent this ticket just once. Then it knows that nothing
            ran if that attempt was passed on to nobody.
    """
    if outcome.verdict is Verdict.NOT_RUN:
        return True
    return first and outcome.reason in (
        Reason.TICKET_OWNER_UNREACHABLE,
        Reason.TICKET_OWNER_RESTARTED,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One sending of a demand to one node."""

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
        checks: told of what is asked and answered.
        nodes: the running processes that callers may reach.
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
        """Begin a request.

        Args:
            operation: its name in the document.
            organisation: who asks.
            repeats: how often it is repeated until answered.
            host: the node asked first; any by default.
            patience_ms: time after which the caller hangs up on an attempt.
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
            identity=f"{operation}-{number}", traffic=traffic, repeats_left=repeats
        )
        self.demands.append(demand)
        self._attempt(demand, host, patience_ms)
        return demand

    def repeat(self, demand: Demand) -> None:
        """Send a request again through any node, also while it runs or after."""
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
        if traffic.once and demand.ticket is None and tickets:
            demand.ticket = tickets.pop()
        demand.attempts += 1
        demand.ticket_uses += demand.ticket is not None
        keyed = traffic.once and demand.ticket is not None
        mark = demand.mark if keyed else f"{demand.mark}.{demand.attempts}"
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
        self.schedule.after(CLIENT_MS, lambda: self._arrive(attempt))

    def _arrive(self, attempt: Attempt) -> None:
        node = attempt.node
        if not node.alive:
            self._told(attempt, None)
            return
        traffic = attempt.demand.traffic
        if traffic.once:
            self.checks.once.add(attempt.demand.identity)
        asked = Asked(
            mark=attempt.mark,
            identity=attempt.demand.identity,
            host=node.host,
            due_at_ms=self.schedule.now_ms + traffic.deadline_ms,
        )
        handle = node.submit(
            attempt.request, asked, lambda outcome: self._told(attempt, outcome)
        )
        if attempt.patience_ms is not None:
            self.schedule.after(attempt.patience_ms, lambda: node.abandon(handle))

    def _told(self, attempt: Attempt, outcome: Outcome | None) -> None:
        demand = attempt.demand
        self.broken += outcome is None
        awaited = not demand.done and attempt.generation == demand.generation
        if outcome is not None:
            demand.done |= awaited and outcome.verdict is Verdict.ANSWERED
            self._take_ticket(attempt, outcome, awaited)
        if awaited and not demand.done and demand.repeats_left:
            demand.repeats_left -= 1
            pause_ms = self.schedule.rng.uniform(1, 200)
            self.schedule.after(pause_ms, lambda: self._go_on(demand))

    def _take_ticket(self, attempt: Attempt, outcome: Outcome, awaited: bool) -> None:
        """Go on with the fresh ticket where that is safe, else keep it for others."""
        demand = attempt.demand
        latest = awaited and attempt.request.ticket == demand.ticket
        if latest and is_not_run(outcome, first=demand.ticket_uses == 1):
            demand.generation += 1
            demand.ticket_uses = 0
            demand.ticket = outcome.ticket
        elif outcome.ticket is not None:
            self._tickets[demand.traffic].append(outcome.ticket)

    def _go_on(self, demand: Demand) -> None:
        if not demand.done:
            self._attempt(demand, None, None)
