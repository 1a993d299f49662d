"""CPU time of a gate for one call: python -m tests.utils.hot_path."""

import random
import statistics
import time
from collections import deque

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.gate import BackendOutcome, Gate, OpenGate, StaticGate
from sassafraswinch.messages import LEVELS, Rank

CALLS, RUNS, SLOTS = 40_000, 5, 100


def time_us(gate: Gate, *, in_flight: int, offers_per_finish: int) -> float:
    """Return microseconds of CPU time of an offer, with its finishes and ticks."""
    rng = random.Random(1)
    ranks = [Rank(rng.randrange(2), rng.randrange(LEVELS)) for _ in range(1000)]
    running: deque[int] = deque()
    begin_s = time.process_time()
    for key in range(CALLS):
        now_ms = key * 0.2
        decision = gate.offer(
            key=key,
            rank=ranks[key % 1000],
            progress=0,
            operation=f"operation-{key % 8}",
            deadline_at_ms=now_ms + 1000,
            now_ms=now_ms,
        )
        running.extend(decision.start)
        if len(running) >= in_flight and key % offers_per_finish == 0:
            decision = gate.finished(
                key=running.popleft(),
                self_time_ms=in_flight * 0.2,
                outcome=BackendOutcome.OK,
                now_ms=now_ms,
            )
            running.extend(decision.start)
        if key % 50 == 0:
            running.extend(gate.tick(now_ms).start)
    return (time.process_time() - begin_s) / CALLS * 1e6


def main() -> None:
    gates = {
        "open": OpenGate,
        "static": lambda: StaticGate(slots=SLOTS),
        "ours": lambda: AdaptiveGate(slots=SLOTS, rng=random.Random(1)),
    }
    for name, gate in gates.items():
        figures = [
            statistics.median(
                time_us(gate(), in_flight=calls, offers_per_finish=offers)
                for _ in range(RUNS)
            )
            for calls, offers in ((20, 1), (25, 2))
        ]
        print(
            f"{name:8} free slots {figures[0]:5.1f} us, surge x2 {figures[1]:5.1f} us"
        )


if __name__ == "__main__":
    main()
