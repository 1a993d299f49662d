"""What passes between a node and the callers and backend servers beside it."""

from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.messages import Headers, NodeId
from sassafraswinch.verdict import Reason, Verdict


class CallKey(NamedTuple):
    """Names one call among all owners."""

    owner: NodeId
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request as an adapter received it at the entry or egress listener."""

    handle: int
    """The adapter's own number, given back with the outcome."""
    service: str
    method: str
    target: str
    """Path and query without the service segment."""
    headers: Headers = ()
    body: bytes = b""
    caller: str = ""
    organisation: str = ""
    ticket: str | None = None
    traceparent: str | None = None
    """Only read at egress, where it names the running parent."""
    idempotency_key: str | None = None
    deadline_ms: float | None = None
    """Time left, where another node has taken the request; None: its class says."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The final answer to a request."""

    verdict: Verdict
    reason: Reason | None = None
    status: int = 0
    """The backend server's status when ``verdict`` is ANSWERED."""
    headers: Headers = ()
    body: bytes = b""
    retry_after_ms: int = 0
    """0: no time to come back is named."""
    ticket: str | None = None
    """A fresh ticket for the next request of this operation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendResult:
    """How one dispatch to the backend server ended."""

    verdict: Verdict
    reason: Reason | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
