"""Messages between nodes, as plain data; ``wire`` of the node package encodes them."""

import enum
from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.hosts import HostRecord
from sassafraswinch.verdict import Reason, Verdict

PROTOCOL_VERSION = 1
LEVELS = 128
"""Admission levels within a class; level 0 is refused last."""

Headers = tuple[tuple[str, str], ...]
"""Header fields in order, names in lower case."""


class Rank(NamedTuple):
    """Admission rank of a call: the greatest ranks are refused first."""

    class_order: int
    """Position of the class in the document; 0 is refused last."""

    level: int
    """Stable hash of organisation and root request, 0 to ``LEVELS - 1``."""


class ServiceThreshold(NamedTuple):
    """Admission threshold of one overloaded service."""

    service: str
    rank: Rank
    """Calls of a greater rank would be refused by the service."""


class NodeId(NamedTuple):
    """One incarnation of a node process."""

    host: str
    incarnation: int
    """Random 63-bit number drawn at start; it changes with each restart."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load of a backend server, sent by its node in answers and heartbeats."""

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    queue_delay_ms: float = 0.0
    leaving: bool = False
    threshold: Rank | None = None
    """Calls of a greater rank than this would be refused; None admits all."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message in each direction on a link."""

    protocol_version: int
    node: NodeId
    availability_zone: str
    service: str
    session: int
    """Number of this link among those of the dialling incarnation, rising from 1."""
    document_version: int
    document_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Request of an owner to an executing node to run a call on its backend server."""

    number: int
    """Unique among the calls of one owner incarnation, ascending."""
    root_id: str
    """32 hex digits that identify the root request, as in ``traceparent``."""
    service: str
    operation: str
    rank: Rank
    repeatable: bool
    remaining_ms: int
    """Time left until the deadline when the message was created."""
    allowance: int
    """Retries granted to this call and its descendants."""
    depth: int
    progress: int
    """Calls that the root request has already finished; raises its priority."""
    method: str
    target: str
    """Path and query as sent to the backend server."""
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The outcome of a call, or of a forwarded request."""

    number: int
    verdict: Verdict
    reason: Reason | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    unspent: int = 0
    """Unspent retries of the allowance."""
    thresholds: tuple[ServiceThreshold, ...] = ()
    """Strictest threshold of each overloaded service, here and in child calls."""
    retry_after_ms: int = 0
    load: Load | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """The owner no longer needs the answer of a call."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """The owner lost a link and fences calls of sessions below ``floor_session``."""

    floor_session: int
    numbers: tuple[int, ...]


class FenceState(enum.Enum):
    """State of a fenced call without an answer at its executing node."""

    NEVER_STARTED = "never-started"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceReply:
    """Reply to a fence for one call; a finished call gets its ``Answer`` instead."""

    number: int
    state: FenceState


@dataclass(frozen=True, slots=True, kw_only=True)
class Acknowledge:
    """The owner received the answers of these calls; their records may be removed."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sent periodically in each direction on a link, also while calls are sent."""

    sequence: int
    load: Load
    document_version: int
    document_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """Reply to a heartbeat: proof that the peer reads from this link."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest:
    """Requests the document of a version from a peer."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReply:
    """A document as the platform published it; the body is empty if it isn't held."""

    version: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsRequest:
    """Requests the known hosts from a peer."""

    list_version: int
    """Version of the sender's host list from the platform; 0 for none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsReply:
    """The hosts known to a node, including its own."""

    hosts: tuple[HostRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """A request with a ticket, forwarded to the node that issued the ticket."""

    number: int
    ticket: str
    caller: str
    organisation: str
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    remaining_ms: int


Message = (
    Hello
    | Call
    | Answer
    | Cancel
    | Fence
    | FenceReply
    | Acknowledge
    | Heartbeat
    | HeartbeatReply
    | DocumentRequest
    | DocumentReply
    | HostsRequest
    | HostsReply
    | Forward
)
