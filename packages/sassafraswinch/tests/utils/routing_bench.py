"""Benchmark of host selection policies: python -m tests.utils.routing_bench."""

import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.hosts import HostView
from sassafraswinch.routing import CROSS_ZONE_DELAY_MS, Router

from .fake_server import FakeHost, FakeServer, GateSimulation, Stream

RUN_MS, WARM_MS = 6_000.0, 2_000.0
SLOTS, MEAN_MS, OWNERS = 30, 30.0, 12
OWN, OTHER = "brno-a", "brno-b"


class RandomRouter(Router):
    """Baseline that chooses a random host."""

    def choose(self, candidates, *, excluded, now_ms):
        return self._rng.choice(candidates)


class OwnZoneRouter(Router):
    """Baseline that chooses a random host of its own availability zone."""

    def choose(self, candidates, *, excluded, now_ms):
        zone = self._availability_zone
        same_zone = [host for host in candidates if host.availability_zone == zone]
        return self._rng.choice(same_zone)


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Simulated hosts, and a load as a share of the capacity of the routers' zone."""

    name: str
    own: int
    other: int
    load: float
    slowness: Callable[[float], float] = lambda now_ms: 1.0
    """Slow-down factor of the first host by time."""

    def run(self, routers: list[Router], seed: int) -> "FleetFigures":
        hosts = [self._host(number, seed) for number in range(self.own + self.other)]
        hosts[0].server.slowness = self.slowness
        rate = self.load * self.own * SLOTS / MEAN_MS * 1000
        stream = Stream(class_order=0, rate_per_s=lambda now_ms: rate)
        trial = GateSimulation(
            hosts=hosts, streams=[stream], seed=seed, routers=routers
        )
        trial.run(RUN_MS)
        done = [d for d in trial.done if d.call.offered_at_ms >= WARM_MS]
        good = [d for d in done if d.good]
        times = sorted(d.at_ms - d.call.offered_at_ms for d in good)
        by_zone = Counter(d.call.host.view.availability_zone for d in good)
        return FleetFigures(
            good_percent=100 * len(good) / len(done),
            p50_ms=times[len(times) // 2],
            p99_ms=times[int(len(times) * 0.99)],
            across_percent=100 * by_zone[OTHER] / len(good),
            first_percent=100 * sum(d.call.host is hosts[0] for d in good) / len(good),
        )

    def _host(self, number: int, seed: int) -> FakeHost:
        own = number < self.own
        return FakeHost(
            gate=AdaptiveGate(slots=SLOTS, rng=random.Random(seed)),
            server=FakeServer(slots=SLOTS, mean_ms=MEAN_MS),
            view=HostView(
                name=f"host-{number}",
                service="archiv",
                availability_zone=OWN if own else OTHER,
            ),
            network_delay_ms=0.0 if own else CROSS_ZONE_DELAY_MS,
        )


@dataclass(slots=True, kw_only=True)
class FleetFigures:
    good_percent: float
    p50_ms: float
    p99_ms: float
    across_percent: float
    first_percent: float


FLEETS = [
    Fleet(name="calm", own=3, other=3, load=0.6),
    Fleet(name="busy", own=3, other=3, load=0.85),
    Fleet(name="one of four slow x5", own=4, other=0, load=0.6, slowness=lambda t: 5.0),
    Fleet(
        name="one slow, other zone", own=2, other=2, load=0.6, slowness=lambda t: 5.0
    ),
    Fleet(name="own zone at 150%", own=2, other=2, load=1.5),
]


def routers(kind: type[Router], seed: int) -> list[Router]:
    """Return one router per owner; each observes only the calls of its owner."""
    return [
        kind(availability_zone=OWN, rng=random.Random(seed * OWNERS + number))
        for number in range(OWNERS)
    ]


def main() -> None:
    for fleet in FLEETS:
        for kind in (RandomRouter, OwnZoneRouter, Router):
            runs = [fleet.run(routers(kind, seed), seed) for seed in range(5)]
            cells = (
                f"{name.removesuffix('_percent')} "
                f"{statistics.median(getattr(run, name) for run in runs):6.1f}  "
                for name in FleetFigures.__slots__
            )
            print(f"{fleet.name:22} {kind.__name__:14}", *cells)


if __name__ == "__main__":
    main()
