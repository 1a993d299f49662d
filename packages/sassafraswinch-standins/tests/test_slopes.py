"""Tests of the arithmetic of cost measurements."""

import pytest

from sassafraswinch.messages import HeartbeatReply
from sassafraswinch_standins import slopes_links, slopes_sidecar, slopes_timing


def test_line_through_points_gives_intercept_and_slope():
    points = {7: 107.0, 14: 114.0, 56: 156.0}
    assert slopes_timing.fit_line(points) == pytest.approx((100.0, 1.0))


def test_core_percent():
    assert slopes_timing.core_percent(cost_us=250, times_per_s=40) == 1.0


def test_host_is_busy_above_half_of_the_cores():
    assert not slopes_timing.is_busy(6.0, 12)
    assert slopes_timing.is_busy(6.1, 12)


def test_bytes_of_an_idle_link_are_two_heartbeats_and_one_reply():
    heartbeat = slopes_links.frame_bytes(slopes_links.HEARTBEAT)
    reply = slopes_links.frame_bytes(HeartbeatReply(sequence=86_400))
    assert slopes_links.link_bytes_per_s() == 2 * heartbeat + reply


def test_sidecar_fleet_is_spread_over_zones_and_services():
    instances = slopes_sidecar.hosts(560)
    assert len({found.ip for found in instances}) == 560
    assert len({found.service for found in instances}) == slopes_sidecar.SERVICES
    assert len({found.availability_zone for found in instances}) == slopes_sidecar.ZONES
