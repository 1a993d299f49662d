"""Time budget of a change while the followers of all zones are cut from the store."""

import pytest

from sassafraswinch_sidecar.fleet_exchange import MIN_ROUND_PAUSE_S
from sassafraswinch_sidecar.platform_reader import (
    BURST_PAUSE_S,
    FIRST_WATCH_TIMEOUT_MS,
    WATCH_OVERDUE_MS,
    WATCH_TIMEOUT_MS,
    WATCHER_TAKEOVER_STEP_MS,
    WATCHERS_PER_ZONE,
)
from sassafraswinch_sidecar.zone_role import ZoneRole

AIM_MS = 1_500.0
"""Part of the two seconds that is planned; the rest is for a loaded machine."""

CALL_MS = 8.0
"""A call to the store with its connection: 4 ms an answer."""

LINK_MS = 3.0
"""A message between hosts, or the request for what the sender has."""

HOSTS_PER_ZONE = [4, 26, 100]
"""Zones of deployments with 10, 78 and 300 hosts."""


def takeover_ms(hosts: int) -> float:
    """Return the delay of the last sidecar of a zone, while no other takes over."""
    ips = [f"10.0.0.{number:03}" for number in range(hosts)]
    role = ZoneRole(
        own_ip=ips[-1],
        active_sidecars=WATCHERS_PER_ZONE,
        step_ms=WATCHER_TAKEOVER_STEP_MS,
    )
    role.update_role(dict.fromkeys(ips[:-1], False), 0.0)
    return role.takeover_ms or 0.0


def announcement_ms(zones: int) -> float:
    """Return the time until a change is known in so many zones, one after the other.

    The aggregator of each zone runs a round; hosts then request what they lack.
    """
    return zones * (MIN_ROUND_PAUSE_S * 1000 + 3 * LINK_MS)


@pytest.mark.parametrize("hosts", HOSTS_PER_ZONE)
def test_change_is_in_force_in_time_when_all_followers_are_cut(hosts):
    """Guards against times that are each short enough, and too long together."""
    unnoticed_ms = BURST_PAUSE_S[1] * 1000 + WATCH_TIMEOUT_MS + WATCH_OVERDUE_MS
    read_ms = FIRST_WATCH_TIMEOUT_MS + 2 * CALL_MS
    total_ms = (
        unnoticed_ms
        + announcement_ms(zones=1)
        + takeover_ms(hosts)
        + read_ms
        + announcement_ms(zones=2)
    )
    assert total_ms <= AIM_MS
