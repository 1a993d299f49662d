"""Tickets that a caller stand-in keeps for later requests."""

from collections import defaultdict, deque
from dataclasses import dataclass

from sassafraswinch_standins.caller_settings import Traffic

MAX_KEPT_TICKETS = 64
"""Tickets kept for one organisation and operation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptTicket:
    """A ticket, and the entry that gave it."""

    text: str
    entry: str
    kept_at_ms: float


class TicketStash:
    """Tickets that answers brought, by organisation and operation."""

    def __init__(self, *, max_age_ms: float):
        self._max_age_ms = max_age_ms
        self._kept: dict[str, deque[KeptTicket]] = defaultdict(
            lambda: deque(maxlen=MAX_KEPT_TICKETS)
        )

    def put(self, traffic: Traffic, ticket: KeptTicket) -> None:
        """Keep a ticket."""
        self._kept[traffic.name].append(ticket)

    def take(self, traffic: Traffic, at_ms: float) -> KeptTicket | None:
        """Return the freshest ticket; None when none is young enough."""
        kept = self._kept[traffic.name]
        if kept and at_ms - kept[-1].kept_at_ms <= self._max_age_ms:
            return kept.pop()
        kept.clear()
        return None
