"""Sidecars as processes, each with its server, callers and proxied connections."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import yaml

from sassafraswinch_standins.relay import Relay
from sassafraswinch_standins.relay_settings import RouteSettings

from .callers import Caller, Kind, keep_asking
from .organisations import OWN, KeyRing, tenants
from .record import FATAL_TARGET, Record
from .server import ServerStandIn
from .store import StoreStandIn

ROOT = Path(__file__).resolve().parents[2]
PATHS = (
    "packages/sassafraswinch",
    "packages/sassafraswinch-node",
    "packages/sassafraswinch-sidecar",
    "platform",
)
SERVICES = ("archiv", "archiv", "schvaleni", "schvaleni", "prehled", "prehled")
"""The service of each host; hosts with even and odd numbers are in two zones."""

LINK_PORT, DIAL_PORT, OUTBOUND_PORT, READY_PORT, METRICS_PORT = range(21_310, 21_315)
GRACE_S = 6.0
REQUESTS_PER_S = 8.0
"""Requests of the callers at each host: a third of what the servers carry."""

ORDERS = Kind(prefix="/orders/", method="GET", idempotent=True, time_left_ms=3_000)
PRICES = Kind(prefix="/prices/", method="GET", idempotent=True, time_left_ms=1_500)
APPROVE = Kind(prefix="/approve/", method="POST", idempotent=False, time_left_ms=3_000)
FATAL = Kind(
    prefix=FATAL_TARGET,
    method="GET",
    idempotent=True,
    time_left_ms=3_000,
    same_target=True,
)
FATAL_PER_S = 2.0
"""Requests that end servers, in all."""

OWN_KEY = ("own-key", OWN)
"""A key that every version holds."""

RESTART_S = (0.3, 1.5)
"""Shortest and longest time in which a server that has ended starts again."""


class Host:
    """A sidecar's process, the server beside it, and callers.

    Attributes:
        stopped: whether its process was ended or paused by the play.
        routes: proxied connections by what they lead to: link, store, server.
    """

    def __init__(self, *, number: int, prefix: str, play: "FaultSoakFleet"):
        self.name = f"host-{number}"
        self.ip = f"{prefix}.{number}"
        self.zone = f"zone-{number % 2}"
        self.service = SERVICES[(number - 1) % len(SERVICES)]
        self.stopped = True
        self.routes = {}
        self._play = play
        self._out_path = play.directory / f"{self.name}.out"
        self._settings_path = play.directory / f"{self.name}.yaml"
        self._popen: subprocess.Popen | None = None
        self.server = ServerStandIn(
            service=self.service,
            ip=self.ip,
            record=play.record,
            call=self._calls,
            ended=self._server_ended,
            rng=play.rng,
        )
        self.caller = self._new_caller()
        self._inner = self._new_caller()

    async def open(self) -> None:
        """Start the server and the proxies; the process comes with ``start``."""
        await self.server.start()
        link = RouteSettings(
            name="link",
            listen=f"{self.ip}:{DIAL_PORT}",
            target=f"{self.ip}:{LINK_PORT}",
        )
        store = RouteSettings(name="store", target=self._play.store_address)
        server = RouteSettings(name="server", target=f"{self.ip}:{self.server.port}")
        # A proxy would listen for a server that has ended.
        proxied = [link, store] if self._play.fatal else [link, store, server]
        self._relay = Relay(routes=proxied)
        addresses = await self._relay.start()
        self.routes = self._relay.routes
        backend = addresses.get("server", server.target)
        settings = self._settings(backend=backend, store=addresses["store"])
        self._settings_path.write_text(yaml.safe_dump(settings))

    def _settings(self, *, backend: str, store: str) -> dict[str, Any]:
        return {
            "host": self.name,
            "ip": self.ip,
            "availability_zone": self.zone,
            "service": self.service,
            "backend": backend,
            "outbound": f"{self.ip}:{OUTBOUND_PORT}",
            "ready": f"{self.ip}:{READY_PORT}",
            "link_port": LINK_PORT,
            "dial_port": DIAL_PORT,
            "metrics_port": METRICS_PORT,
            "platform": store,
            "drain_s": GRACE_S,
        }

    def close(self) -> None:
        """End the process and everything around it."""
        self.kill()
        self.server.crash()
        self._relay.stop()
        self.caller.close()
        self._inner.close()

    @property
    def alive(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(str(ROOT / path) for path in PATHS),
            "SASSAFRASWINCH_NODE_FILE": str(self._settings_path),
        }
        with self._out_path.open("a") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "sassafraswinch_platform"],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
            )
        self.caller.lifetime += 1
        self.stopped = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.alive:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self.stopped = True
        if self.alive:
            self._popen.kill()
            self._popen.wait()

    async def stop(self) -> bool:
        """Stop the process with SIGTERM; return whether it ended in its time."""
        self.stopped = True
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.05)):
            if not self.alive:
                return True
            await asyncio.sleep(0.05)
        self.kill()
        return False

    def _server_ended(self) -> None:
        """Start the server again, some time after a request has ended it."""
        self.server.crash()
        self._restarting = asyncio.create_task(self._restart_server())

    async def _restart_server(self) -> None:
        await asyncio.sleep(self._play.rng.uniform(*RESTART_S))
        await self.server.start()
        await self.publish()

    async def publish(self, state: str = "ready") -> None:
        """Write the server's entry."""
        key = f"servers/{self.server.instance_id}"
        await self._play.store.put(key, self.server.entry(self.zone, state))

    def _new_caller(self) -> Caller:
        return Caller(
            host=self.name,
            service=self.service,
            ip=self.ip,
            port=OUTBOUND_PORT,
            record=self._play.record,
            draw_key=lambda: self._play.keys.draw(self._play.version),
        )

    async def _calls(self, request_id: str) -> int:
        """Make the calls of a run: orders look up two prices in turn."""
        if self.service != "archiv" or request_id.count("."):
            return 200
        for _ in range(2):
            sent = await self._inner.ask(PRICES, parent=request_id)
            if sent.status != 200:
                return 500
        return 200


