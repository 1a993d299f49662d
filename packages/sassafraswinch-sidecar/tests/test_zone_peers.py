"""Which sidecars of the zone can be relied on, and who of them is told."""

from dataclasses import replace

import pytest

from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.zone_peers import ZonePeers
from sidecar_standins.instances import new_instance

OWN_IP = "10.0.0.1"


class Link:
    """An accepted link."""

    def __init__(self, peer_ip):
        self.peer_ip = peer_ip
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Links:
    """Links with the loads that peers told; those without one can't be reached."""

    def __init__(self):
        self.loads = {}
        self.accepted = [Link(f"10.0.0.{number}") for number in (2, 3, 9)]

    def load_of(self, ip):
        return self.loads.get(ip)


class Hosts:
    """A fleet of four hosts in this zone and one in another."""

    def __init__(self):
        here = [new_instance(number, "brno-a") for number in (1, 2, 3, 4)]
        self.instances = {
            found.id: found for found in [*here, new_instance(9, "brno-b")]
        }


@pytest.fixture
def links():
    return Links()


@pytest.fixture
def peers(links):
    return ZonePeers(
        own_ip=OWN_IP, availability_zone="brno-a", fleet=Hosts(), links=links
    )


def test_only_reachable_peers_of_the_zone_that_stay_are_relied_on(peers, links):
    follower = PeerLoad(following=True)
    links.loads = {
        "10.0.0.2": follower,
        "10.0.0.3": PeerLoad(),
        "10.0.0.4": replace(follower, leaving=True),
        "10.0.0.9": follower,
    }
    assert peers.following() == {"10.0.0.2": True, "10.0.0.3": False}


def test_peers_of_other_zones_are_told_nothing(peers, links):
    peers.tell("news")
    assert [link.sent for link in links.accepted] == [["news"], ["news"], []]
