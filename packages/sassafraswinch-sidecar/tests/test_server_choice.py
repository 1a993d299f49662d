"""Which server gets a request next, and that no more get it than its route allows."""

import random
from types import SimpleNamespace

from sassafraswinch_sidecar.placement import PeerLoad, Placement
from sassafraswinch_sidecar.server_choice import choose_server
from sidecar_standins.instances import new_instance

SERVERS = [new_instance(number) for number in range(1, 5)]


def new_placement(gone=()):
    loads = {found.ip: PeerLoad(limit=60) for found in SERVERS if found not in gone}
    return Placement(
        own_ip="10.0.0.99",
        availability_zone="brno-a",
        load_of=loads.get,
        cold_left_ms=lambda found, now_ms: 0.0,
        rng=random.Random(3),
    )


def new_relay(*, tried=(), offered_to=(), max_attempts=2):
    return SimpleNamespace(
        tried={found.identity for found in tried},
        offered_to={found.identity for found in offered_to},
        route=SimpleNamespace(max_attempts=max_attempts),
    )


def choose(relay, *, gone=()):
    return choose_server(new_placement(gone), relay, SERVERS, 0.0)


def test_servers_that_were_not_asked_yet_come_first():
    tried = SERVERS[:2]
    chosen = choose(new_relay(tried=tried, offered_to=tried[:1]))
    assert chosen in SERVERS[2:]


def test_request_that_had_all_its_servers_goes_to_one_of_them_again():
    """The deepest service refuses half of all it gets, unrun. A third server would be
    one more than the route allows; the two that refused may run it now.
    """
    offered_to = SERVERS[:2]
    for _ in range(20):
        assert choose(new_relay(tried=offered_to, offered_to=offered_to)) in offered_to


def test_server_that_refused_is_asked_again_where_there_is_no_other():
    relay = new_relay(tried=SERVERS, offered_to=SERVERS[:1])
    assert choose(relay) is SERVERS[0]


def test_sidecar_that_refused_before_its_server_is_not_asked_again():
    """All sidecars refused for their full queues, and no server ever got the request:
    its caller is told to come back.
    """
    assert choose(new_relay(tried=SERVERS)) is None


def test_nobody_is_chosen_where_the_servers_it_had_are_gone():
    offered_to = SERVERS[:2]
    relay = new_relay(tried=offered_to, offered_to=offered_to)
    assert choose(relay, gone=offered_to) is None
