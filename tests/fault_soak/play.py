"""Plays seeds of the soak, and tells which promises were broken.

``make fault-soak SEED=1 SEEDS=50`` plays fifty.
"""

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from .chaos import Chaos
from .fleet import Play

CHAOS_S = 8.0
"""Time in which faults begin."""

SETTLE_S = 1.5
"""Time after the last request in which a server might still run one."""


@dataclass(slots=True)
class Outcome:
    """What one seed brought."""

    seed: int
    broken: list[str] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    runs: int = 0


async def play(
    seed: int,
    directory: Path,
    *,
    chaos_s: float = CHAOS_S,
    copies: int = 1,
    fatal: bool = False,
    restores: bool = False,
) -> Outcome:
    """Play one seed; logs of the processes stay in the directory."""
    outcome = Outcome(seed)
    game = Play(seed=seed, directory=directory, copies=copies, fatal=fatal)
    chaos = Chaos(play=game, rng=random.Random(seed + 1), restores=restores)
    try:
        await game.open()
        asking = game.ask_everywhere()
        if fatal:
            asking.append(asyncio.create_task(game.send_fatal()))
        await chaos.run(chaos_s)
        try:
            await game.until_served()
        except TimeoutError:
            outcome.broken.append("not every host serves every kind of request again")
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)
        outcome.broken += [
            f"{host.name} ended by itself"
            for host in game.hosts
            if not host.alive and not host.stopped
        ]
    finally:
        game.close()
    outcome.broken += game.record.broken_promises()
    outcome.faults = chaos.counts
    if chaos.unclean_stops:
        outcome.faults["stops beyond the grace time"] = chaos.unclean_stops
    outcome.statuses = Counter(sent.status for sent in game.record.sent.values())
    outcome.runs = len(game.record.runs)
    return outcome


def main(
    *,
    first: int = 1,
    seeds: int = 1,
    chaos_s: float = CHAOS_S,
    copies: int = 1,
    fatal: bool = False,
    restores: bool = False,
) -> None:
    """Play seeds in turn; the exit code is 1 if a promise was broken.

    Args:
        first: the first seed; the others follow it.
        seeds: how many.
        chaos_s: time in which faults begin, in seconds.
        copies: six hosts each.
        fatal: send a request that ends the servers that run it as well.
        restores: let the store come back from older copies as well.
    """
    failed = []
    for seed in range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"fault-soak-{seed}-"))
        began_s = time.monotonic()
        outcome = asyncio.run(
            play(
                seed,
                directory,
                chaos_s=chaos_s,
                copies=copies,
                fatal=fatal,
                restores=restores,
            )
        )
        took_s = time.monotonic() - began_s
        statuses = {str(key): n for key, n in outcome.statuses.most_common()}
        print(f"seed {seed}: {took_s:.0f} s, {outcome.runs} runs, {statuses}")
        print(f"  {dict(outcome.faults)}", flush=True)
        for line in outcome.broken[:10]:
            print(f"  BROKEN {line}; logs in {directory}", flush=True)
        if outcome.broken:
            failed.append(seed)
    print(f"{seeds - len(failed)} seeds kept all promises, failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(main)
