"""Which hosts a node keeps links to, so that heartbeats stay cheap in a large fleet."""

import hashlib
from collections.abc import Iterable, Mapping

from sassafraswinch.membership import HostRecord

FULL_MESH_HOSTS = 24
"""Up to this many hosts a node links to all: 24 heartbeats a second are cheap."""

LINKS_PER_SERVICE = 3
"""Links to a service that is called, in the node's own availability zone first:
two to choose between, and one for when a host fails."""

GOSSIP_LINKS = 3
"""Links to any hosts, by which configuration spreads."""

DEMAND_MS = 60_000.0
"""How long a service or host that was called keeps its links."""


class LinkPlan:
    """The hosts that one node wants links to.

    Args:
        host: name of this node's host.
        availability_zone: of this node.
    """

    def __init__(self, *, host: str, availability_zone: str):
        self.host = host
        self.availability_zone = availability_zone
        self._services: dict[str, float] = {}
        self._hosts: dict[str, float] = {}

    def need_service(self, service: str, now_ms: float) -> bool:
        """Note a call to a service; True if it had no links until now."""
        new = service not in self._services
        self._services[service] = now_ms
        return new

    def need_host(self, host: str, now_ms: float) -> None:
        """Note a message to one host, such as the owner of a ticket."""
        self._hosts[host] = now_ms

    def choose(self, records: Iterable[HostRecord], now_ms: float) -> frozenset[str]:
        """Return the hosts to keep links to.

        The choice depends on names alone, so it stays the same while the fleet
        does, and different nodes choose different hosts.
        """
        others = [record for record in records if record.name != self.host]
        if len(others) < FULL_MESH_HOSTS:
            return frozenset(record.name for record in others)
        self._services = _recent(self._services, now_ms)
        self._hosts = _recent(self._hosts, now_ms)
        ordered = sorted(others, key=self._preference)
        chosen = {record.name for record in ordered if record.name in self._hosts}
        for service in self._services:
            of_service = [record for record in ordered if record.service == service]
            chosen |= {record.name for record in of_service[:LINKS_PER_SERVICE]}
        by_chance = sorted(others, key=lambda record: self._draw(record.name))
        chosen |= {record.name for record in by_chance[:GOSSIP_LINKS]}
        return frozenset(chosen)

    def _preference(self, record: HostRecord) -> tuple[bool, bytes]:
        far = record.availability_zone != self.availability_zone
        return far, self._draw(record.name)

    def _draw(self, name: str) -> bytes:
        """Rank ``name`` for this host (rendezvous hashing)."""
        return hashlib.blake2b(f"{self.host} {name}".encode(), digest_size=8).digest()


def _recent(times_ms: Mapping[str, float], now_ms: float) -> dict[str, float]:
    return {
        name: time_ms
        for name, time_ms in times_ms.items()
        if now_ms - time_ms < DEMAND_MS
    }
