"""Backend servers as the platform's data name them."""

from dataclasses import dataclass, field

InstanceIdentity = tuple[str, int]
"""Id and incarnation, which together name one lifetime of a backend server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One lifetime of a backend server.

    Attributes:
        id: names the server to itself and the platform; a server that starts again
            may have the id that it had.
        service: name of the service.
        ip: IP number of its host, where a sidecar accepts links.
        port: port of the server, which with the IP number has one server at a time.
        availability_zone: where it runs.
        slots: requests that it runs at once.
        leaving: whether it must get no new work.
        cold_ms: how much longer it was slow when this was written.
        incarnation: tells lifetimes of one id apart, later ones by a greater number;
            0 where the platform doesn't tell it.
        identity: what names this lifetime and no other; made once, since placement
            compares it for each request.
    """

    id: str
    service: str
    ip: str
    port: int
    availability_zone: str
    slots: int
    leaving: bool
    cold_ms: float
    incarnation: int = 0
    identity: InstanceIdentity = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        object.__setattr__(self, "identity", (self.id, self.incarnation))
