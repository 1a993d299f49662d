"""Where requests go: the emptiest, nearest, soundest and fastest instance."""

import random
from collections import Counter
from dataclasses import replace

from sassafraswinch_sidecar.placement import (
    PeerLoad,
    Placement,
    RelativeLatencyMeter,
    RunningMeans,
)
from sidecar_standins.instances import new_instance


def new_placement(loads, own_ip="10.0.0.99", seed=3):
    return Placement(
        own_ip=own_ip,
        availability_zone="brno-a",
        load_of=loads.get,
        cold_left_ms=lambda found, now_ms: found.cold_ms,
        rng=random.Random(seed),
    )


def choices(loads, instances, count=200, **options):
    placement = new_placement(loads, **options)
    chosen = Counter()
    for _ in range(count):
        found = placement.choose_instance(instances, (), 0.0)
        chosen[found.id if found else None] += 1
    return chosen


def loads_of(instances, **fields):
    return {found.ip: PeerLoad(limit=60, **fields) for found in instances}


def test_unreachable_leaving_and_dead_instances_get_nothing():
    found = [new_instance(n) for n in range(1, 5)]
    loads = loads_of(found)
    del loads["10.0.0.1"]
    loads["10.0.0.2"].leaving = True
    loads["10.0.0.3"].limit = 0
    assert choices(loads, found) == {"i-4": 200}
    assert choices({}, found) == {None: 200}


def test_own_zone_is_used_until_it_is_clearly_fuller():
    near, far = new_instance(1), new_instance(2, zone="brno-b")
    loads = loads_of([near, far])
    loads[near.ip].in_flight = 10
    assert choices(loads, [near, far]) == {"i-1": 200}
    loads[near.ip].in_flight = 40
    assert choices(loads, [near, far]) == {"i-2": 200}


def test_long_answers_stay_in_the_zone_while_its_server_has_room():
    """Order lookups with answers of 5 KB cross to another zone whose server is a bit
    emptier, though the own one has half of its slots free: bytes between zones for no
    gain. A full one still gives way.
    """
    near, far = new_instance(1), new_instance(2, zone="brno-b")
    loads = loads_of([near, far])
    placement = new_placement(loads)
    loads[near.ip].in_flight = 24
    assert placement.choose_instance([near, far], (), 0.0, 5_000.0) is near
    assert placement.choose_instance([near, far], (), 0.0, 0.0) is far
    loads[near.ip].in_flight = 58
    assert placement.choose_instance([near, far], (), 0.0, 50_000.0) is far


def test_mean_length_of_answers_follows_them():
    sizes = RunningMeans()
    assert sizes.mean("r") == 0.0
    sizes.add_value("r", 1_000)
    assert sizes.mean("r") == 1_000.0
    for _ in range(400):
        sizes.add_value("r", 5_000)
    assert 4_900 < sizes.mean("r") <= 5_000


def test_requests_in_a_row_spread_before_a_new_report():
    """Reports come a few times a second. A sidecar that sent all requests of the
    meantime to the one that was emptiest would overrun it.
    """
    found = [new_instance(n) for n in range(1, 4)]
    loads = loads_of(found)
    placement = new_placement(loads)
    counts = Counter()
    for _ in range(90):
        chosen = placement.choose_instance(found, (), 0.0)
        loads[chosen.ip].sent_since_report += 1
        counts[chosen.id] += 1
    assert max(counts.values()) <= 40


def test_server_that_fails_half_of_its_requests_is_the_last_choice():
    """A server fails part of its requests and answers health checks well."""
    found = [new_instance(1), new_instance(2)]
    loads = loads_of(found)
    for number in range(30):
        loads["10.0.0.1"].record_result(failed=number % 2 == 0, now_ms=0.0)
    loads["10.0.0.2"].in_flight = 30
    assert choices(loads, found) == {"i-2": 200}


def test_failing_server_is_tried_again_after_a_while():
    load = PeerLoad(limit=60)
    for _ in range(30):
        load.record_result(failed=True, now_ms=0.0)
    assert load.recent_failure_rate(0.0) > 0.8
    assert load.recent_failure_rate(15_000.0) < 0.05


