"""Tests of zones whose store, or connections to it, go silent, on a paused clock."""

import asyncio
import itertools

import pytest
from platform_zones import (
    APPLY_S,
    Sidecar,
    Store,
    assert_changes_in_force,
    new_zones,
    now_s,
    run_zone,
    run_zones,
)

pytestmark = pytest.mark.looptime

STABLE_S = 3.0
"""Time after a disturbance from which changes must be in force in time."""

AIM_S = 1.5
"""Part of ``APPLY_S`` that is planned; the rest is for a loaded machine."""

SIDECARS = [1, 5, 24]
STARTS_S = [0.3 + 0.61 * step for step in range(12)]
"""Times after the start of the sidecars at which the store or connections go silent.
Within the first seconds every sidecar has just used its connection."""


FORMER_S = 5.0
PAUSES_S = [0.0, 0.02, 0.13, 0.29, 0.41, 0.66, 0.97, 1.4]
"""Time of a change, and times from it until followers are cut: in the pause after it,
at the start, in the middle and at the end of a watch."""

LARGE_ZONES = [(3, 26, 0.02), (3, 26, 0.66), (3, 100, 0.02)]
"""Numbers of zones and of sidecars in each, and one of the pauses."""


@pytest.mark.parametrize("sidecars", SIDECARS)
@pytest.mark.parametrize("lasts_s", [0.6, 2.1, 3.3, 7.0])
@pytest.mark.parametrize("start_s", STARTS_S)
async def test_call_in_the_last_moments_of_a_silent_outage_delays_no_change(
    sidecars, lasts_s, start_s
):
    """Guards against a zone that waits for an answer that was lost in the outage, or
    pauses after it, while changes are made.
    """
    end_s = start_s + lasts_s
    changes_s = [end_s + STABLE_S + after_s for after_s in (0.01, 1.0, 2.3)]
    store = Store(changes_s=changes_s, silent_s=[(start_s, end_s)])
    zone = await run_zone(sidecars, store, until_s=changes_s[-1] + APPLY_S + 0.5)
    assert_changes_in_force(zone, store)


@pytest.mark.parametrize("sidecars", SIDECARS)
@pytest.mark.parametrize("cut_s", STARTS_S)
async def test_connections_that_go_silent_for_good_delay_no_change(sidecars, cut_s):
    """Guards against a watch on a connection that nobody answers any more."""
    changes_s = [cut_s + STABLE_S + after_s for after_s in (0.01, 1.0, 2.3)]
    store = Store(changes_s=changes_s)
    until_s = changes_s[-1] + APPLY_S + 0.5
    zone = await run_zone(sidecars, store, cut_s=cut_s, until_s=until_s)
    assert_changes_in_force(zone, store)


@pytest.mark.parametrize("sidecars", [5, 24])
@pytest.mark.parametrize("cut_s", [4.0 + 0.37 * step for step in range(8)])
async def test_follower_that_is_cut_from_the_store_delays_no_change(sidecars, cut_s):
    """Guards against a zone that waits for its follower's watch while changes are made,
    though the other sidecars of the zone can reach the store.
    """
    changes_s = [cut_s + after_s for after_s in (0.01, 0.4, 1.2)]
    store = Store(changes_s=changes_s)
    until_s = changes_s[-1] + APPLY_S + 0.5
    zone = await run_zone(sidecars, store, cut_s=cut_s, until_s=until_s)
    assert_changes_in_force(zone, store)


@pytest.mark.parametrize("cut_per_zone", [1, 2, None], ids=["one", "two", "nearly-all"])
@pytest.mark.parametrize(
    "zones, count, pause_s",
    [*itertools.product([2], [5], PAUSES_S), *LARGE_ZONES],
)
async def test_followers_of_all_zones_cut_after_a_change_delay_no_change(
    zones, count, cut_per_zone, pause_s
):
    """Guards against zones that all wait for a follower that is cut off, whatever it
    did at that moment: a watch, or the pause after a change.
    """
    cut_s = FORMER_S + pause_s
    store = Store(changes_s=[FORMER_S, cut_s + 0.001, cut_s + 0.7])
    fleet = new_zones(store, zones=zones, count=count, seed=round(pause_s * 1000))

    async def cut_followers(fleet):
        await asyncio.sleep(cut_s - now_s())
        for zone in fleet:
            number = cut_per_zone or len(zone) - 1
            for sidecar in sorted(zone, key=follows_first)[:number]:
                sidecar.client.is_cut = True

    until_s = store.changes_s[-1] + APPLY_S + 0.5
    await run_zones(fleet, until_s=until_s, disturb=cut_followers)
    for zone in fleet:
        assert_changes_in_force(zone, store, within_s=AIM_S)


def follows_first(sidecar: Sidecar) -> tuple[bool, str]:
    """Return a sort key: the followers first, then by address."""
    return not sidecar.following, sidecar.ip
