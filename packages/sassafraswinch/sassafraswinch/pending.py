"""Context of an owned call: its waiters, ticket and parent."""

from dataclasses import dataclass, field

from sassafraswinch.classify import Classification
from sassafraswinch.messages import NodeId
from sassafraswinch.running_call import RunningCall


@dataclass(frozen=True, slots=True, kw_only=True)
class LocalWaiter:
    """A request at this node's own ingress or egress listener."""

    handle: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteWaiter:
    """A request that another node forwarded because this node issued its ticket."""

    node: NodeId
    number: int


Waiter = LocalWaiter | RemoteWaiter


@dataclass(slots=True, kw_only=True)
class Pending:
    """Context of an owned call, to be settled when the call ends."""

    classification: Classification
    organisation: str
    begun_at_ms: float
    waiters: list[Waiter] = field(default_factory=list)
    retry_key: bytes | None = None
    """Key that the request shares with its caller's retries; None for a child call."""
    ticket_number: int | None = None
    parent: RunningCall | None = None
    child_number: int | None = None
    """Number of the call among the child calls of its parent."""
    granted_retries: int = 0
    """Retries granted by the parent."""
