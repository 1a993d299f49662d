"""Fleet of real processes on the local host, for tests, demos and benchmarks."""

import statistics
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import orjson

from sassafraswinch_standins.caller_settings import CallerSettings
from sassafraswinch_standins.control import answers_probe, call_json
from sassafraswinch_standins.graph import AVAILABILITY_ZONES, Graph
from sassafraswinch_standins.host_settings import backend_settings, node_settings
from sassafraswinch_standins.layout import Host, Layout
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.processes import ManagedProcess

START_TIMEOUT_S = 60.0
"""Startup timeout of all processes, in seconds; imports take most of the time."""

PROBE_INTERVAL_S = 0.1
"""Interval of the readiness probes that each node gets at startup, in seconds."""

CALLER_GRACE_S = 30.0
"""Time that callers have after their load to finish open requests, in seconds."""

NODE_MODULE = "sassafraswinch_node"
STANDINS = "sassafraswinch_standins"


class Fleet:
    """Starts, disturbs and stops the processes of one run.

    Use it as a context manager: on exit, also after an exception, it kills each process
    that it started by its process id.

    Args:
        graph: services, operations and traffic.
        directory: empty directory for settings files and logs.
        gate: admission policy of the nodes: ``adaptive``, ``static`` or ``open``.
        relay_links: whether links between availability zones pass through a relay.
        seed: random seed of ports and service times.
        backend: additional settings of every backend server.
        node: additional settings of every node.
        slots_hint: whether the settings of the nodes include the number of slots.
    """

    def __init__(
        self,
        *,
        graph: Graph,
        directory: Path,
        gate: str = "adaptive",
        relay_links: bool = False,
        seed: int = 1,
        backend: Mapping[str, Any] | None = None,
        node: Mapping[str, Any] | None = None,
        slots_hint: bool = True,
    ):
        self.graph = graph
        self.directory = directory
        self.processes: dict[str, ManagedProcess] = {}
        self.platforms: dict[str, str] = {}
        self.relay_address = ""
        self._gate = gate
        self._relay_links = relay_links
        self._seed = seed
        self._backend = dict(backend or {})
        self._node = dict(node or {})
        self._slots_hint = slots_hint
        self.layout = Layout(graph=graph, relay_links=relay_links)
        self.hosts = self.layout.hosts

    def __enter__(self) -> "Fleet":
        """Start all processes and wait until each node reaches each service."""
        self.directory.mkdir(parents=True, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc) -> None:
        """Kill all processes."""
        self.close()

    def close(self) -> None:
        """Kill all processes immediately."""
        for process in self.processes.values():
            process.kill()

    def entries(self, availability_zone: str) -> list[str]:
        """Return the ingress addresses of an availability zone."""
        return [host.entry for host in self.layout.hosts_in(availability_zone)]

    def node(self, host: str) -> ManagedProcess:
        """Return the node process of a host."""
        return self.processes[f"node-{host}"]

    def backend(self, host: str) -> ManagedProcess:
        """Return the backend server process of a host."""
        return self.processes[f"backend-{host}"]

    def platform(self, availability_zone: str) -> ManagedProcess:
        """Return the platform process that an availability zone reads."""
        return self.processes[f"platform-{availability_zone}"]

    def status(self, host: str) -> dict[str, Any]:
        """Return the operator status of a node."""
        return call_json(self.hosts[host].operators, "/status")

    def is_fully_linked(self, host: str) -> bool:
        """Whether a node is serving and linked to every host, none of them leaving."""
        status = self.status(host)
        linked = [view["linked"] and not view["leaving"] for view in status["hosts"]]
        return status["state"] == "serving" and linked == [True] * len(self.hosts)

    def control_backend(self, host: str, **order: Any) -> Any:
        """Send a control command to a backend server, see ``BackendControl``."""
        return call_json(self.hosts[host].backend, "/control", order)

    def control_service(self, service: str, **order: Any) -> None:
        """Send a control command to all backend servers of a service."""
        for host in self.hosts.values():
            if host.service == service:
                self.control_backend(host.name, **order)

    def control_platform(
        self, availability_zone: str | None = None, **order: Any
    ) -> None:
        """Send a control command to one or all platforms, see ``platform.Control``."""
        for zone, address in self.platforms.items():
            if availability_zone in (None, zone):
                call_json(address, "/control", order)

    def control_relay(self, routes: list[str], **order: Any) -> list[str]:
        """Send a control command for routes ``zone>host``, see ``RelayControl``."""
        return call_json(self.relay_address, "/control", {"routes": routes, **order})

    def held_by_relay(self, route: str) -> int:
        """Return the number of delayed writes and closes of a route."""
        return call_json(self.relay_address, "/held")[route]

    def partition(self, availability_zone: str) -> None:
        """Cut the links between an availability zone and the others."""
        self.control_relay(self.layout.routes_across(availability_zone), fault="cut")

    def heal(self, availability_zone: str) -> None:
        """Restore the links between an availability zone and the others."""
        self.control_relay(self.layout.routes_across(availability_zone), fault="none")

    def publish_hosts(
        self, *, states: Mapping[str, str] | None = None, after_ms: float = 0
    ) -> None:
        """Publish the host list; hosts that ``states`` omits are ``live``."""
        for zone in self.platforms:
            hosts = self.layout.host_list(zone, states=states or {})
            self.control_platform(zone, hosts=hosts, after_ms=after_ms)

    def runs(self) -> list[dict[str, Any]]:
        """Return all runs of all backend servers that are alive; see ``Run``."""
        return [
            run | {"host": host.name, "service": host.service}
            for host in self.hosts.values()
            if self.backend(host.name).alive
            for run in call_json(host.backend, "/runs")
            if not run["request_id"].startswith("probe")
        ]

    def start_caller(self, settings: CallerSettings) -> ManagedProcess:
        """Start a caller; ``collect`` returns its report."""
        report = self.directory / f"{settings.name}.json"
        process = self._add_process(
            settings.name,
            f"{STANDINS}.caller",
            settings.model_dump(mode="json") | {"report": str(report)},
        )
        process.start()
        return process

    def collect(self, caller: ManagedProcess, timeout_s: float) -> dict[str, Any]:
        """Wait until a caller exits and return its report."""
        if caller.wait(timeout_s + CALLER_GRACE_S) != 0:
            raise caller.failure("exited with a non-zero exit code")
        return orjson.loads((self.directory / f"{caller.name}.json").read_bytes())

    def node_cpu_s(self) -> float:
        """Return the total CPU time of all nodes that are alive, in seconds."""
        nodes = [self.node(name) for name in self.hosts]
        return sum(node.cpu_s() for node in nodes if node.alive)

    def node_status_median(self, field: str) -> float:
        """Return the median of a ``/status`` field over all nodes that are alive."""
        return statistics.median(
            call_json(host.operators, "/status")[field]
            for host in self.hosts.values()
            if self.node(host.name).alive
        )

    def wait_ready(self, hosts: list[str] | None = None) -> None:
        """Wait until each node reaches each service.

        Raises:
            ProcessFailedError: a node exits, or doesn't reach a service within
                ``START_TIMEOUT_S``.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        pending = [self.hosts[name] for name in hosts or self.hosts]
        with ThreadPoolExecutor(max_workers=len(pending)) as pool:
            list(
                pool.map(lambda host: self._wait_host_ready(host, deadline_s), pending)
            )

    def _wait_host_ready(self, host: Host, deadline_s: float) -> None:
        missing = [service.name for service in self.graph.services]
        node = self.node(host.name)
        while missing := [
            name for name in missing if not answers_probe(host.entry, name)
        ]:
            if not node.alive:
                raise node.failure("exited before it reached every service")
            if time.monotonic() > deadline_s:
                raise node.failure(
                    f"services not reached before the timeout: {', '.join(missing)}"
                )
            time.sleep(PROBE_INTERVAL_S)

    def _add_process(
        self, name: str, module: str, settings: Mapping[str, Any]
    ) -> ManagedProcess:
        process = ManagedProcess(
            name=name, module=module, settings=settings, directory=self.directory
        )
        self.processes[name] = process
        return process

    def _start(self) -> None:
        for zone in AVAILABILITY_ZONES:
            self.platforms[zone] = self.layout.free_address()
            self._add_process(
                f"platform-{zone}",
                f"{STANDINS}.platform",
                {
                    "listen": self.platforms[zone],
                    "document": self.graph.document(),
                    "hosts": self._initial_host_list(zone),
                },
            )
        if self._relay_links:
            self._add_relay()
        for number, host in enumerate(self.hosts.values()):
            self._add_backend(host, number)
        for process in self.processes.values():
            process.start()
        for process in self.processes.values():
            process.wait_listening(START_TIMEOUT_S)
        for host in self.hosts.values():
            self._add_node(host).start()
        if self._relay_links:
            self._connect_availability_zones()
        self.wait_ready()

    def _initial_host_list(self, zone: str) -> list[dict[str, str]]:
        hosts = self.layout.host_list(zone, states={})
        if not self._relay_links:
            return hosts
        return [host for host in hosts if host["availability_zone"] == zone]

    def _connect_availability_zones(self) -> None:
        """Publish all hosts once each node has read the host list of its own zone.

        A node without a host list adopts the addresses that its peers report. The
        addresses that a peer of another zone reports belong to relay routes of that
        zone, not to those of the node's own zone.
        """
        wait_until(
            "all nodes have read a host list",
            lambda: all(map(self._has_host_list, self.hosts.values())),
        )
        self.publish_hosts()

    def _has_host_list(self, host: Host) -> bool:
        return call_json(host.operators, "/status")["host_list_version"] > 0

    def _add_relay(self) -> None:
        self.relay_address = self.layout.free_address()
        routes = [
            {
                "name": name,
                "listen": address,
                "target": self.hosts[name.partition(">")[2]].link,
            }
            for name, address in self.layout.routes.items()
        ]
        settings = {"listen": self.relay_address, "routes": routes}
        self._add_process("relay", f"{STANDINS}.relay", settings)

    def _add_backend(self, host: Host, number: int) -> None:
        settings = backend_settings(host, seed=self._seed * 1000 + number)
        self._add_process(
            f"backend-{host.name}", f"{STANDINS}.backend", settings | self._backend
        )

    def _add_node(self, host: Host) -> ManagedProcess:
        settings = node_settings(
            host, platform=self.platforms[host.availability_zone], gate=self._gate
        )
        if self._slots_hint:
            settings["slots_hint"] = host.plan.slots
        return self._add_process(
            f"node-{host.name}", NODE_MODULE, settings | self._node
        )
