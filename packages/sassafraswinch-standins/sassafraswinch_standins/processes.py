"""Processes of a run: each has a settings file and log files in one directory."""

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
"""Ports for listeners whose number must be known beforehand.

They lie below the ports that Linux gives to outgoing connections, so that none of
those takes a number between the look and the bind.
"""


def _own_loopback_ip() -> str:
    rng = random.SystemRandom()
    return f"127.{rng.randint(1, 254)}.{rng.randint(1, 254)}.1"


LOCAL_IP = _own_loopback_ip()
"""IP number of all listeners that this process lays out.

Failure guarded against: fleets of two test runs draw the same port seconds before it
is bound; shows as "address already in use". Each run has its own number.
"""

POLL_S = 0.02
"""Interval of looks at a process that starts, in seconds."""

LOG_TAIL_LINES = 15
"""Lines of a log that an error shows."""

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessFailedError(SassafraswinchError):
    """A process of a run ended or didn't become ready.

    Attributes:
        name: the process.
        reason: what was waited for.
        log_tail: last lines that it wrote.
    """

    def __init__(self, *, name: str, reason: str, log_tail: str):
        super().__init__(f"{name}: {reason}\n{log_tail}")
        self.name = name
        self.reason = reason
        self.log_tail = log_tail


_given_ports: set[int] = set()


def free_address(rng: random.Random) -> str:
    """Return ``ip:port`` of a port that is free now and wasn't given before.

    Failure guarded against: two listeners of a fleet draw the same port, since none
    is bound until its process runs; shows as "address already in use" in about one
    start of 60 ports out of twelve.
    """
    while True:
        port = rng.randint(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((LOCAL_IP, port))
            _given_ports.add(port)
            return f"{LOCAL_IP}:{port}"


def child_environment() -> dict[str, str]:
    """Return the environment in which a child imports this checkout's packages."""
    root = Path(__file__).resolve().parents[2]
    paths = [str(root / name) for name in PACKAGES if (root / name).is_dir()]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}


class ManagedProcess:
    """One child process, ended by its id and by nothing broader."""

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
        """Process id of the present run."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs (or is paused)."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process, again if it has ended."""
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
        """End the process with SIGKILL."""
        if self.alive:
            self._popen.kill()
            self._popen.wait()

    def terminate(self) -> None:
        """Ask the process to stop, with SIGTERM."""
        if self.alive:
            self._popen.terminate()

    def wait(self, timeout_s: float) -> int:
        """Wait for the end of the process; returns its exit code."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise self.failed(f"no end within {timeout_s} s") from error

    def pause(self) -> None:
        """Freeze the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on, with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def listening(self, timeout_s: float) -> str:
        """Wait for the line that says where the process listens."""
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            for line in self.out_path.read_text().splitlines():
                if line.startswith("listening "):
                    return line.split()[1]
            if not self.alive:
                raise self.failed("ended before it listened")
            time.sleep(POLL_S)
        raise self.failed(f"not listening within {timeout_s} s")

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the memory that the process holds."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    def failed(self, reason: str) -> ProcessFailedError:
        """Return an error about this process with the end of its logs."""
        lines = [
            line
            for path in (self.out_path, self.error_path)
            if path.exists()
            for line in path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        ]
        return ProcessFailedError(
            name=self.name, reason=reason, log_tail="\n".join(lines)
        )
