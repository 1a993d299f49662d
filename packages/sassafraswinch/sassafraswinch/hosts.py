"""Host records of the platform's list, and the view of a host for routing."""

import enum
from dataclasses import dataclass


class HostState(enum.Enum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostRecord:
    """One host in the platform's list; addresses are ``ip:port``."""

    name: str
    service: str
    availability_zone: str
    state: HostState
    link: str
    entry: str
    operators: str


@dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """One backend server host, merged from the platform's list and from links."""

    name: str
    service: str
    availability_zone: str
    leaving: bool = False
    """Reported by the host itself or, failing that, by the platform's list."""

    linked: bool = True
    """Whether a link to the host's node is up and answers heartbeats."""

    local: bool = False
    """Whether this is the host that the viewing node runs on."""
