"""A host as routing sees it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HostView:
    """One backend server host, merged from the platform's list and from links."""

    name: str
    service: str
    availability_zone: str
    leaving: bool = False
    """Said by the host itself or, failing that, by the platform's list."""

    linked: bool = True
    """Whether a link to the host's node is up and answers heartbeats."""

    local: bool = False
    """Whether this is the host that the asking node runs on."""
