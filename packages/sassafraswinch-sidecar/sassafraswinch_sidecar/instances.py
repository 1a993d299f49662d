"""Backend server instances, as the platform's data list them."""

from dataclasses import dataclass, field

NO_INCARNATION = 0
"""Incarnation of all instances if the platform doesn't give it."""

InstanceIdentity = tuple[str, int]
"""Id and incarnation, which together identify one lifetime of a backend server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One lifetime of a backend server.

    Attributes:
        id: name of the server, for itself and the platform; a restarted server may keep
            its id.
        service: name of the service.
        ip: IP address of its host, where a sidecar accepts links.
        port: port of the server; only one server at a time has this address and port.
        availability_zone: zone of its host.
        slots: number of requests that it runs at once.
        leaving: whether it must get no new requests.
        cold_ms: remaining time for which it was slow after its start when this was
            written.
        incarnation: distinguishes lifetimes of one id, later ones by a greater number;
            ``NO_INCARNATION`` if the platform doesn't give it.
        identity: identifies this lifetime; built once, since placement compares it for
            each request.
    """

    id: str
    service: str
    ip: str
    port: int
    availability_zone: str
    slots: int
    leaving: bool
    cold_ms: float
    incarnation: int = NO_INCARNATION
    identity: InstanceIdentity = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        object.__setattr__(self, "identity", (self.id, self.incarnation))
