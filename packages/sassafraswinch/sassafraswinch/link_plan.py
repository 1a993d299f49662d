"""Link plan of a node: the hosts to keep links to, bounded to limit heartbeats."""

import hashlib
from collections.abc import Iterable, Mapping

from sassafraswinch.membership import HostRecord

FULL_MESH_HOSTS = 24
"""Largest fleet in which each node links to all: 24 heartbeats a second are cheap."""

LINKS_PER_SERVICE = 3
"""Links per called service, to hosts of the node's own availability zone first: two
to choose between, and a spare for a failed host."""

GOSSIP_LINKS = 3
"""Links to random hosts, over which configuration spreads."""

DEMAND_RETENTION_MS = 60_000.0
"""Time for which the links to a service or host are kept after the last call."""


class LinkPlan:
    """Selects the hosts that one node keeps links to.

    Args:
        host: name of this node's host.
        availability_zone: zone of this node.
    """

    def __init__(self, *, host: str, availability_zone: str):
        self.host = host
        self.availability_zone = availability_zone
        self._service_demand_ms: dict[str, float] = {}
        self._host_demand_ms: dict[str, float] = {}

    def record_service_demand(self, service: str, now_ms: float) -> bool:
        """Record a call to a service; return True if it had no links until now."""
        is_new = service not in self._service_demand_ms
        self._service_demand_ms[service] = now_ms
        return is_new

    def record_host_demand(self, host: str, now_ms: float) -> None:
        """Record a message to one host, such as the owner of a ticket."""
        self._host_demand_ms[host] = now_ms

    def choose(self, records: Iterable[HostRecord], now_ms: float) -> frozenset[str]:
        """Return the hosts to keep links to.

        The choice is a hash of host names, so it stays stable while the fleet does,
        and different nodes choose different hosts.
        """
        others = [record for record in records if record.name != self.host]
        if len(others) < FULL_MESH_HOSTS:
            return frozenset(record.name for record in others)
        self._service_demand_ms = _recent(self._service_demand_ms, now_ms)
        self._host_demand_ms = _recent(self._host_demand_ms, now_ms)
        ordered = sorted(others, key=self._preference)
        chosen = {
            record.name for record in ordered if record.name in self._host_demand_ms
        }
        for service in self._service_demand_ms:
            of_service = [record for record in ordered if record.service == service]
            chosen |= {record.name for record in of_service[:LINKS_PER_SERVICE]}
        by_hash = sorted(others, key=lambda record: self._hash(record.name))
        chosen |= {record.name for record in by_hash[:GOSSIP_LINKS]}
        return frozenset(chosen)

    def _preference(self, record: HostRecord) -> tuple[bool, bytes]:
        other_zone = record.availability_zone != self.availability_zone
        return other_zone, self._hash(record.name)

    def _hash(self, name: str) -> bytes:
        """Return the rendezvous hash of ``name`` for this host."""
        return hashlib.blake2b(f"{self.host} {name}".encode(), digest_size=8).digest()


def _recent(times_ms: Mapping[str, float], now_ms: float) -> dict[str, float]:
    return {
        name: time_ms
        for name, time_ms in times_ms.items()
        if now_ms - time_ms < DEMAND_RETENTION_MS
    }
