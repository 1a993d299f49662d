"""Who waits for an owned call, and what its end has to settle."""

from dataclasses import dataclass, field

from sassafraswinch.classify import Classification
from sassafraswinch.messages import NodeId
from sassafraswinch.running_call import RunningCall


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalWaiter:
    """A request at this node's own entry or egress listener."""

    handle: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteWaiter:
    """A request that another node forwarded because this one issued its ticket."""

    node: NodeId
    number: int


Waiter = LocalWaiter | RemoteWaiter


@dataclass(slots=True, kw_only=True)
class Pending:
    """The context of an owned call."""

    classification: Classification
    organisation: str
    begun_at_ms: float
    waiters: list[Waiter] = field(default_factory=list)
    repeat_key: bytes | None = None
    """Names the request among its caller's repeats; None below a parent."""
    ticket_number: int | None = None
    parent: RunningCall | None = None
    child_number: int | None = None
    """Number of the call among those of its parent."""
    handed: int = 0
    """Retries that the parent handed to it."""