def test_server_five_times_slower_gets_less():
    """A server turns slow and has as many requests in flight as the others."""
    found = [new_instance(1), new_instance(2)]
    loads = loads_of(found, in_flight=20)
    meter = RelativeLatencyMeter()
    for _ in range(40):
        loads["10.0.0.1"].record_latency(meter.measure("r", 440.0), 0.0)
        for _ in range(3):
            loads["10.0.0.2"].record_latency(meter.measure("r", 88.0), 0.0)
    assert choices(loads, found)["i-2"] == 200
    assert loads["10.0.0.1"].recent_relative_latency(20_000.0) < 1.1


def test_slow_first_requests_do_not_make_all_later_ones_look_fast():
    """After a start the first requests are slow. Their time must not stay the mean for
    the next dozens: the one instance that was tried so far would look twice as fast as
    those that weren't, and get all requests until it is full.
    """
    meter = RelativeLatencyMeter()
    load = PeerLoad(limit=60)
    load.record_latency(meter.measure("r", 400.0), 0.0)
    for _ in range(30):
        load.record_latency(meter.measure("r", 40.0), 0.0)
    assert load.recent_relative_latency(0.0) > 0.8


def test_fast_instances_tried_first_do_not_outrank_untried_ones():
    """Guards against requests that all go to the first of some instances."""
    found = [new_instance(number) for number in (1, 2, 3)]
    for seed in range(200):
        loads = loads_of(found)
        placement = new_placement(loads, seed=seed)
        meter = RelativeLatencyMeter()
        chosen = set()
        for _ in range(30):
            instance = placement.choose_instance(found, (), 0.0)
            chosen.add(instance.id)
            loads[instance.ip].record_latency(meter.measure("r", 0.4), 0.0)
        assert chosen == {"i-1", "i-2", "i-3"}


def test_cold_instance_is_spared_but_not_left_out():
    warm, cold = new_instance(1), new_instance(2, cold_ms=2_000.0)
    loads = loads_of([warm, cold])
    assert choices(loads, [warm, cold]) == {"i-1": 200}
    loads[warm.ip].in_flight = 45
    assert choices(loads, [warm, cold]) == {"i-2": 200}


def test_server_that_starts_again_under_its_id_isnt_avoided_for_what_it_was():
    """A server that failed every request is started anew under the id that it had. It
    would get no work for seconds, while the others run at their limit.
    """
    first, other = new_instance(1), new_instance(2)
    loads = loads_of([first, other])
    placement = new_placement(loads)
    loads[other.ip].in_flight = 20
    placement.choose_instance([first, other], (), 0.0)
    for _ in range(50):
        loads[first.ip].record_result(failed=True, now_ms=0.0)
        loads[first.ip].record_latency(4.0, 0.0)
    assert placement.choose_instance([first, other], (), 0.0) is other
    again = replace(first, incarnation=2)
    assert placement.choose_instance([again, other], (first.identity,), 0.0) is again


def test_large_service_is_compared_in_the_own_zone_and_beyond():
    """A service has ninety servers, a fifth of them in the own zone. Ten drawn by
    chance have none of the own zone in one draw of ten, and answers cross between zones
    that needn't; drawn from the own zone alone, a full zone would stay full.
    """
    near = [new_instance(n) for n in range(1, 19)]
    far = [new_instance(n, zone="brno-b") for n in range(19, 91)]
    loads = loads_of([*near, *far])
    own = {found.id for found in near}
    assert choices(loads, [*near, *far]).keys() <= own
    for found in near:
        loads[found.ip].in_flight = 58
    assert not choices(loads, [*near, *far]).keys() & own


def test_entries_that_were_told_the_same_dont_all_choose_the_same_server():
    """All entries of a zone are told the loads at once. If each compared all servers,
    the emptiest would get the requests of all of them until the next word.
    """
    found = [new_instance(n) for n in range(1, 19)]
    loads = loads_of(found, in_flight=20)
    loads["10.0.0.1"].in_flight = 5
    assert choices(loads, found)["i-1"] < 200 * 0.75
