"""Soak test: long random runs of an in-memory fleet with all invariants checked.

The same seed gives the same run, so a failure can be reproduced.
"""

import sys
import time
import traceback
from collections import Counter

import defopt

from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.memory_chaos import Chaos
from sassafraswinch_standins.memory_fleet import Fleet

ROUNDS_PER_FLEET = 8
"""Rounds after which a new fleet is started, to bound memory use."""


def report(fleets: list[Fleet]) -> str:
    """Return the totals over all fleets, one per line."""
    checks = [fleet.checks for fleet in fleets]
    faults = sum((fleet.faults for fleet in fleets), start=Counter())
    operations = sum((check.operations for check in checks), start=Counter())
    reasons = sum((check.reasons for check in checks), start=Counter())
    undecided = [check.count_undecided() for check in checks]
    simulated_ms = sum(fleet.schedule.now_ms for fleet in fleets)
    lines = [
        f"simulated seconds: {simulated_ms / 1000:.0f}",
        f"events: {sum(fleet.schedule.actions_run for fleet in fleets)}",
        f"runs on backend servers: {sum(c.runs.total() for c in checks)}",
        *(f"fault {kind}: {count}" for kind, count in sorted(faults.items())),
        *(
            f"operation {name}, {verdict.value}: {count}"
            for (name, verdict), count in sorted(operations.items(), key=str)
        ),
        *(
            f"may-have-run because {reason.value}: {count}"
            for (verdict, reason), count in reasons.most_common()
            if verdict is Verdict.MAY_HAVE_RUN
        ),
        f"requests last reported as may-have-run: {sum(m for m, _ in undecided)}",
        f"of these never ran: {sum(never for _, never in undecided)}",
    ]
    return "\n".join(lines)


def main(*, seed: int = 1, minutes: float = 1.0) -> None:
    """Run random schedules until the time is up.

    Args:
        seed: seed of the first fleet; each later fleet uses the next number.
        minutes: wall-clock time to run for.
    """
    stop_at_s = time.monotonic() + 60 * minutes
    fleets: list[Fleet] = []
    while time.monotonic() < stop_at_s:
        number = seed + len(fleets)
        fleet = Fleet(seed=number, sparse=number % 2 == 1)
        fleets.append(fleet)
        chaos = Chaos(fleet=fleet)
        try:
            fleet.run_for(4_000)
            for _ in range(ROUNDS_PER_FLEET):
                if time.monotonic() < stop_at_s:
                    chaos.run_round()
        except Exception:
            print(*fleet.events, sep="\n")
            traceback.print_exc(file=sys.stdout)
            print(f"failed with seed {number}")
            print(report(fleets))
            sys.exit(1)
    print(report(fleets))


if __name__ == "__main__":
    defopt.run(main)
