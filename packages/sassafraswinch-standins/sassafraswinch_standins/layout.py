"""Layout of a fleet: hosts, their addresses, and relay routes between zones."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from sassafraswinch_standins.graph import AVAILABILITY_ZONES, Graph, ServicePlan
from sassafraswinch_standins.processes import free_address


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """A host: one backend server and its node, with the addresses they listen on."""

    name: str
    plan: ServicePlan
    availability_zone: str
    entry: str
    egress: str
    operators: str
    link: str
    backend: str

    @property
    def service(self) -> str:
        """Service of the backend server."""
        return self.plan.name


class Layout:
    """Hosts of a fleet, and the relay routes between availability zones.

    Args:
        graph: services of the fleet, with the number of servers of each.
        relay_links: whether links between availability zones pass through a relay.
    """

    def __init__(self, *, graph: Graph, relay_links: bool):
        self._port_random = random.Random()
        hosts = [
            self._make_host(plan, number)
            for plan in graph.services
            for number in range(plan.servers)
        ]
        self.hosts = {host.name: host for host in hosts}
        self.routes = self._make_routes() if relay_links else {}
        """Relay addresses by route, ``zone>host``."""

    def free_address(self) -> str:
        """Return ``ip:port`` of a port that is currently free."""
        return free_address(self._port_random)

    def hosts_in(self, availability_zone: str) -> list[Host]:
        """Return the hosts of an availability zone."""
        return [
            host
            for host in self.hosts.values()
            if host.availability_zone == availability_zone
        ]

    def routes_across(self, availability_zone: str) -> list[str]:
        """Return the relay routes into and out of an availability zone."""
        inside = {host.name for host in self.hosts_in(availability_zone)}
        return [
            route
            for route in self.routes
            if route.startswith(f"{availability_zone}>")
            or route.partition(">")[2] in inside
        ]

    def host_list(
        self, seen_from: str, *, states: Mapping[str, str]
    ) -> list[dict[str, str]]:
        """Return the host list that the platform gives to an availability zone.

        Args:
            seen_from: availability zone of the reader.
            states: states by host name; other hosts are ``live``.
        """
        return [
            {
                "name": host.name,
                "service": host.service,
                "availability_zone": host.availability_zone,
                "state": states.get(host.name, "live"),
                "link": self.routes.get(f"{seen_from}>{host.name}", host.link),
                "entry": host.entry,
                "operators": host.operators,
            }
            for host in self.hosts.values()
        ]

    def _make_host(self, plan: ServicePlan, number: int) -> Host:
        listener_fields = ("entry", "egress", "operators", "link", "backend")
        return Host(
            name=f"{plan.name}-{number + 1}",
            plan=plan,
            availability_zone=AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)],
            **{listener: self.free_address() for listener in listener_fields},
        )

    def _make_routes(self) -> dict[str, str]:
        return {
            f"{zone}>{host.name}": self.free_address()
            for zone in AVAILABILITY_ZONES
            for host in self.hosts.values()
            if host.availability_zone != zone
        }
