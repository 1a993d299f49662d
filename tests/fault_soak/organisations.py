"""Organisations of the soak, their keys, and what must hold of them."""

import bisect
import random
from collections import defaultdict
from collections.abc import Iterable

OWN, LIMITED, ROTATED = "own", "limited", "rotated"
"""Organisations: without a limit, with one, and with another key in each version."""

FORGED_KEY = "forged-key"
"""Key that no version ever holds."""

RATE_PER_S, BURST = 4, 4
WINDOW_S, SLACK, EXCESS = 5.0, 20, 1.25
"""What a limited organisation may send within a window, all hosts together."""


def tenants(version: int) -> list[dict]:
    """Return the organisations of a version of the routes, as the store has them."""
    return [
        {"name": OWN, "api_keys": ["own-key"], "priority": 1},
        {
            "name": LIMITED,
            "api_keys": ["limited-key"],
            "priority": 1,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        },
        {"name": ROTATED, "api_keys": [rotated_key(version)], "priority": 0},
    ]


def rotated_key(version: int) -> str:
    """Return the key that only one version holds."""
    return f"rotated-key-{version}"


class KeyRing:
    """Draws the keys that callers send, each with its organisation.

    Args:
        seed: seeds its own draws, so that faults are drawn as without keys.
    """

    def __init__(self, *, seed: int):
        self._rng = random.Random(f"keys-{seed}")

    def draw(self, version: int) -> tuple[str, str]:
        """Return a key and the organisation that holds it; none for a forged one."""
        keys = [("own-key", OWN)] * 7 + [
            ("limited-key", LIMITED),
            ("limited-key", LIMITED),
            (rotated_key(version), ROTATED),
            (FORGED_KEY, ""),
        ]
        return self._rng.choice(keys)


def windows_over_limit(first_runs_s: Iterable[float]) -> list[str]:
    """Return a line for the fullest window of the limited organisation, if too full."""
    times_s = sorted(first_runs_s)
    allowed = (RATE_PER_S * WINDOW_S + BURST) * EXCESS + SLACK
    counts = [
        bisect.bisect_left(times_s, at + WINDOW_S) - index
        for index, at in enumerate(times_s)
    ]
    most = max(counts, default=0)
    return [f"over the limit: {most} runs of {allowed}"] if most > allowed else []


def first_runs_s(runs) -> list[float]:
    """Return when each of the limited organisation's requests first ran."""
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run.organisation == LIMITED and "." not in run.request_id:
            starts[run.request_id].append(run.started_s)
    return [min(each) for each in starts.values()]
