"""Caller of an in-memory fleet that chooses its nodes, for tests of single faults."""

from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason
from sassafraswinch_standins.memory_backend import MARK_HEADER, PURPOSE_HEADER
from sassafraswinch_standins.memory_checks import PendingRequest
from sassafraswinch_standins.memory_fleet import Fleet

SETTLED_MS = 4_000
"""Time within which all nodes of a new fleet are linked and serve."""


class DirectClient:
    """Caller that sends each request to a chosen node and keeps every outcome."""

    def __init__(self, seed: int = 1):
        self.fleet = Fleet(seed=seed)
        self.fleet.run_for(SETTLED_MS)

    def release(
        self, host: str, mark: str, ticket: str | None, deadline_ms: float = 2_000
    ) -> list[Outcome]:
        """Request a release of goods; the outcome is appended to the returned list."""
        return self.send(
            host, mark, "vydej", "POST", "/orders/17/release", ticket, deadline_ms
        )

    def send(
        self, host, mark, service, method, target, ticket=None, deadline_ms=1_500
    ) -> list[Outcome]:
        """Send a request; the outcome is appended to the returned list."""
        outcomes = []
        request = Request(
            handle=0,
            service=service,
            method=method,
            target=target,
            headers=((MARK_HEADER, mark), (PURPOSE_HEADER, mark)),
            body=mark.encode(),
            organisation="acme",
            ticket=ticket,
        )
        if method == "POST":
            self.fleet.checks.at_most_once.add(mark)
        due_at_ms = self.fleet.schedule.now_ms + deadline_ms
        pending = PendingRequest(
            mark=mark, identity=mark, host=host, due_at_ms=due_at_ms
        )
        self.fleet.processes[host].submit(request, pending, outcomes.append)
        return outcomes

    def ticket(self, host: str) -> str:
        """Return a new ticket issued by a node for a release."""
        outcomes = self.release(host, f"none-{self.fleet.schedule.now_ms}", None)
        self.fleet.run_for(1)
        assert outcomes[0].reason is Reason.TICKET_REQUIRED
        return outcomes[0].ticket

    def slow_down(self, factor: float) -> None:
        """Multiply the service time of all backend servers by ``factor``."""
        for backend in self.fleet.backends.values():
            backend.faults.slow_factor = factor
