"""Cost of real processes: nodes, idle and under load, and a plain HTTP relay."""

import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from sassafraswinch_standins.caller import Caller
from sassafraswinch_standins.caller_settings import CallerSettings, Phase
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.latency import START_TIMEOUT_S, two_services
from sassafraswinch_standins.processes import ManagedProcess
from sassafraswinch_standins.slopes_timing import Figure

IDLE_S = 4.0
"""Observed idle time; processor time is counted in steps of 10 ms."""
RATE_PER_S = 150.0
LOAD_MS = 3_000.0
BYTES_PER_MB = 1024 * 1024


def _send_load(entry: str, graph, *, direct: bool) -> int:
    """Send calls to an ingress address and return the number of good responses."""
    caller = Caller(
        settings=CallerSettings(
            name="slopes",
            entries=[entry],
            direct=direct,
            seed=1,
            phases=[Phase(rate_per_s=RATE_PER_S)],
            duration_ms=LOAD_MS,
            traffic=list(graph.traffic),
        )
    )
    report = asyncio.run(caller.run())
    return report["traffic"]["work"]["outcomes"]["good"]


def _memory_figure(name: str, process: ManagedProcess) -> Figure:
    memory_mb = process.resident_bytes() / BYTES_PER_MB
    return Figure(name=name, value=memory_mb, unit="MB")


def measure() -> Iterator[Figure]:
    """Measure two nodes of a fleet and a process that only relays HTTP."""
    graph = two_services()
    with tempfile.TemporaryDirectory(prefix="sassafraswinch-slopes-") as name:
        directory = Path(name)
        hop: ManagedProcess | None = None
        with Fleet(graph=graph, directory=directory) as fleet:
            back = fleet.hosts["back-1"].backend
            try:
                hop = ManagedProcess(
                    name="hop",
                    module="sassafraswinch_standins.naive_hop",
                    settings={"target": back},
                    directory=directory,
                )
                hop.start()
                relay = hop.wait_listening(START_TIMEOUT_S)
                yield from _process_figures(fleet, hop, relay, graph)
            finally:
                if hop is not None:
                    hop.kill()


def _process_figures(
    fleet: Fleet, hop: ManagedProcess, relay: str, graph
) -> Iterator[Figure]:
    front, back = fleet.node("front-1"), fleet.node("back-1")
    yield _memory_figure("bare relay, idle", hop)
    yield _memory_figure("node, idle", front)
    idle_percent, relay_percent = _idle_percents(front, hop)
    yield Figure(name="node, idle", value=idle_percent, unit="% of a core")
    yield Figure(name="bare relay, idle", value=relay_percent, unit="% of a core")
    seconds = LOAD_MS / 1_000
    before = {process: process.cpu_s() for process in (front, back)}
    answered = _send_load(fleet.hosts["front-1"].entry, graph, direct=False)
    yield Figure(name="calls answered by two nodes", value=answered, unit="calls")
    for label, process in (("entry and link", front), ("link and dispatch", back)):
        used_s = process.cpu_s() - before[process] - idle_percent / 100 * seconds
        cost_us = 1e6 * used_s / max(1, answered)
        yield Figure(name=f"{label}, per call", value=cost_us, unit="us")
    yield _memory_figure("node, after load", front)
    start_cpu_s = hop.cpu_s()
    answered = _send_load(relay, graph, direct=True)
    cost_us = 1e6 * (hop.cpu_s() - start_cpu_s) / max(1, answered)
    yield Figure(name="bare relay, per call", value=cost_us, unit="us")
    yield _memory_figure("bare relay, after load", hop)


def _idle_percents(*processes: ManagedProcess) -> tuple[float, ...]:
    """Return the percentage of a core that each idle process used."""
    start_s = time.monotonic()
    before_s = [process.cpu_s() for process in processes]
    time.sleep(IDLE_S)
    used_s = [
        process.cpu_s() - before
        for process, before in zip(processes, before_s, strict=True)
    ]
    return tuple(100 * used / (time.monotonic() - start_s) for used in used_s)
