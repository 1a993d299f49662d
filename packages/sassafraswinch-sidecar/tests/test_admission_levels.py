"""Tests of the admission levels of root requests."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar import admission_levels
from sassafraswinch_sidecar.admission_levels import LEVELS, AdmissionLevels
from sassafraswinch_sidecar.server_pace import ServerPace

MAX_DEVIATION = 3
"""Requests by which any run may be admitted beyond or short of its share: less than the
two that a server keeps room for, and one for rounding."""

LIMIT_PER_S, SERVERS = 5.0, 3
PLANNED_SHARE = 0.9
"""Share of rate limits that admission plans for."""

MIN_USED_SHARE = 0.8
"""Share of a limit that must be used while there is demand."""

WINDOW_S = 5


@settings(derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 1_000),
    share=st.floats(0.0, 1.0),
    skipped=st.integers(0, 5_000),
    length=st.integers(1, 1_000),
)
def test_any_run_of_requests_is_admitted_in_proportion(seed, share, skipped, length):
    """Guards against levels whose admitted number varies by its square root."""
    levels = AdmissionLevels(rng=random.Random(seed))
    drawn = [levels.draw("orders") for _ in range(skipped + length)][skipped:]
    admitted = sum(level < share * LEVELS for level in drawn)
    assert abs(admitted - share * length) <= MAX_DEVIATION


def test_classes_draw_their_levels_independently():
    """Guards against a class that is refused because others draw the low levels."""
    levels = AdmissionLevels(rng=random.Random(1))
    drawn = {"orders": [], "prices": []}
    for number in range(3_000):
        name = "prices" if number % 3 == 2 else "orders"
        drawn[name].append(levels.draw(name))
    for found in drawn.values():
        admitted = sum(level < LEVELS // 4 for level in found)
        assert abs(admitted - len(found) / 4) <= MAX_DEVIATION


def test_forgotten_classes_do_not_fill_the_memory(monkeypatch):
    """Guards against classes of former routes that are kept for ever."""
    monkeypatch.setattr(admission_levels, "MAX_CLASSES", 10)
    levels = AdmissionLevels(rng=random.Random(1))
    for number in range(100):
        levels.draw(f"route-{number}")
    assert len(levels._positions) <= 10


def used_shares(per_s, seed, ingress_hosts=4):
    """Send requests to servers with rate limits; return the used share of each window.

    Each ingress host admits the planned share. The first server that may start a
    request runs it, and none waits.
    """
    rng = random.Random(seed)
    sources = [AdmissionLevels(rng=rng) for _ in range(ingress_hosts)]
    paces = [ServerPace() for _ in range(SERVERS)]
    for pace in paces:
        pace.set_limit(LIMIT_PER_S, 0.0)
    allowed_per_s = LIMIT_PER_S * SERVERS
    share = PLANNED_SHARE * allowed_per_s / per_s
    used = [0] * 20
    for number in range(per_s * WINDOW_S * len(used)):
        now_ms = 1000.0 * number / per_s
        level = sources[number % ingress_hosts].draw("orders")
        free = (pace for pace in paces if pace.allows_start(now_ms))
        if level < share * LEVELS and (pace := next(free, None)) is not None:
            pace.record_start()
            used[number // (per_s * WINDOW_S)] += 1
    return [count / (allowed_per_s * WINDOW_S) for count in used]


def test_rate_limits_are_used_in_each_window():
    """Guards against seconds in which a limit goes unused though demand is there."""
    shares = [share for seed in range(20) for share in used_shares(120, seed)]
    assert min(shares) >= MIN_USED_SHARE
