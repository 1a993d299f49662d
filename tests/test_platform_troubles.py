"""Tests of zones that follow a store in trouble of each kind, on a paused clock."""

import itertools

import pytest
from platform_zones import (
    APPLY_S,
    Sidecar,
    Store,
    assert_changes_in_force,
    new_zones,
    now_s,
    run_zones,
)

from sassafraswinch_platform.store import CALL_TIMEOUT_S

pytestmark = pytest.mark.looptime

SIZES = [1, 5, 26, 100]
"""Numbers of sidecars in a zone."""

STARTS_S = [5.0 + 0.17 * step for step in range(4)]
"""Times at which the trouble begins, at several phases of the follower's watch."""

LASTS_S = [1.2, 2.3, 4.5]
"""Lengths of an outage."""

MAX_GAP_S = 0.5
"""Longest time without a call of any sidecar of a zone: a quarter of ``APPLY_S``."""

LONE_GAP_S = 1.5
"""The same for a sidecar that is alone, whose calls are each billed."""

MAX_CALLS_PER_S = 10.0
"""Calls of a zone, after the first second, while no call succeeds."""


async def run_trouble(
    size: int, store: Store, *, until_s: float, zones: int = 1
) -> list[Sidecar]:
    fleet = new_zones(store, zones=zones, count=size)
    await run_zones(fleet, until_s=until_s)
    return list(itertools.chain.from_iterable(fleet))


def call_times_s(zone: list[Sidecar], start_s: float, end_s: float) -> list[float]:
    """Return the times at which sidecars of a zone called the store, within a time."""
    calls_s = itertools.chain.from_iterable(each.client.calls_s for each in zone)
    return sorted(at_s for at_s in calls_s if start_s <= at_s <= end_s)


def longest_gap_s(calls_s: list[float], start_s: float, end_s: float) -> float:
    edges_s = [start_s, *calls_s, end_s]
    return max(later - earlier for earlier, later in itertools.pairwise(edges_s))


@pytest.mark.parametrize("size", SIZES)
async def test_change_that_deaf_watches_miss_is_in_force_in_time(size):
    """Guards against a zone that watches a store whose watches hear nothing, and then
    pauses for seconds, though reads are answered.
    """
    for after_start_s in STARTS_S:
        start_s = now_s() + after_start_s
        changes_s = [start_s + after_s for after_s in (0.1, 0.4, 0.9)]
        store = Store(changes_s=changes_s, deaf_s=[(start_s, start_s + 1.25)])
        zone = await run_trouble(size, store, until_s=start_s + 8.0)
        assert_changes_in_force(zone, store)


@pytest.mark.parametrize("kind", ["silent_s", "refusing_s", "losing_s"])
@pytest.mark.parametrize("size", SIZES)
async def test_change_of_an_outage_is_in_force_soon_after_it(size, kind):
    """Guards against a zone in which all sidecars fail at once and then all pause."""
    for after_start_s, lasts_s in itertools.product(STARTS_S, LASTS_S):
        start_s = now_s() + after_start_s
        end_s = start_s + lasts_s
        store = Store(changes_s=[end_s - 0.5], **{kind: [(start_s, end_s)]})
        zone = await run_trouble(size, store, until_s=end_s + 8.0)
        assert_changes_in_force(zone, store, within_s=APPLY_S + 0.5)


@pytest.mark.parametrize("kind", ["silent_s", "refusing_s"])
@pytest.mark.parametrize("size", SIZES)
async def test_zone_calls_an_unreachable_store_steadily(size, kind):
    """Guards against pauses that grow with the zone and leave it without any call, and
    against calls that grow with the zone.
    """
    start_s, end_s = STARTS_S[1] + 1.0, STARTS_S[1] + 21.0
    store = Store(changes_s=[], **{kind: [(STARTS_S[1], end_s)]})
    zone = await run_trouble(size, store, until_s=end_s)
    calls_s = call_times_s(zone, start_s, end_s)
    gap_s = LONE_GAP_S + CALL_TIMEOUT_S if size == 1 else MAX_GAP_S
    assert longest_gap_s(calls_s, start_s, end_s) <= gap_s
    settled_s = [at_s for at_s in calls_s if at_s >= start_s + 1.0]
    assert len(settled_s) <= MAX_CALLS_PER_S * (end_s - start_s)
