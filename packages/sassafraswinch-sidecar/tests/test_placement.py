"""Tests of placement by load, zone, failure rate and latency."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from sassafraswinch_sidecar.placement import (
    PeerLoad,
    Placement,
    RelativeLatencyMeter,
    RunningMeans,
    capacities_of,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import NoticeReport, ServerLoad
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


def test_unreachable_leaving_and_down_instances_get_no_requests():
    found = [new_instance(n) for n in range(1, 5)]
    loads = loads_of(found)
    del loads["10.0.0.1"]
    loads["10.0.0.2"].leaving = True
    loads["10.0.0.3"].limit = 0
    assert choices(loads, found) == {"i-4": 200}
    assert choices({}, found) == {None: 200}


def test_own_zone_is_preferred_until_it_is_clearly_fuller():
    near, far = new_instance(1), new_instance(2, zone="brno-b")
    loads = loads_of([near, far])
    loads[near.ip].in_flight = 10
    assert choices(loads, [near, far]) == {"i-1": 200}
    loads[near.ip].in_flight = 40
    assert choices(loads, [near, far]) == {"i-2": 200}


def test_long_answers_stay_in_the_zone_while_its_server_has_room():
    """Order lookups have answers of 5 KB. The server in another zone is slightly less
    loaded, but the one in the own zone has half of its slots free: crossing would cause
    traffic between zones for no gain. A full server in the own zone still gets none.
    """
    near, far = new_instance(1), new_instance(2, zone="brno-b")
    loads = loads_of([near, far])
    placement = new_placement(loads)
    loads[near.ip].in_flight = 24
    assert placement.choose_instance([near, far], (), 0.0, 5_000.0) is near
    assert placement.choose_instance([near, far], (), 0.0, 0.0) is far
    loads[near.ip].in_flight = 58
    assert placement.choose_instance([near, far], (), 0.0, 50_000.0) is far


def test_running_mean_follows_its_values():
    sizes = RunningMeans()
    assert sizes.mean("r") == 0.0
    sizes.add_value("r", 1_000)
    assert sizes.mean("r") == 1_000.0
    for _ in range(400):
        sizes.add_value("r", 5_000)
    assert 4_900 < sizes.mean("r") <= 5_000


def test_requests_in_a_row_spread_before_a_new_report():
    """Reports arrive a few times a second. A sidecar that sent all requests between two
    reports to the least loaded instance would overload it.
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
    """A server fails some of its requests while its health checks succeed."""
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


def test_server_five_times_slower_gets_fewer_requests():
    """A server becomes slow and has as many requests in flight as the others."""
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
    """After a start the first requests are slow. Their latency must not remain the mean
    for the next dozens: the only instance tried so far would look twice as fast as the
    others, and get all requests until it is full.
    """
    meter = RelativeLatencyMeter()
    load = PeerLoad(limit=60)
    load.record_latency(meter.measure("r", 400.0), 0.0)
    for _ in range(30):
        load.record_latency(meter.measure("r", 40.0), 0.0)
    assert load.recent_relative_latency(0.0) > 0.8


def test_fast_instances_tried_first_do_not_outrank_untried_ones():
    """Guards against all requests going to the first of several instances."""
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


def test_cold_instance_gets_fewer_requests_but_not_none():
    warm, cold = new_instance(1), new_instance(2, cold_ms=2_000.0)
    loads = loads_of([warm, cold])
    assert choices(loads, [warm, cold]) == {"i-1": 200}
    loads[warm.ip].in_flight = 45
    assert choices(loads, [warm, cold]) == {"i-2": 200}


