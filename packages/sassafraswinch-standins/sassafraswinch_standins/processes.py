"""Child processes of a test run, with settings and log files in one directory."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import yaml

from sassafraswinch.errors import SassafraswinchError

PACKAGES = (
    "sassafraswinch",
    "sassafraswinch-node",
    "sassafraswinch-tool",
    "sassafraswinch-standins",
)

FIRST_PORT, LAST_PORT = 12_000, 32_000
"""Port range of listeners whose port must be known before they start.

The range lies below the ephemeral ports of Linux, so that no outgoing connection takes
a port between the check that it is free and the bind.
"""


def _random_loopback_ip() -> str:
    rng = random.SystemRandom()
    return f"127.{rng.randint(1, 254)}.{rng.randint(1, 254)}.1"


LOCAL_IP = _random_loopback_ip()
"""IP address of all listeners that this process configures.

Each test run has its own address. On a shared one, two test runs at the same time can
choose the same port seconds before either binds it, which fails with "address already
in use".
"""

POLL_S = 0.02
"""Interval of the startup checks of a process, in seconds."""

LOG_TAIL_LINES = 15
"""Number of log lines in an error message."""

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessFailedError(SassafraswinchError):
    """A process of a run exited, or didn't reach a state in time.

    Attributes:
        name: name of the process.
        reason: what went wrong.
        log_tail: last lines of its output and error logs.
    """

    def __init__(self, *, name: str, reason: str, log_tail: str):
        super().__init__(f"{name}: {reason}\n{log_tail}")
        self.name = name
        self.reason = reason
        self.log_tail = log_tail


_assigned_ports: set[int] = set()


def free_address(rng: random.Random) -> str:
    """Return ``ip:port`` of a port that is free and wasn't returned before.

    Without the record of returned ports, two listeners of a fleet can get the same
    port, since none is bound until its process runs. That failed about one in twelve
    starts of a fleet with 60 ports, with "address already in use".
    """
    while True:
        port = rng.randint(FIRST_PORT, LAST_PORT)
        if port in _assigned_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((LOCAL_IP, port))
            _assigned_ports.add(port)
            return f"{LOCAL_IP}:{port}"


def child_environment() -> dict[str, str]:
    """Return an environment in which a child imports the packages of this checkout."""
    root = Path(__file__).resolve().parents[2]
    paths = [str(root / name) for name in PACKAGES if (root / name).is_dir()]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}


class ManagedProcess:
    """Child process that is signalled only by its process id."""

    def __init__(
        self, *, name: str, module: str, settings: Mapping[str, Any], directory: Path
    ):
        self.name = name
        self.module = module
        self.settings_path = directory / f"{name}.yaml"
        self.out_path = directory / f"{name}.out"
        self.error_path = directory / f"{name}.err"
        self.settings_path.write_text(yaml.safe_dump(dict(settings)))
        self._popen: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id of the latest start."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process is running or suspended."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process, or restart it after it has exited."""
        command = [sys.executable, "-m", self.module]
        with self.out_path.open("w") as out, self.error_path.open("a") as error:
            self._popen = subprocess.Popen(
                [*command, "--settings", str(self.settings_path)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=error,
                env=child_environment(),
            )

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self.alive:
            self._popen.kill()
            self._popen.wait()

    def terminate(self) -> None:
        """Request a shutdown of the process with SIGTERM."""
        if self.alive:
            self._popen.terminate()

    def wait(self, timeout_s: float) -> int:
        """Wait until the process exits and return its exit code."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise self.failure(f"process did not exit within {timeout_s} s") from error

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def wait_listening(self, timeout_s: float) -> str:
        """Wait for the log line with the listening address and return the address."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for line in self.out_path.read_text().splitlines():
                if line.startswith("listening "):
                    return line.split()[1]
            if not self.alive:
                raise self.failure("process exited before it listened")
            time.sleep(POLL_S)
        raise self.failure(f"process did not listen within {timeout_s} s")

    def cpu_s(self) -> float:
        """Return the CPU time of the process, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the resident memory of the process, in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def failure(self, reason: str) -> ProcessFailedError:
        """Return an error for this process with the last lines of its logs."""
        lines = [
            line
            for path in (self.out_path, self.error_path)
            if path.exists()
            for line in path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        ]
        return ProcessFailedError(
            name=self.name, reason=reason, log_tail="\n".join(lines)
        )
