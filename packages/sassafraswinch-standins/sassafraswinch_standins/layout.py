"""Hosts of a fleet, their addresses, and how each availability zone sees them."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from sassafraswinch_standins.graph import AVAILABILITY_ZONES, Graph, ServicePlan
from sassafraswinch_standins.processes import free_address


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """A backend server host: its node and its backend server."""

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
    """All hosts, and the relay routes between availability zones.

    Args:
        graph: gives the services and their servers.
        relay_links: whether links between availability zones go through a relay.
    """

    def __init__(self, *, graph: Graph, relay_links: bool):
        self._ports = random.Random()
        hosts = [
            self._make_host(plan, number)
            for plan in graph.services
            for number in range(plan.servers)
        ]
        self.hosts = {host.name: host for host in hosts}
        self.routes = self._make_routes() if relay_links else {}
        """Addresses of the relay by ``zone>host``."""

    def free_address(self) -> str:
        """Return ``ip:port`` of a port that is free now."""
        return free_address(self._ports)

    def inside(self, availability_zone: str) -> list[Host]:
        """Return the hosts of an availability zone."""
        return [
            host
            for host in self.hosts.values()
            if host.availability_zone == availability_zone
        ]

    def across(self, availability_zone: str) -> list[str]:
        """Return the routes that lead into or out of an availability zone."""
        inside = {host.name for host in self.inside(availability_zone)}
        return [
            route
            for route in self.routes
            if route.startswith(f"{availability_zone}>")
            or route.partition(">")[2] in inside
        ]

    def host_list(
        self, seen_from: str, *, states: Mapping[str, str]
    ) -> list[dict[str, str]]:
        """Return the host list as an availability zone reads it.

        Args:
            seen_from: the availability zone.
            states: states of hosts that aren't ``live``.
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
        listeners = ("entry", "egress", "operators", "link", "backend")
        return Host(
            name=f"{plan.name}-{number + 1}",
            plan=plan,
            availability_zone=AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)],
            **{listener: self.free_address() for listener in listeners},
        )

    def _make_routes(self) -> dict[str, str]:
        return {
            f"{zone}>{host.name}": self.free_address()
            for zone in AVAILABILITY_ZONES
            for host in self.hosts.values()
            if host.availability_zone != zone
        }
