"""Organisations of the soak, their API keys and the check of their rate limit."""

import bisect
import random
from collections import defaultdict
from collections.abc import Iterable

OWN, LIMITED, ROTATED = "own", "limited", "rotated"
"""Organisations: one without a rate limit, one with a limit, and one whose key changes
with each version of the routes."""

FORGED_KEY = "forged-key"
"""Key that is never valid."""

RATE_PER_S, BURST = 4, 4
WINDOW_S, SLACK_REQUESTS, EXCESS_FACTOR = 5.0, 20, 1.25
"""Bounds of the check over all hosts: within ``WINDOW_S``, the requests that start to
run may exceed the rate limit by the factor ``EXCESS_FACTOR``, and by another
``SLACK_REQUESTS`` requests."""


def tenants(version: int) -> list[dict]:
    """Return the organisations of a route version, in the platform's format."""
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
    """Return the key that is valid in one version of the routes only."""
    return f"rotated-key-{version}"


class KeyRing:
    """Chooses the API keys that callers send, with their organisations.

    Args:
        seed: seed of a separate random generator, so that the choice of keys doesn't
            affect the choice of faults.
    """

    def __init__(self, *, seed: int):
        self._rng = random.Random(f"keys-{seed}")

    def draw(self, version: int) -> tuple[str, str]:
        """Return a random key and its organisation, which is empty for a forged key."""
        keys = [("own-key", OWN)] * 7 + [
            ("limited-key", LIMITED),
            ("limited-key", LIMITED),
            (rotated_key(version), ROTATED),
            (FORGED_KEY, ""),
        ]
        return self._rng.choice(keys)


def find_rate_limit_violations(first_starts_s: Iterable[float]) -> list[str]:
    """Return a line if the limited organisation exceeded its limit within a window."""
    times_s = sorted(first_starts_s)
    allowed = (RATE_PER_S * WINDOW_S + BURST) * EXCESS_FACTOR + SLACK_REQUESTS
    counts = [
        bisect.bisect_left(times_s, start_s + WINDOW_S) - index
        for index, start_s in enumerate(times_s)
    ]
    highest = max(counts, default=0)
    return (
        [f"rate limit exceeded: {highest} runs, limit {allowed}"]
        if highest > allowed
        else []
    )


def first_starts_s(runs) -> list[float]:
    """Return the start time of each request of the limited organisation."""
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run.organisation == LIMITED and "." not in run.request_id:
            starts[run.request_id].append(run.started_s)
    return [min(times_s) for times_s in starts.values()]
