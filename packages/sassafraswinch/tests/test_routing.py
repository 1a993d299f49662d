"""Tests of the router: host selection, back-off and use of load reports."""

import random
from collections import Counter

import pytest

from sassafraswinch.hosts import HostView
from sassafraswinch.messages import Load, Rank
from sassafraswinch.routing import (
    FIRST_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_LOAD_AGE_MS,
    Router,
)

from .utils.routing_bench import FLEETS, routers


def view(name, zone="brno-a", **fields):
    return HostView(name=name, service="archiv", availability_zone=zone, **fields)


@pytest.fixture
def router():
    return Router(availability_zone="brno-a", rng=random.Random(1))


def choices(router, hosts, *, now_ms=0.0, excluded=frozenset(), count=100):
    chosen = [
        router.choose(hosts, excluded=excluded, now_ms=now_ms) for _ in range(count)
    ]
    return Counter(host and host.name for host in chosen)


def test_leaving_unlinked_and_excluded_hosts_are_never_chosen(router):
    hosts = [view("a"), view("b", leaving=True), view("c", linked=False), view("d")]
    assert set(choices(router, hosts, excluded=frozenset({"d"}))) == {"a"}
    assert choices(router, hosts[1:3]) == {None: 100}


def test_own_zone_is_preferred_until_its_queue_delay_exceeds_the_network_delay(router):
    hosts = [view("near"), view("far", "brno-b")]
    assert set(choices(router, hosts)) == {"near"}
    router.record_load("near", Load(queue_delay_ms=1.0), 0.0)
    assert set(choices(router, hosts)) == {"near"}
    router.record_load("near", Load(queue_delay_ms=20.0), 0.0)
    assert set(choices(router, hosts)) == {"far"}
    router.record_load("far", Load(queue_delay_ms=19.0), 0.0)
    assert set(choices(router, hosts)) == {"near"}
    assert set(choices(router, hosts, now_ms=MAX_LOAD_AGE_MS + 1)) == {"near"}


def test_failed_host_backs_off_and_is_probed_by_one_call_at_a_time(router):
    """A host stops answering, then recovers.

    It must get no more calls at once, a single probe after the back-off, and all
    calls again after the answer to the probe.
    """
    hosts = [view("a"), view("b")]
    router.record_answer("b", 10.0, None, 0.0)
    router.record_sent("a", 0.0)
    router.record_abandoned("a")
    router.record_failure("a", 0.0)
    assert set(choices(router, hosts)) == {"b"}
    later_ms = FIRST_BACKOFF_MS * 1.5
    assert choices(router, hosts, now_ms=later_ms)["a"] > 0
    router.record_sent("a", later_ms)
    assert set(choices(router, hosts, now_ms=later_ms)) == {"b"}
    router.record_answer("a", 10.0, None, later_ms)
    assert choices(router, hosts, now_ms=later_ms)["a"] > 0


def test_back_off_is_bounded_and_a_host_is_chosen_when_all_are_in_back_off(router):
    for _ in range(20):
        router.record_failure("a", 0.0)
    router.record_failure("b", 0.0)
    assert set(choices(router, [view("a"), view("b")])) == {"b"}
    late_ms = MAX_BACKOFF_MS * 1.5
    assert choices(router, [view("a"), view("b")], now_ms=late_ms)["a"] > 0


def test_host_with_lower_latency_is_preferred_at_equal_load(router):
    router.record_answer("slow", 150.0, Load(in_flight=10, limit=60), 0.0)
    router.record_answer("fast", 30.0, Load(in_flight=10, limit=60), 0.0)
    assert set(choices(router, [view("slow"), view("fast")])) == {"fast"}


def test_new_host_is_not_flooded_before_its_first_answer(router):
    """A new host without latency samples starts beside one that takes 100 ms."""
    router.record_answer("known", 100.0, None, 0.0)
    for _ in range(100):
        host = router.choose(
            [view("known"), view("new")], excluded=frozenset(), now_ms=0.0
        )
        router.record_sent(host.name, 0.0)
    assert 40 <= router._hosts["new"].outstanding <= 60


def test_refusal_is_not_counted_as_latency(router):
    """A host refuses all calls within a millisecond.

    Counted as latency, its refusals would make it appear the fastest host, and it
    would get all calls.
    """
    router.record_answer("full", 100.0, None, 0.0)
    for _ in range(50):
        router.record_answer("full", None, Load(), 0.0)
    router.record_answer("fine", 30.0, Load(), 0.0)
    assert set(choices(router, [view("full"), view("fine")])) == {"fine"}


@pytest.mark.parametrize("fleet", FLEETS[2:], ids=lambda fleet: fleet.name)
def test_slow_or_full_hosts_reduce_no_goodput(fleet):
    """One host becomes five times slower, or a zone is offered more than it can serve.

    The other hosts have the capacity for all calls, so 99% must be answered in time.
    """
    figures = fleet.run(routers(Router, 0), 0)
    assert figures.good_percent >= 99


def test_host_without_threshold_admits_lower_classes_while_it_has_no_queue(router):
    """A paying call is refused by one host, and the owner selects another.

    A host that reports no threshold has free capacity unless calls are queued.
    """
    paying = Rank(0, 5)
    assert not router.admits_below("unheard", paying, 0.0)
    router.record_load("free", Load(), 0.0)
    router.record_load("full", Load(queue_delay_ms=5.0), 0.0)
    router.record_load("trial too", Load(threshold=Rank(1, 3)), 0.0)
    router.record_load("paying only", Load(threshold=Rank(0, 90)), 0.0)
    admitting = {
        host: router.admits_below(host, paying, 0.0)
        for host in ("free", "full", "trial too", "paying only")
    }
    assert admitting == {
        "free": True,
        "full": False,
        "trial too": True,
        "paying only": False,
    }
    assert not router.admits_below("free", paying, MAX_LOAD_AGE_MS + 1)
