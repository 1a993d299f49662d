"""A small fleet of the project's sidecars, each a process of its own on loopback."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from .requester import Result, send
from .server import HEALTH_PATH, Server
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
MAX_HOSTS = 12
PORTS = range(20_000, 32_000)
"""Below the ports that the system gives to the stand-ins themselves."""


class Host:
    """A sidecar with the server beside it."""

    def __init__(self, fleet: "Fleet", number: int, service: str, zone: str):
        self.name = f"host-{number}"
        self.ip = f"{fleet.prefix}.{number}"
        self.zone = zone
        self.server = Server(service=service, ip=self.ip, zone=zone, slots=fleet.slots)
        self._fleet = fleet
        self.out = fleet.directory / f"{self.name}.out"
        self._file = fleet.directory / f"{self.name}.yaml"
        self.process: subprocess.Popen | None = None

    async def open(self, backend: str | None = None) -> None:
        """Start the server and write the settings."""
        fleet = self._fleet
        await self.server.start()
        settings = {
            "host": self.name,
            "ip": self.ip,
            "availability_zone": self.zone,
            "service": self.server.service,
            "backend": backend or f"{self.ip}:{self.server.port}",
            "outbound": f"{self.ip}:{fleet.outbound}",
            "ready": f"{self.ip}:{fleet.ready}",
            "link_port": fleet.link,
            "metrics_port": fleet.metrics,
            "platform": await fleet.store.listen(self.name, self.ip),
            "memory_mb": 300,
            "drain_s": 6,
            "worth_by_priority": [3, 2, 1],
            "repeat_ratio": 0.2,
            "repeat_slack": 50,
            "repeat_window_s": 10,
        } | fleet.settings
        self._file.write_text(json.dumps(settings))

    def rewrite_backend(self) -> None:
        """Write the address of a new server into the settings."""
        settings = json.loads(self._file.read_text())
        settings["backend"] = f"{self.ip}:{self.server.port}"
        self._file.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the sidecar with the command of the deploy file."""
        if self._fleet.is_closed:
            return
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SASSAFRASWINCH_NODE_FILE": str(self._file),
        }
        with self.out.open("a") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "sassafraswinch_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process with SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def publish(self, state: str = "ready") -> None:
        """Write the entry of the server."""
        key = f"servers/{self.server.id}"
        await self._fleet.store.put(key, self.server.entry(state))

    async def send(self, request_id: str, target: str, **kinds) -> Result:
        """Send a request to this sidecar."""
        return await send(self.ip, self._fleet.outbound, request_id, target, **kinds)

    async def is_ready(self) -> bool:
        """Ask as the platform does; a process that has ended isn't ready."""
        if self.process is None or self.process.poll() is not None:
            return False
        result = await send(
            self.ip, self._fleet.ready, "ready", "/v1/ready", wait_s=1.0
        )
        return result.status == 200


class Fleet:
    """Sidecars, servers and the store of one case."""

    def __init__(self, *, slots: int = 50, settings: dict | None = None):
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        number = os.getpid() + int(time.time())
        self.prefix = f"127.{30 + number % 190}.{number // 190 % 250}"
        ports = _free_ports(self.prefix, 4)
        self.outbound, self.ready, self.link, self.metrics = ports
        self.slots = slots
        self.settings = settings or {}
        self.store = Store()
        self.hosts: list[Host] = []
        self.version = 0
        self.desired: dict = {}
        self.is_closed = False
        self.opened_s = 0.0

    def add(self, service: str, zone: str) -> Host:
        """Add a host with a server of a service."""
        host = Host(self, len(self.hosts) + 1, service, zone)
        self.hosts.append(host)
        return host

    async def open(self, paths: list[dict], **config) -> None:
        """Start everything; return once each sidecar is ready and sees the others."""
        await self.configure(paths, **config)
        for host in self.hosts:
            if host.server.port == 0:
                await host.open()
            await host.publish()
        for host in self.hosts:
            host.start()
        async with asyncio.timeout(30):
            for host in self.hosts:
                while not await host.is_ready():
                    await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)

    async def configure(self, paths: list[dict], **config) -> None:
        """Write the next desired state."""
        self.version += 1
        services = sorted({host.server.service for host in self.hosts})
        value = {
            "version": f"{self.version:08x}",
            "hosts": [{"host": HOST, "paths": paths}],
            "limits": {
                "max_header_bytes": 32_768,
                "max_body_bytes": 4_194_304,
                "header_timeout_s": 5,
                "idle_timeout_s": 30,
            },
            "services": [
                {"name": service, "health_path": HEALTH_PATH} for service in services
            ],
        } | config
        self.desired = value
        await self.store.put("op/config", value)

    def close(self) -> None:
        """End all processes and servers."""
        self.is_closed = True
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.kill()
            host.server.stop()
        self.store.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def _free_ports(prefix: str, count: int) -> list[int]:
    """Return ports that are free at all addresses that a fleet may use."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for number in range(1, MAX_HOSTS + 1):
                bound = stack.enter_context(socket.socket())
                bound.bind((f"{prefix}.{number}", port))
            if port not in found:
                found.append(port)
    return found


def path(
    prefix: str,
    service: str,
    *,
    idempotent: bool = True,
    timeout_s: float = 5.0,
    target_s: float = 1.0,
    priority: int = 0,
    attempts: int = 3,
    **more,
) -> dict:
    """Return a route."""
    return {
        "name": prefix.strip("/"),
        "path_prefix": prefix,
        "kind": "idempotent" if idempotent else "non_idempotent",
        "timeout_s": timeout_s,
        "target_latency_s": target_s,
        "priority": priority,
        "max_attempts": attempts,
        "service": service,
    } | more
