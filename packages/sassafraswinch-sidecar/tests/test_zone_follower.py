"""Tests of when a sidecar takes over following the platform, on a paused clock."""

import asyncio

import pytest

from sassafraswinch_sidecar.zone_follower import ZoneFollower
from sassafraswinch_sidecar.zone_role import ZoneRole

pytestmark = pytest.mark.looptime

STEP_MS = 50.0


class Zone:
    """The peers of the third sidecar of a zone, and when it had to follow."""

    def __init__(self):
        self.peers = {"10.0.0.1": True, "10.0.0.2": False}
        self.active_s: list[float] = []
        role = ZoneRole(own_ip="10.0.0.3", active_sidecars=1, step_ms=STEP_MS)
        self.follower = ZoneFollower(
            role=role,
            following_by_peer=lambda: self.peers,
            on_active=lambda: self.active_s.append(now_s()),
        )

    def change(self, ip, following):
        """Change the state of a peer."""
        self.peers[ip] = following
        self.follower.update()


def now_s():
    return asyncio.get_running_loop().time()


async def test_sidecar_takes_over_by_time_without_a_further_update():
    """Guards against a takeover that waits for the next periodic decision."""
    zone = Zone()
    zone.change("10.0.0.1", False)
    await asyncio.sleep(1.0)
    assert zone.active_s[0] == pytest.approx(2 * STEP_MS / 1000, abs=0.002)


async def test_sidecar_stands_by_when_a_peer_takes_over_first():
    zone = Zone()
    zone.change("10.0.0.1", False)
    await asyncio.sleep(STEP_MS / 1000)
    zone.change("10.0.0.2", True)
    await asyncio.sleep(1.0)
    assert zone.active_s == []


async def test_closed_follower_takes_no_role():
    zone = Zone()
    zone.change("10.0.0.1", False)
    zone.follower.close()
    await asyncio.sleep(1.0)
    assert zone.active_s == []
