"""A small deployment on loopback: sidecar processes, started as in the deploy file."""

import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from .messages import read_message
from .record import Record
from .requester import Requesters
from .server import HEALTH_PATH, Server
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6
MEMORY_MB = 300
MAX_MACHINES = 9
CASE_LIMIT_S = 112.0
PR_SET_PDEATHSIG = 1
"""Option of Linux: the signal that a process gets when its parent ends."""

MEMORY_CHECK_S = 0.02
PROBE_INTERVAL_S = 1.0
MISSES_TO_TAKE_OUT = 2
START_LIMIT_S = 20.0
CANNOT_RUN = 2


class CannotRunError(Exception):
    """The deployment didn't come up, so the case says nothing."""


class Machine:
    """One machine: a sidecar process beside one backend server."""

    def __init__(self, *, name: str, zone: str, ip: str, server: Server, ports: dict):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.server = server
        self.outbound = f"{ip}:{ports['outbound']}"
        self.ready = f"{ip}:{ports['ready']}"
        self._ports = ports
        self.process: subprocess.Popen | None = None

    def settings(self, store_address: str) -> dict:
        """Return the settings, with the keys of ``deploy/sidecar.yaml``."""
        return {
            "host": self.name,
            "ip": self.ip,
            "availability_zone": self.zone,
            "service": self.server.service,
            "backend": self.server.address,
            "outbound": self.outbound,
            "ready": self.ready,
            "link_port": self._ports["link"],
            "metrics_port": self._ports["metrics"],
            "platform": store_address,
            "memory_mb": MEMORY_MB,
            "drain_s": GRACE_S,
            "worth_by_priority": [3, 2, 1],
            "repeat_ratio": 0.2,
            "repeat_slack": 50,
            "repeat_window_s": 10,
        }

    def start(self, directory: Path, store_address: str) -> None:
        """Start the process with the command of the deploy file."""
        path = directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(store_address)))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SASSAFRASWINCH_NODE_FILE": str(path),
        }
        with (directory / f"{self.name}.log").open("w") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "sassafraswinch_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_script,
            )

    def memory_mb(self) -> float:
        """Return the memory that the process holds now, in units of 2**20 bytes."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        sizes = (line.split()[1] for line in lines if line.startswith("VmRSS:"))
        return int(next(sizes, "0")) / 1024

    async def is_ready(self) -> bool:
        """Ask the node whether it is ready, as the platform does."""
        ip, _, port = self.ready.partition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n")
                    answer = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.first_line[1] == "200"


class Fleet:
    """All machines of a case, with the store and the desired state.

    Attributes:
        peak_mb: most memory that ``enforce_memory`` has seen a process hold.
        out: names of the machines whose nodes ``probe_readiness`` has taken out.
    """

    def __init__(self, *, record: Record, seed: int):
        self.record = record
        self.rng = random.Random(seed)
        self.machines: list[Machine] = []
        self.store = Store()
        self.peak_mb = 0.0
        self.out: set[str] = set()
        self._prefix = f"127.{60 + os.getpid() % 150}.{1 + os.getpid() // 150 % 250}"
        self._directory = tempfile.TemporaryDirectory()
        self._ports = dict(
            zip(
                ("outbound", "ready", "link", "metrics"),
                _free_ports(self._prefix, 4),
                strict=True,
            )
        )

    def add(self, *, service: str, zone: str, slots: int, **behaviour) -> Machine:
        """Add a machine with a server; it is started by ``open``."""
        number = len(self.machines) + 1
        server = Server(
            instance_id=f"i-{number:08x}",
            service=service,
            slots=slots,
            record=self.record,
            rng=self.rng,
            **behaviour,
        )
        machine = Machine(
            name=f"machine-{number}",
            zone=zone,
            ip=f"{self._prefix}.{number}",
            server=server,
            ports=self._ports,
        )
        self.machines.append(machine)
        return machine

    def requesters(self, machine: Machine, **behaviour) -> Requesters:
        """Return requesters on a machine."""
        return Requesters(
            name=f"{machine.ip.rpartition('.')[2]}a",
            address=machine.outbound,
            record=self.record,
            **behaviour,
        )

    async def open(self, hosts: list[dict]) -> None:
        """Start everything; return once all nodes are ready and know each other.

        Raises:
            CannotRunError: a node isn't ready in time.
        """
        await self.store.open(f"{self._prefix}.250")
        await self.store.put("op/config", self._desired_state(hosts))
        for machine in self.machines:
            await machine.server.open(machine.ip)
            entry = machine.server.registration(machine.zone)
            await self.store.put(f"servers/{machine.server.instance_id}", entry)
        for machine in self.machines:
            machine.start(Path(self._directory.name), self.store.address)
        try:
            async with asyncio.timeout(START_LIMIT_S):
                for machine in self.machines:
                    while not await machine.is_ready():
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("a node isn't ready") from None
        await asyncio.sleep(2.0)

    def close(self) -> None:
        """End all processes that this case started."""
        processes = [machine.process for machine in self.machines if machine.process]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        for machine in self.machines:
            machine.server.close()
        self.store.close()
        self._directory.cleanup()

    def stop(self, machine: Machine) -> None:
        """Send SIGTERM to a machine's process."""
        self.record.add("sigterm", machine=machine.name)
        machine.process.send_signal(signal.SIGTERM)

    async def probe_readiness(self) -> None:
        """Ask each node each second whether it is ready; two misses take it out."""
        misses = dict.fromkeys((machine.name for machine in self.machines), 0)
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            answers = [machine.is_ready() for machine in self.machines]
            ready = await asyncio.gather(*answers)
            for machine, is_ready in zip(self.machines, ready, strict=True):
                misses[machine.name] = 0 if is_ready else misses[machine.name] + 1
                is_out = misses[machine.name] >= MISSES_TO_TAKE_OUT
                if is_out != (machine.name in self.out):
                    self.record.add("out" if is_out else "in", machine=machine.name)
                    self.out ^= {machine.name}

    def gets_work(self, machine: Machine) -> bool:
        """Return whether the platform gives new work to requesters on a machine.

        None goes to a node that is out, unless fewer than half of its zone are in.
        """
        zone = [each.name for each in self.machines if each.zone == machine.zone]
        taken_out = self.out.intersection(zone)
        return machine.name not in self.out or 2 * len(taken_out) > len(zone)

    async def enforce_memory(self) -> None:
        """Kill each process that exceeds its memory, as the platform does."""
        while True:
            for machine in self.machines:
                if machine.process.poll() is not None:
                    continue
                used_mb = machine.memory_mb()
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb > MEMORY_MB:
                    self.record.add("over-memory", machine=machine.name, mb=used_mb)
                    machine.process.kill()
            await asyncio.sleep(MEMORY_CHECK_S)

    def _desired_state(self, hosts: list[dict]) -> dict:
        services = sorted({machine.server.service for machine in self.machines})
        return {
            "version": "00000007",
            "services": [
                {"name": name, "health_path": HEALTH_PATH, "max_conns": 748}
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "hosts": hosts,
        }


def route(
    host: str,
    service: str,
    *,
    kind: str,
    timeout_s: float,
    aim_s: float,
    max_attempts: int = 2,
) -> dict:
    """Return a host of the desired state with one route to a service."""
    path = {
        "name": f"r-{service}",
        "path_prefix": f"/{service}/",
        "kind": kind,
        "timeout_s": timeout_s,
        "target_latency_s": aim_s,
        "priority": 0,
        "service": service,
        "max_attempts": max_attempts,
    }
    return {"host": host, "paths": [path]}


def run_case(case, folder: Path, *, is_troubled: bool) -> None:
    """Run a case, write its record and exit with its result.

    Args:
        case: coroutine function that gets the record and whether to make the trouble,
            and returns a line for each break of the rule.
        folder: folder of the case.
        is_troubled: whether to make the trouble.
    """
    record = Record()
    try:
        breaks = asyncio.run(_run_until_signal(case(record, is_troubled)))
    except (Exception, asyncio.CancelledError) as error:
        # A fault of the script itself must not look like a broken rule.
        record.add("cannot-run", reason=repr(error))
        record.write(folder / "record.txt")
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
    for line in breaks:
        record.add("broken", what=line)
    record.write(folder / "record.txt")
    print(f"trouble={int(is_troubled)} broken={len(breaks)}")
    for line in breaks[:5]:
        print(f"  {line}")
    sys.exit(1 if breaks else 0)


async def _run_until_signal(case) -> list[str]:
    """Run a case; a signal or the time limit cancels it, so that it ends its fleet."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(CASE_LIMIT_S):
        return await case


def _end_with_script() -> None:
    """Let a process to be started end with this script, even if that is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _is_free(prefix: str, port: int) -> bool:
    """Return whether a port is free on the addresses of all machines."""
    for number in range(1, MAX_MACHINES + 1):
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.{number}", port))
            except OSError:
                return False
    return True


def _free_ports(prefix: str, count: int) -> list[int]:
    """Return ports that are free at the moment, below those of outgoing connections."""
    ports = []
    for port in random.SystemRandom().sample(range(12_000, 30_000), 200):
        if _is_free(prefix, port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("no free ports")
