"""Dialling side of a node's in-memory links, and the receiver of link events."""

from dataclasses import dataclass, field
from typing import Protocol

from sassafraswinch.messages import Hello, Message, NodeId
from sassafraswinch_standins.memory_channels import End

REDIAL_MIN_MS = 100.0
"""First delay after a failed dial; doubled after each further failure."""


class Receiver(Protocol):
    """Receiver of the events of links: their process."""

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """Process a new link, whose ``Hello`` has been received."""

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """Process a message from another node."""

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """Process the loss of a link."""

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """Process the answer to a heartbeat sent at ``sent_at_ms``."""


@dataclass(slots=True, kw_only=True, eq=False)
class DialledLink:
    """Link, as held by the node that dialled it."""

    host: str
    session: int
    end: End
    unanswered: dict[int, float] = field(default_factory=dict)

    def silent_since_ms(self) -> float:
        """Return the time of the last read, or of an earlier unanswered heartbeat."""
        return min((self.end.last_read_ms, *self.unanswered.values()))


@dataclass(slots=True, kw_only=True, eq=False)
class Peer:
    """Host to keep a link to: its established link and the one being dialled."""

    host: str
    link: DialledLink | None = None
    greeting: DialledLink | None = None
    dialling: bool = False
    redial_ms: float = REDIAL_MIN_MS
