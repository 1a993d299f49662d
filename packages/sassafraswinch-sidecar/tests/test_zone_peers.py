"""Which sidecars of the zone can be relied on to follow the platform."""

import pytest

from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.relay_protocol.ttypes import ServerLoad
from sassafraswinch_sidecar.zone_peers import ZonePeers

OWN_IP = "10.0.0.1"


class Hosts:
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
        fleet=Hosts(),
        view=view,
        load_of=loads.get,
    )


def test_reachable_peers_of_the_zone_that_stay_are_relied_on(peers, loads):
    loads["10.0.0.2"] = PeerLoad(following=True)
    loads["10.0.0.3"] = PeerLoad(following=True, leaving=True)
    loads["10.0.0.9"] = PeerLoad(following=True)
    assert peers.following_by_peer() == {"10.0.0.2": True, "10.0.0.4": False}


def test_host_that_was_told_of_and_is_out_of_reach_is_left_out(peers):
    """A watcher loses power. Whoever still counted it would leave the zone without
    news until its entry expires.
    """
    assert peers.following_by_peer() == {"10.0.0.4": False}


def test_hosts_that_nobody_has_told_of_yet_count_as_peers(peers):
    """All hosts start at once and know each other by the platform's list alone. If
    each took itself for the only one, all of them would follow the platform.
    """
    peers._view = FleetView(own_ip=OWN_IP)
    assert peers.following_by_peer() == dict.fromkeys(
        ["10.0.0.2", "10.0.0.3", "10.0.0.4"], False
    )
