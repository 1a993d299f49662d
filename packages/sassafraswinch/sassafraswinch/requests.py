"""Requests, outcomes and backend results that a node exchanges with its adapters."""

from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.messages import Headers, NodeId
from sassafraswinch.verdict import Reason, Verdict


class CallKey(NamedTuple):
    """Key of one call, unique among all owners."""

    owner: NodeId
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request as an adapter received it at the ingress or egress listener."""

    handle: int
    """Number assigned by the adapter, returned with the outcome."""
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
    """Read at egress only, where it identifies the running parent."""
    idempotency_key: str | None = None
    deadline_ms: float | None = None
    """Time left, if another node forwarded the request; None: that of its class."""


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
    """0: no retry-after delay is sent."""
    ticket: str | None = None
    """A new ticket for the next request of this operation."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendResult:
    """Result of one dispatch to the backend server."""

    verdict: Verdict
    reason: Reason | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