class Play:
    """Everything of one seed.

    Args:
        seed: seed of all that is drawn.
        directory: where the processes' settings and logs go.
        copies: hosts for each entry of ``SERVICES``; 41 at most.
        fatal: whether callers send a request that ends the servers that run it.

    Attributes:
        version: version of the routes in the store.
    """

    def __init__(
        self, *, seed: int, directory: Path, copies: int = 1, fatal: bool = False
    ):
        self.fatal = fatal
        self.rng = random.Random(seed)
        self.keys = KeyRing(seed=seed)
        self.directory = directory
        self.record = Record()
        self.store = StoreStandIn()
        self.store_address = ""
        self.version = 0
        prefix = f"127.{20 + os.getpid() % 200}.{seed % 250}"
        self.hosts = [
            Host(number=number, prefix=prefix, play=self)
            for number in range(1, copies * len(SERVICES) + 1)
        ]

    async def open(self) -> None:
        """Start everything; return once all routes are served at all hosts."""
        self.store_address = await self.store.open(self.hosts[0].ip)
        await self.change_routes()
        for host in self.hosts:
            await host.open()
            await host.publish()
            host.start()
        await self.until_served()

    def close(self) -> None:
        for host in self.hosts:
            if host.routes:
                host.close()
        self.store.close()

    async def change_routes(self) -> None:
        """Publish the next version, which has a route of its own that others lack."""
        self.version += 1
        paths = [
            self._path(ORDERS, "archiv", 1, attempts=3),
            self._path(PRICES, "prehled", 1, attempts=3),
            self._path(APPROVE, "schvaleni", 0, attempts=2),
            self._path(self.probe(), "prehled", 1, attempts=3),
        ]
        limits = {
            "max_header_bytes": 32_768,
            "max_body_bytes": 1_048_576,
            "header_timeout_s": 5,
            "idle_timeout_s": 30,
        }
        config = {
            "version": f"{self.version:08x}",
            "hosts": [{"host": "shop.example", "paths": paths}],
            "limits": limits,
            "tenants": tenants(self.version),
        }
        await self.store.put("op/config", config)

    def probe(self) -> Kind:
        """Return requests that only the newest version of the routes serves."""
        return Kind(
            prefix=f"/version-{self.version}/",
            method="GET",
            idempotent=True,
            time_left_ms=2_000,
            version=self.version,
        )

    def kinds(self) -> list[Kind]:
        """Return the kinds of request that callers draw from."""
        return [ORDERS, ORDERS, APPROVE, PRICES, self.probe()]

    def ask_everywhere(self, per_s: float = REQUESTS_PER_S) -> list[asyncio.Task]:
        """Start the callers of all hosts."""
        return [
            asyncio.create_task(
                keep_asking(host.caller, self.kinds, per_s=per_s, rng=self.rng)
            )
            for host in self.hosts
        ]

    async def send_fatal(self) -> None:
        """Send the request that ends servers, at any host, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.expovariate(FATAL_PER_S))
                host = self.rng.choice(self.hosts)
                group.create_task(host.caller.ask(FATAL, key=OWN_KEY))

    async def until_served(self, ceiling_s: float = 40.0) -> None:
        """Wait until every host serves every kind of request, the newest included.

        Raises:
            TimeoutError: one doesn't within the ceiling.
        """
        kinds = [ORDERS, APPROVE, self.probe()]
        async with asyncio.timeout(ceiling_s):
            for host in self.hosts:
                for kind in kinds:
                    while (await host.caller.ask(kind, key=OWN_KEY)).status != 200:
                        await asyncio.sleep(0.1)

    def _path(self, kind: Kind, service: str, priority: int, attempts: int) -> dict:
        self.record.services_of[kind.prefix].add(service)
        return {
            "name": kind.prefix.strip("/"),
            "path_prefix": kind.prefix,
            "kind": "idempotent" if kind.idempotent else "non_idempotent",
            "timeout_s": 3.0,
            "target_latency_s": 1.0,
            "priority": priority,
            "max_attempts": attempts,
            "service": service,
        }
