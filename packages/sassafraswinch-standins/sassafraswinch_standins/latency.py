"""Latency benchmark: direct calls, calls through two nodes, and a naive proxy chain."""

import asyncio
import gc
import itertools
import statistics
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from sassafraswinch_standins.backend_settings import OperationPlan
from sassafraswinch_standins.caller import Caller
from sassafraswinch_standins.caller_settings import CallerSettings, Phase, Traffic
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.graph import Graph, ServicePlan, probe
from sassafraswinch_standins.processes import ManagedProcess
from sassafraswinch_standins.tally import new_histogram

WARM_UP_MS = 1_000.0
"""Duration of the unmeasured load on each arm before the first round."""

START_TIMEOUT_S = 20.0
"""Time limit for a proxy hop to start listening."""

FILLER_BYTES = 450
"""Filler that makes a response about 500 bytes long."""

QUANTILES = (50.0, 99.0)

DIRECT, TWO_NODES, NAIVE = "direct", "two-nodes", "naive-chain"


def two_services() -> Graph:
    """Return a graph of two hosts: ``front`` receives requests for ``back``."""
    services = [
        ServicePlan(
            name=name,
            servers=1,
            slots=64,
            operations=(
                OperationPlan(
                    name=f"work-{name}",
                    method="POST",
                    path="/work/{id}",
                    service_time_ms=0,
                ),
                probe(name),
            ),
            labels={},
        )
        for name in ("front", "back")
    ]
    traffic = Traffic(
        name="work",
        class_name="rest",
        service="back",
        method="POST",
        path="/work/{id}",
        caller_id="caller",
        answer_bytes=FILLER_BYTES,
    )
    return Graph(
        services=tuple(services),
        traffic=(traffic,),
        organisations={"prospect": {}},
        callers={},
        classes=({"name": "rest", "deadline_ms": 2000},),
    )


@dataclass(slots=True, kw_only=True)
class Arm:
    """One path to the backend server, and the latencies measured on it."""

    name: str
    entry: str
    direct: bool
    rounds: dict[float, list[HdrHistogram]] = field(default_factory=dict)
    """Latency histograms by rate, one for each round."""
    unanswered: int = 0
    """Number of requests without a good response."""

    def quantiles_ms(self, rate_per_s: float, quantile: float) -> list[float]:
        """Return a latency quantile of each round at a rate."""
        return [
            histogram.get_value_at_percentile(quantile) / 1000
            for histogram in self.rounds[rate_per_s]
        ]


async def _run_load(
    arm: Arm, graph: Graph, rate_per_s: float, duration_ms: float, seed: int
) -> HdrHistogram:
    caller = Caller(
        settings=CallerSettings(
            name=f"{arm.name}-{seed}",
            entries=[arm.entry],
            direct=arm.direct,
            seed=seed,
            phases=[Phase(rate_per_s=rate_per_s)],
            duration_ms=duration_ms,
            traffic=list(graph.traffic),
        )
    )
    gc.collect()
    gc.freeze()
    report = await caller.run()
    gc.unfreeze()
    tally = caller.tallies["work"]
    arm.unanswered += (
        tally.first_attempts - report["traffic"]["work"]["outcomes"]["good"]
    )
    histogram = new_histogram()
    histogram.add(tally.latency)
    return histogram


async def measure_arms(
    arms: Sequence[Arm],
    graph: Graph,
    *,
    rates_per_s: Sequence[float],
    rounds: int,
    round_ms: float,
) -> None:
    """Load the arms one after the other, rotating the first arm from round to round."""
    seeds = itertools.count(1)
    for arm in arms:
        await _run_load(arm, graph, rates_per_s[0], WARM_UP_MS, next(seeds))
    for rate_per_s, number in itertools.product(rates_per_s, range(rounds)):
        first_arm = number % len(arms)
        seed = next(seeds)
        for arm in [*arms[first_arm:], *arms[:first_arm]]:
            histogram = await _run_load(arm, graph, rate_per_s, round_ms, seed)
            arm.rounds.setdefault(rate_per_s, []).append(histogram)


def added_ms(arm: Arm, direct: Arm, rate_per_s: float) -> dict[str, Any]:
    """Return an arm's latency and its excess over direct calls, over all rounds."""
    figures: dict[str, Any] = {}
    for quantile in QUANTILES:
        arm_ms = arm.quantiles_ms(rate_per_s, quantile)
        direct_ms = direct.quantiles_ms(rate_per_s, quantile)
        added = [a - b for a, b in zip(arm_ms, direct_ms, strict=True)]
        figures[f"p{quantile:g}_ms"] = statistics.median(arm_ms)
        figures[f"p{quantile:g}_added_ms"] = statistics.median(added)
        figures[f"p{quantile:g}_added_range_ms"] = [min(added), max(added)]
    return figures


def _start_hop(name: str, target: str, directory: Path) -> ManagedProcess:
    hop = ManagedProcess(
        name=name,
        module="sassafraswinch_standins.naive_hop",
        settings={"target": target},
        directory=directory,
    )
    hop.start()
    return hop


def run_latency(
    *, rates_per_s: Sequence[float], rounds: int, round_ms: float
) -> dict[str, Any]:
    """Run the latency benchmark and return its figures by arm and rate."""
    graph = two_services()
    with tempfile.TemporaryDirectory(prefix="sassafraswinch-latency-") as name:
        directory = Path(name)
        with Fleet(graph=graph, directory=directory) as fleet:
            back_address = fleet.hosts["back-1"].backend
            hops: list[ManagedProcess] = []
            try:
                hops.append(_start_hop("hop-b", back_address, directory))
                inner_address = hops[0].wait_listening(START_TIMEOUT_S)
                hops.append(_start_hop("hop-a", inner_address, directory))
                outer_address = hops[1].wait_listening(START_TIMEOUT_S)
                arms = [
                    Arm(name=DIRECT, entry=back_address, direct=True),
                    Arm(
                        name=TWO_NODES,
                        entry=fleet.hosts["front-1"].entry,
                        direct=False,
                    ),
                    Arm(name=NAIVE, entry=outer_address, direct=True),
                ]
                asyncio.run(
                    measure_arms(
                        arms,
                        graph,
                        rates_per_s=rates_per_s,
                        rounds=rounds,
                        round_ms=round_ms,
                    )
                )
            finally:
                for hop in hops:
                    hop.kill()
    direct = arms[0]
    return {
        "rates_per_s": list(rates_per_s),
        "rounds": rounds,
        "unanswered": {arm.name: arm.unanswered for arm in arms},
        "arms": {
            arm.name: {f"{rate:g}": added_ms(arm, direct, rate) for rate in rates_per_s}
            for arm in arms
        },
    }
