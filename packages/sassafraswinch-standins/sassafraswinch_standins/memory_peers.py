"""A node's side of the links that it dials, and who is told of them."""

from dataclasses import dataclass, field
from typing import Protocol

from sassafraswinch.messages import Hello, Message, NodeId
from sassafraswinch_standins.memory_channels import End

REDIAL_MIN_MS = 100.0
"""First wait after a failed dial; doubled each time."""


class Receiver(Protocol):
    """The process that links report to."""

    def link_up(self, hello: Hello, session: int, *, dialled: bool) -> None:
        """A link to or from another node is greeted."""

    def link_message(
        self, node: NodeId, session: int, message: Message, *, dialled: bool
    ) -> None:
        """A message of another node."""

    def link_lost(
        self, node: NodeId, session: int, *, dialled: bool, replaced: bool
    ) -> None:
        """A link is gone."""

    def link_proved(self, node: NodeId, sent_at_ms: float) -> None:
        """A heartbeat sent at this time was answered."""


@dataclass(slots=True, kw_only=True, eq=False)
class DialledLink:
    """A link at the node that dialled it."""

    host: str
    session: int
    end: End
    unanswered: dict[int, float] = field(default_factory=dict)

    def silent_since_ms(self) -> float:
        """Return since when the peer has owed a sign of life."""
        return min((self.end.last_read_ms, *self.unanswered.values()))


@dataclass(slots=True, kw_only=True, eq=False)
class Peer:
    """A wanted host: its greeted link, and the dialling of the next one."""

    host: str
    link: DialledLink | None = None
    greeting: DialledLink | None = None
    dialling: bool = False
    redial_ms: float = REDIAL_MIN_MS
