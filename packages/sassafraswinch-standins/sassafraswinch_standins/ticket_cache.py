"""Cache of the tickets that a caller stand-in uses for later requests."""

from collections import defaultdict, deque
from dataclasses import dataclass

from sassafraswinch_standins.caller_settings import Traffic

MAX_CACHED_TICKETS = 64
"""Maximum number of tickets cached for one organisation and operation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CachedTicket:
    """A ticket, and the ingress address that issued it."""

    text: str
    entry: str
    stored_at_ms: float


class TicketCache:
    """Tickets from responses, by organisation and operation."""

    def __init__(self, *, max_age_ms: float):
        self._max_age_ms = max_age_ms
        self._kept: dict[str, deque[CachedTicket]] = defaultdict(
            lambda: deque(maxlen=MAX_CACHED_TICKETS)
        )

    def put(self, traffic: Traffic, ticket: CachedTicket) -> None:
        """Store a ticket."""
        self._kept[traffic.name].append(ticket)

    def pop(self, traffic: Traffic, at_ms: float) -> CachedTicket | None:
        """Remove and return the newest ticket; None if all have expired."""
        kept = self._kept[traffic.name]
        if kept and at_ms - kept[-1].stored_at_ms <= self._max_age_ms:
            return kept.pop()
        kept.clear()
        return None