def test_server_restarted_under_its_id_is_not_avoided_for_former_failures():
    """A server that failed every request is restarted under the same id. It would get
    no requests for seconds, while the others run at their limit.
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


def test_large_service_is_sampled_in_the_own_zone_and_in_others():
    """A service has ninety servers, a fifth of them in the own zone. One in ten random
    samples of ten would hold none of the own zone, and answers would cross zones
    needlessly; with samples from the own zone only, a full zone would stay full.
    """
    near = [new_instance(n) for n in range(1, 19)]
    far = [new_instance(n, zone="brno-b") for n in range(19, 91)]
    loads = loads_of([*near, *far])
    own = {found.id for found in near}
    assert choices(loads, [*near, *far]).keys() <= own
    for found in near:
        loads[found.ip].in_flight = 58
    assert not choices(loads, [*near, *far]).keys() & own


def test_sidecars_with_the_same_loads_dont_all_choose_the_same_server():
    """All sidecars of a zone receive the same loads at once. If each compared all
    servers, the least loaded would get all their requests until the next report.
    """
    found = [new_instance(n) for n in range(1, 19)]
    loads = loads_of(found, in_flight=20)
    loads["10.0.0.1"].in_flight = 5
    assert choices(loads, found)["i-1"] < 200 * 0.75


def limited_load(instance_id, limit_per_s, *, wait_ms=0, stamp=1, incarnation=0):
    """Return the report of a server with a rate limit."""
    notice = NoticeReport(
        instance_id=instance_id,
        stamp=stamp,
        rate_limit_per_s=limit_per_s,
        incarnation=incarnation,
    )
    return ServerLoad(0, 0, 60, notice, wait_ms, 200_000)


def test_server_whose_rate_limit_would_delay_too_long_is_not_chosen():
    """Guards against requests that learn from a refusal that a limit is used up."""
    limited, other = new_instance(1), new_instance(2)
    loads = loads_of([limited, other])
    loads[other.ip].in_flight = 50
    loads[limited.ip].apply_report(limited_load("i-1", 5.0, wait_ms=150), 0.0)
    placement = new_placement(loads)

    def chosen(max_wait_ms, now_ms=0.0):
        return placement.choose_instance(
            [limited, other], (), now_ms, max_rate_wait_ms=max_wait_ms
        ).id

    assert chosen(100.0) == "i-2"
    assert chosen(100.0, now_ms=140.0) == "i-1"
    # Each request that was sent since takes a start of the limit.
    loads[limited.ip].sent_since_report = 1
    assert chosen(100.0, now_ms=140.0) == "i-2"
    assert chosen(100.0, now_ms=340.0) == "i-1"


def test_successor_at_the_address_does_not_inherit_the_limit():
    load = PeerLoad()
    load.apply_report(limited_load("i-1", 0.4), 0.0)
    assert load.rate_limit_of("i-1") == 0.4
    assert load.rate_limit_of("i-2") is None


def test_next_lifetime_under_the_same_id_does_not_inherit_the_limit():
    """Guards against a limit that outlasts its lifetime where ids are kept."""
    load = PeerLoad()
    load.apply_report(limited_load("i-1", 0.4, incarnation=1), 0.0)
    assert load.rate_limit_of("i-1", 1) == 0.4
    assert load.rate_limit_of("i-1", 2) is None
    assert load.notice_of("i-1", 2) is None


def test_older_notice_does_not_replace_a_newer_one():
    """Guards against a limit that depends on the order in which reports arrive."""
    load = PeerLoad()
    load.apply_report(limited_load("i-1", 3.0, stamp=7), 0.0)
    load.apply_report(limited_load("i-1", 12.4, stamp=5), 1.0)
    assert load.rate_limit_of("i-1") == 3.0
    load.apply_report(limited_load("i-1", None, stamp=9), 2.0)
    assert load.rate_limit_of("i-1") is None


def test_report_of_a_restarted_sidecar_does_not_end_a_limit():
    load = PeerLoad()
    load.apply_report(limited_load("i-1", 3.0), 0.0)
    load.apply_report(ServerLoad(0, 0, 60), 1.0)
    assert load.rate_limit_of("i-1") == 3.0


def test_shortest_wait_is_known_if_all_servers_are_at_their_limits():
    found = [new_instance(1), new_instance(2)]
    loads = loads_of(found)
    placement = new_placement(loads)
    assert placement.shortest_rate_wait_ms(found, 0.0) is None
    loads[found[0].ip].apply_report(limited_load("i-1", 5.0, wait_ms=400), 0.0)
    loads[found[1].ip].apply_report(limited_load("i-2", 5.0, wait_ms=300), 0.0)
    assert placement.shortest_rate_wait_ms(found, 100.0) == 200.0


@pytest.mark.parametrize(
    ("wait_ms", "used"), [(0, 1.0), (400, 1.0), (450, 1.5), (900, 2.0)]
)
def test_long_wait_at_a_limited_server_counts_as_its_backlog(wait_ms, used):
    """Two waiting requests are usual at a server of five a second."""
    limited = new_instance(1)
    loads = loads_of([limited])
    loads[limited.ip].apply_report(limited_load("i-1", 5.0, wait_ms=wait_ms), 0.0)
    loads[limited.ip].in_flight = 3
    capacity = capacities_of([limited], loads.get)["prehled"]
    assert (capacity.slots, capacity.used) == (1.0, used)


def test_capacity_of_a_limited_server_is_what_its_limit_keeps_in_use():
    limited, free = new_instance(1), new_instance(2)
    loads = loads_of([limited, free], in_flight=9)
    loads[limited.ip].apply_report(limited_load("i-1", 5.0), 0.0)
    loads[limited.ip].in_flight = 9
    capacity = capacities_of([limited, free], loads.get)["prehled"]
    # Five requests a second hold a slot for 0.2 s each.
    assert (capacity.slots, capacity.used) == (61.0, 10.0)
    assert capacity.paced_slots == 1.0
