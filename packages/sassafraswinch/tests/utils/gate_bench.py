"""Benchmark of the gates on a fake backend server: python -m ...utils.gate_bench."""

import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.gate import Gate, OpenGate, StaticGate
from sassafraswinch.hosts import HostView
from sassafraswinch.levels import IngressShedder

from .fake_server import FakeHost, FakeServer, GateSimulation, Stream
from .figures import Figures, measure

RUN_MS, START_MS, END_MS = 12_000.0, 3_000.0, 7_000.0
SLOTS, MEAN_MS = 60, 30.0


def during(inside: float, outside: float) -> Callable[[float], float]:
    return lambda now_ms: inside if START_MS <= now_ms < END_MS else outside


def always(value: float) -> Callable[[float], float]:
    return lambda now_ms: value


@dataclass(slots=True, kw_only=True)
class Scenario:
    name: str
    hint: int | None = SLOTS
    paying: tuple[float, float] = (0.3, 0.3)
    """Offered load as share of the capacity, during the overload and outside of it."""
    trial: tuple[float, float] = (0.3, 0.3)
    slowness: float = 1.0
    sheds: bool = True
    retries: int = 0
    obeys_retry_after: bool = True
    slots: int = SLOTS
    mean_ms: float = MEAN_MS
    deadline_ms: float = 1000.0
    drains: bool = False
    """The server sheds all calls for a second in the middle of the overload."""

    deep: bool = False
    """The overload is at a second server, which the first one calls."""

    def run(
        self, make_gate: Callable[[], Gate], seed: int, shedder: IngressShedder | None
    ) -> Figures:
        capacity_per_s = self.slots / self.mean_ms * 1000
        streams = [
            Stream(
                class_order=order,
                rate_per_s=during(share[0] * capacity_per_s, share[1] * capacity_per_s),
                max_retries=self.retries,
                honours_retry_after=self.obeys_retry_after,
                deadline_ms=self.deadline_ms,
            )
            for order, share in enumerate((self.paying, self.trial))
        ]
        server = FakeServer(
            slots=self.slots,
            mean_ms=self.mean_ms,
            sheds=self.sheds,
            slowness=during(self.slowness, 1.0),
            available=lambda now_ms: not (self.drains and 4000 <= now_ms < 5000),
        )
        view = HostView(name="host", service="archiv", availability_zone="brno-a")
        host = FakeHost(gate=make_gate(), server=server, view=view)
        if self.deep:
            first = FakeServer(
                slots=8 * self.slots, mean_ms=self.mean_ms, downstream=host
            )
            gate = make_gate()
            gate.set_slots(first.slots)
            host = FakeHost(gate=gate, server=first, view=view)
        trial = GateSimulation(
            hosts=[host], streams=streams, seed=seed, shedder=shedder
        )
        trial.server = server
        trial.run(RUN_MS)
        return measure(trial, start_ms=START_MS, end_ms=END_MS, run_ms=RUN_MS)


SCENARIOS = [
    Scenario(name="deep, slow x5", deep=True, slowness=5.0),
    Scenario(
        name="deep, slow x5, hard repeats",
        deep=True,
        slowness=5.0,
        retries=5,
        obeys_retry_after=False,
    ),
    Scenario(name="deep, surge x3", deep=True, paying=(0.9, 0.3), trial=(0.9, 0.3)),
    Scenario(
        name="surge and slow, hard repeats",
        slowness=5.0,
        paying=(0.9, 0.3),
        trial=(0.9, 0.3),
        retries=5,
        obeys_retry_after=False,
    ),
    Scenario(
        name="short calls, surge x3",
        slots=8,
        hint=8,
        mean_ms=3.0,
        paying=(0.9, 0.3),
        trial=(0.9, 0.3),
    ),
    Scenario(
        name="long calls, surge x3",
        mean_ms=300.0,
        paying=(0.9, 0.3),
        trial=(0.9, 0.3),
        deadline_ms=2000.0,
    ),
    Scenario(name="drains 1 s", paying=(0.6, 0.6), drains=True),
    Scenario(name="calm"),
    Scenario(name="surge x3", paying=(0.9, 0.3), trial=(0.9, 0.3)),
    Scenario(name="surge x3, paying > capacity", paying=(1.5, 0.5), trial=(0.9, 0.3)),
    Scenario(
        name="surge x3, hard repeats",
        paying=(0.9, 0.3),
        trial=(0.9, 0.3),
        retries=5,
        obeys_retry_after=False,
    ),
    Scenario(
        name="surge x3, obeying",
        paying=(0.9, 0.3),
        trial=(0.9, 0.3),
        retries=5,
    ),
    Scenario(name="slow x5", slowness=5.0),
    Scenario(
        name="slow x5, free slots",
        slowness=5.0,
        paying=(0.08, 0.08),
        trial=(0.08, 0.08),
    ),
    Scenario(
        name="slow x5, hard repeats",
        slowness=5.0,
        retries=5,
        obeys_retry_after=False,
    ),
    Scenario(name="hint half", hint=SLOTS // 2, paying=(0.9, 0.6), trial=(0.9, 0.3)),
    Scenario(name="hint double", hint=SLOTS * 2, paying=(0.9, 0.6), trial=(0.9, 0.3)),
    Scenario(name="hint none", hint=None, paying=(0.9, 0.6), trial=(0.9, 0.3)),
    Scenario(
        name="server queues, hint double",
        hint=SLOTS * 2,
        sheds=False,
        paying=(0.9, 0.6),
        trial=(0.9, 0.3),
    ),
    Scenario(
        name="server queues, hint none",
        hint=None,
        sheds=False,
        paying=(0.9, 0.6),
        trial=(0.9, 0.3),
    ),
    Scenario(
        name="8 slots, surge x3", slots=8, hint=8, paying=(0.9, 0.3), trial=(0.9, 0.3)
    ),
]


def arms(hint: int | None, seed: int) -> dict[str, tuple]:
    """Return the gate factory and the ingress shedder of each arm."""

    def make_adaptive() -> Gate:
        return AdaptiveGate(slots=hint, rng=random.Random(seed))

    return {
        "open": (OpenGate, None),
        "static": (lambda: StaticGate(slots=hint), None),
        "ours": (make_adaptive, None),
        "ours+entry": (make_adaptive, IngressShedder()),
    }


def main(only: str = "", seeds: int = 5) -> None:
    names = [f.name.removesuffix("_percent") for f in fields(Figures)]
    print(f"{'scenario':28} {'arm':11}" + "".join(f"{n:>16}" for n in names))
    for scenario in SCENARIOS:
        if only not in scenario.name:
            continue
        for arm in arms(scenario.hint, 0):
            runs = []
            for seed in range(seeds):
                make_gate, shedder = arms(scenario.hint, seed)[arm]
                runs.append(scenario.run(make_gate, seed, shedder))
            columns = zip(*map(astuple, runs), strict=True)
            cells = "".join(
                f"{statistics.median(c):8.1f}±{(max(c) - min(c)) / 2:<7.1f}"
                for c in columns
            )
            print(f"{scenario.name:28} {arm:11}" + cells)


if __name__ == "__main__":
    main(*sys.argv[1:2])
