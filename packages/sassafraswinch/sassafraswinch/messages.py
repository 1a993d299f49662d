"""Messages between nodes, as plain data; ``wire`` of the node package codes them."""

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
    """The claim of a call on capacity: the smaller one is refused later."""

    class_order: int
    """Place of the class in the document; 0 is refused last."""

    level: int
    """Stable hash of organisation and root request, 0 to ``LEVELS - 1``."""


class ServiceThreshold(NamedTuple):
    """What one service under pressure admits."""

    service: str
    rank: Rank
    """Calls of a greater rank would be refused there."""


class NodeId(NamedTuple):
    """One run of a node process."""

    host: str
    incarnation: int
    """Random 63-bit number drawn at start: a restarted node has another one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What an executing node says of its backend server, on answers and heartbeats."""

    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    queue_delay_ms: float = 0.0
    leaving: bool = False
    threshold: Rank | None = None
    """Calls of a greater rank than this would be refused; None admits all."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message each way on a link."""

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
    """The owner asks an executing node to run a request on its backend server."""

    number: int
    """Unique among the calls of one owner incarnation, rising."""
    root_id: str
    """32 hex digits that name the whole request, as in ``traceparent``."""
    service: str
    operation: str
    rank: Rank
    repeatable: bool
    remaining_ms: int
    """Time left until the deadline, as seen when the message was made."""
    allowance: int
    """Retries handed over for everything below this call."""
    depth: int
    progress: int
    """Calls that the root request has already finished; raises its claim."""
    method: str
    target: str
    """Path and query as the backend server shall see them."""
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
    """Retries of the allowance that were not used."""
    thresholds: tuple[ServiceThreshold, ...] = ()
    """Strictest threshold of each service under pressure, here and below."""
    retry_after_ms: int = 0
    load: Load | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """The owner no longer wants the answer of a call."""

    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """The owner lost a link: give up calls sent on sessions below ``floor_session``."""

    floor_session: int
    numbers: tuple[int, ...]


class FenceState(enum.Enum):
    """What an executing node knows about a fenced call that has no answer yet."""

    NEVER_STARTED = "never-started"
    RUNNING = "running"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class FenceReply:
    """Answer to a fence for one call; a finished call gets its ``Answer`` instead."""

    number: int
    state: FenceState


@dataclass(frozen=True, slots=True, kw_only=True)
class Acknowledge:
    """The owner holds the answers of these calls; their records may be dropped."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Sent each way on a link, also when calls flow."""

    sequence: int
    load: Load
    document_version: int
    document_digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HeartbeatReply:
    """Proof that the peer reads this link."""

    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest:
    """Asks a peer for the document of a version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReply:
    """A document as the platform published it; an empty body: not held."""

    version: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsRequest:
    """Asks a peer for the hosts that it knows."""

    list_version: int
    """Version of the platform's host list held; 0 for none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostsReply:
    """The hosts that a node knows, itself among them."""

    hosts: tuple[HostRecord, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """A request with a ticket, on its way to the node that issued the ticket."""

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
