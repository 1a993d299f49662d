"""Tests of the zone's peers that can be relied on to follow the platform."""

import pytest

from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.relay_protocol.ttypes import ServerLoad
from sassafraswinch_sidecar.zone_peers import ZonePeers

OWN_IP = "10.0.0.1"


class StubFleet:
    """A fleet of four hosts in this zone and one in another."""

    def hosts_of(self, availability_zone):
        return {
            "brno-a": [f"10.0.0.{number}" for number in (1, 2, 3, 4)],
            "brno-b": ["10.0.0.9"],
        }[availability_zone]


@pytest.fixture
def loads():
    return {}


@pytest.fixture
def peers(loads):
    view = FleetView(own_ip=OWN_IP)
    for number in (2, 3, 9):
        view.record_load(f"10.0.0.{number}", ServerLoad(0, 0, 8), 0.0)
    return ZonePeers(
        own_ip=OWN_IP,
        availability_zone="brno-a",
        fleet=StubFleet(),
        view=view,
        load_of=loads.get,
    )


def test_reachable_peers_of_the_zone_that_are_not_leaving_are_relied_on(peers, loads):
    loads["10.0.0.2"] = PeerLoad(following=True)
    loads["10.0.0.3"] = PeerLoad(following=True, leaving=True)
    loads["10.0.0.9"] = PeerLoad(following=True)
    assert peers.following_by_peer() == {"10.0.0.2": True, "10.0.0.4": False}


def test_reported_host_that_cannot_be_reached_is_excluded(peers):
    """A watcher loses power. If it were still counted, the zone would receive no
    changes until its registration expires.
    """
    assert peers.following_by_peer() == {"10.0.0.4": False}


def test_hosts_that_have_not_been_reported_yet_count_as_peers(peers):
    """All hosts start at once and know each other only by their registrations. If each
    counted itself as the only one, all of them would follow the platform.
    """
    peers._view = FleetView(own_ip=OWN_IP)
    assert peers.following_by_peer() == dict.fromkeys(
        ["10.0.0.2", "10.0.0.3", "10.0.0.4"], False
    )
