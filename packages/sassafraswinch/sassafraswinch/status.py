"""Status of a node for operators, and its JSON form."""

from dataclasses import dataclass, field

from pydantic import TypeAdapter

from sassafraswinch.messages import Rank
from sassafraswinch.records import parse_record, serialize_record


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkStatus:
    """One link to another node."""

    host: str
    state: str
    """``up``, or ``down:`` followed by the reason."""
    session: int
    silent_ms: float
    """Time since the last frame received from the peer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostStatus:
    """Another host as seen by this node."""

    name: str
    service: str
    availability_zone: str
    leaving: bool
    linked: bool
    in_flight: int
    queue_delay_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """A snapshot of one node."""

    host: str
    availability_zone: str
    service: str
    incarnation: int
    """Random 63-bit number of this run of the process."""
    state: str
    """State of the node's life cycle: starting, syncing, serving, leaving, stopped."""
    document_version: int = 0
    """Version in force; 0 while there is none."""
    document_digest: str = ""
    document_age_ms: float = 0.0
    """Time since the version in force was applied."""
    document_faults: tuple[str, ...] = ()
    """Reasons for refused newer documents, and versions published with two contents."""
    host_list_version: int = 0
    """Version of the platform's host list last read; 0 before the first read."""
    in_flight: int = 0
    """Calls on the local backend server."""
    queued: int = 0
    """Calls queued for the local backend server."""
    limit: int = 0
    """Concurrency limit of the local backend server."""
    queue_delay_ms: float = 0.0
    threshold: Rank | None = None
    """Calls of a greater rank are refused; None if all are admitted."""
    owned_calls: int = 0
    """Calls that this node owns and that have no outcome yet."""
    links: tuple[LinkStatus, ...] = ()
    hosts: tuple[HostStatus, ...] = ()
    counters: dict[str, int] = field(default_factory=dict)
    """Counters since the start of the process, by name in snake case."""
    cpu_percent: float = 0.0
    """Share of one core that the process uses."""
    memory_mb: float = 0.0
    """Resident memory of the process."""
    control_bytes_per_s: float = 0.0
    """Control traffic sent: heartbeats, documents, reads of the platform."""


_STATUS = TypeAdapter(Status)


def parse_status(body: bytes | str, *, source: str) -> Status:
    """Parse the JSON of a node's ``/status``.

    Args:
        body: JSON text.
        source: address of the node, for error messages.

    Raises:
        InvalidFieldsError: names each field that is missing or wrong.
    """
    return parse_record(_STATUS, body, source=source)


def serialize_status(status: Status) -> bytes:
    """Serialize a status as JSON."""
    return serialize_record(_STATUS, status)
