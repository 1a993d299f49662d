"""Tests of ingress admission, replayed against loads on a simulated clock."""

import random
from collections import Counter

import pytest

from sassafraswinch.capacity_shares import Claim
from sassafraswinch_sidecar.ingress_admission import (
    INTERVAL_MS,
    LEVELS,
    Capacity,
    IngressAdmission,
    merge_claims,
)

APPROVE, STATUS, HISTORY = "approve", "status", "history"
PRIORITIES = {APPROVE: 0, STATUS: 1, HISTORY: 2}
SLOT_MS = {
    APPROVE: {"schvaleni": 400.0, "prehled": 440.0},
    STATUS: {"prehled": 88.0},
    HISTORY: {"archiv": 500.0, "prehled": 220.0},
}
SLOTS = {"archiv": 600.0, "schvaleni": 500.0, "prehled": 180.0}


def simulate(
    rates_per_s, *, sidecar_count=4, seconds=10.0, slots=SLOTS, slot_ms=SLOT_MS
):
    """Send requests to ingress sidecars that share their demand.

    Returns:
        The share of requests admitted in the second half, by route, and the slots that
        the admitted ones use at each service.
    """
    rng = random.Random(7)
    sidecars = [IngressAdmission(rng=random.Random(1)) for _ in range(sidecar_count)]
    offered, admitted, used = Counter(), Counter(), Counter()
    steps = int(seconds * 1000 / INTERVAL_MS)
    for step in range(steps):
        now_ms = step * INTERVAL_MS
        in_use = Counter()
        for name, rate in rates_per_s.items():
            for _ in range(round(rate * INTERVAL_MS / 1000)):
                admission = rng.choice(sidecars)
                admission.record_arrival(name, PRIORITIES[name])
                level = rng.randrange(LEVELS)
                passed = admission.find_blocking_service(name, level) is None
                if passed:
                    admission.record_completed_cost(name, slot_ms[name], now_ms)
                    for service, time_ms in slot_ms[name].items():
                        in_use[service] += time_ms / INTERVAL_MS
                if step > steps / 2:
                    offered[name] += 1
                    admitted[name] += passed
        used += Counter(in_use) if step > steps / 2 else Counter()
        # Requests beyond the slots are queued, and are reported as in use too.
        capacities = {s: Capacity(n, in_use[s]) for s, n in slots.items()}
        claims = merge_claims(admission.demand(now_ms) for admission in sidecars)
        for admission in sidecars:
            if admission.is_due(now_ms):
                admission.decide_shares(capacities, now_ms, claims)
    measured = steps - steps // 2 - 1
    shares = {name: admitted[name] / offered[name] for name in offered}
    return shares, {service: total / measured for service, total in used.items()}


def demand_of(route, slots):
    """Return a demand for the given slots of the deepest service."""
    needs = {"prehled": 0.1}
    return Claim(
        kind=route, priority=PRIORITIES[route], rate_per_s=slots / 0.1, costs=needs
    )


def test_nothing_is_refused_within_capacity():
    shares, _ = simulate({APPROVE: 90, STATUS: 100, HISTORY: 250})
    assert shares == {APPROVE: 1.0, STATUS: 1.0, HISTORY: 1.0}


def test_surge_refuses_the_least_important_and_fills_the_deepest_service():
    """Month-end: twice the usual requests. Each leads to four sequential calls at the
    deepest service, which is full first. Approvals and status checks must all be
    admitted, and lookups fill the remaining slots without overloading the service.
    """
    shares, used = simulate({APPROVE: 180, STATUS: 200, HISTORY: 510})
    assert shares[APPROVE] == 1.0
    assert shares[STATUS] == 1.0
    assert 0.5 < shares[HISTORY] < 0.85
    assert 0.85 * SLOTS["prehled"] < used["prehled"] < 1.02 * SLOTS["prehled"]


def test_service_that_becomes_five_times_slower_is_not_overloaded():
    """The deepest service takes five times as long. The higher cost is measured from
    completed requests, and even important requests are limited to the capacity.
    """
    slow = {
        name: {s: ms * (5 if s == "prehled" else 1) for s, ms in times_ms.items()}
        for name, times_ms in SLOT_MS.items()
    }
    shares, used = simulate({APPROVE: 90, STATUS: 100, HISTORY: 250}, slot_ms=slow)
    assert used["prehled"] < 1.1 * SLOTS["prehled"]
    assert shares[HISTORY] < 0.1
    assert shares[APPROVE] > 0.7


def test_zone_that_is_cut_off_admits_what_its_servers_carry():
    """A zone is cut off with a third of the servers and a third of the callers. It must
    admit as much as its own servers can run.
    """
    third = {service: slots / 3 for service, slots in SLOTS.items()}
    shares, used = simulate(
        {APPROVE: 60, STATUS: 66, HISTORY: 170}, sidecar_count=2, slots=third
    )
    assert shares[APPROVE] == 1.0
    assert used["prehled"] < 1.05 * third["prehled"]


def test_refusals_end_soon_after_the_surge():
    """Recovery: a second after the load is back to normal, nothing is refused."""
    admission = IngressAdmission(rng=random.Random(1))
    now_ms = 0.0
    for rate in [400] * 20 + [50] * 12:
        for _ in range(rate):
            admission.record_arrival(HISTORY, 2)
            if admission.find_blocking_service(HISTORY, 500) is None:
                admission.record_completed_cost(HISTORY, SLOT_MS[HISTORY], now_ms)
        now_ms += INTERVAL_MS
        admission.is_due(now_ms)
        admission.decide_shares(
            {"prehled": Capacity(100.0, 90.0), "archiv": Capacity(600.0, 90.0)}, now_ms
        )
        if rate == 400 and now_ms > 2_000:
            assert admission.limited_classes
    assert not admission.limited_classes


def test_backlog_limits_admission_at_once_and_leaves_no_idle_slots_afterwards():
    """A surge fills the queue of the deepest service in its first second. The queue
    drains as the admitted call trees end, two seconds later. Admission must drop at
    once; but if the correction fell for as long, half of the requests would be refused
    for seconds after the queue has drained, beside idle slots.
    """
    admission = IngressAdmission(rng=random.Random(1))
    slots = 400.0
    available_shares = []
    for number, used in enumerate([380.0] * 4 + [720.0] * 10 + [280.0] * 2, 1):
        for _ in range(773):  # 1.7 times the capacity
            admission.record_arrival(HISTORY, 2)
            admission.record_completed_cost(
                HISTORY, {"prehled": 220.0}, number * INTERVAL_MS
            )
        admission.is_due(0.0)
        admission.decide_shares(
            {"prehled": Capacity(slots, used)}, number * INTERVAL_MS
        )
        available = (
            admission.limited_classes[HISTORY].share
            * admission.required_slots["prehled"]
        )
        available_shares.append(available / slots)
    assert available_shares[3] > 0.85
    assert available_shares[4] < 0.75
    assert available_shares[-1] > 0.8


def test_sidecar_without_fleet_demand_uses_its_own():
    """All aggregators of the zone are down for a moment. Their last reports have
    expired, and this sidecar's own requests are within the capacity.
    """
    admission = IngressAdmission(rng=random.Random(1))
    admission.record_arrival(STATUS, 1)
    admission.record_completed_cost(STATUS, SLOT_MS[STATUS], 0.0)
    admission.is_due(0.0)
    capacities = {"prehled": Capacity(100.0, 50.0)}
    admission.decide_shares(capacities, 300.0, [demand_of(STATUS, 500.0)])
    assert admission.limited_classes[STATUS].share < 1
    admission.decide_shares(capacities, 3_000.0)
    assert not admission.limited_classes


def test_route_that_needs_an_unreachable_service_is_refused_at_its_ingress():
    """A zone is cut off from the last server of a service deep in the call tree.
    Requests would run, their calls would find no server, and non-repeatable ones would
    fail for good. Refused at once and unrun, they can be retried after the cut.
    """
    admission = IngressAdmission(rng=random.Random(1))
    for number in range(1, 5):
        admission.record_arrival(STATUS, 1)
        admission.record_arrival(HISTORY, 2)
        admission.record_completed_cost(STATUS, SLOT_MS[STATUS], 0.0)
        admission.record_completed_cost(HISTORY, SLOT_MS[HISTORY], 0.0)
        admission.decide_shares(
            {"prehled": Capacity(100.0, 10.0)}, number * INTERVAL_MS
        )
    assert admission.find_blocking_service(HISTORY, 0) == "archiv"
    assert admission.find_blocking_service(STATUS, 0) is None
    back = {"prehled": Capacity(100.0, 10.0), "archiv": Capacity(600.0, 10.0)}
    admission.decide_shares(back, 5 * INTERVAL_MS)
    assert admission.find_blocking_service(HISTORY, 0) is None


def test_cost_is_estimated_from_failed_requests_before_any_is_completed():
    """All hosts lose power, and callers return at once to cold servers. Call trees fail
    half way, so no completed request gives the cost; the slot times of the failed ones
    must suffice to refuse further requests.
    """
    admission = IngressAdmission(rng=random.Random(1))
    for number in range(1, 5):
        for _ in range(100):
            admission.record_arrival(HISTORY, 2)
            admission.record_partial_cost(HISTORY, {"prehled": 200.0})
        admission.is_due(0.0)
        admission.decide_shares({"prehled": Capacity(40.0, 60.0)}, number * INTERVAL_MS)
    assert admission.find_blocking_service(HISTORY, 900) == "prehled"
    assert admission.find_blocking_service(HISTORY, 100) is None


def test_failed_requests_do_not_lower_the_cost_of_completed_ones():
    admission = IngressAdmission(rng=random.Random(1))
    admission.record_arrival(HISTORY, 2)
    admission.record_completed_cost(HISTORY, {"prehled": 220.0}, 0.0)
    for _ in range(100):
        admission.record_partial_cost(HISTORY, {"prehled": 20.0})
    assert admission._classes[HISTORY].slot_s["prehled"] == 0.22


def test_service_left_idle_by_an_unreachable_one_is_filled_by_other_routes():
    """All servers of one service are unreachable. Lookups that need it can't be served;
    status checks need the deepest service only, which is idle. Half of them would be
    refused if the lookups' demand for that service still counted.
    """
    shares, used = simulate(
        {APPROVE: 0, STATUS: 1_500, HISTORY: 2_000}, slots=SLOTS | {"archiv": 0.0}
    )
    assert shares[HISTORY] == 0.0
    assert shares[STATUS] == 1.0
    assert used["prehled"] > 0.7 * SLOTS["prehled"]


def test_merged_cost_of_a_route_is_weighted_by_arrival_rate():
    few = Claim(kind=STATUS, priority=1, rate_per_s=1.0, costs={"prehled": 0.5})
    many = Claim(kind=STATUS, priority=1, rate_per_s=9.0, costs={"prehled": 0.1})
    (merged,) = merge_claims([[few], [many]])
    assert merged.rate_per_s == 10.0
    assert merged.costs == {"prehled": pytest.approx(0.14)}


def test_routes_that_use_one_service_only_are_known_from_completed_requests():
    admission = IngressAdmission(rng=random.Random(1))
    assert not admission.uses_only(STATUS, "prehled")
    admission.record_arrival(STATUS, 1)
    admission.record_partial_cost(STATUS, SLOT_MS[STATUS])
    assert not admission.uses_only(STATUS, "prehled")
    admission.record_completed_cost(STATUS, SLOT_MS[STATUS], 0.0)
    assert admission.uses_only(STATUS, "prehled")
    admission.record_arrival(HISTORY, 2)
    admission.record_completed_cost(HISTORY, SLOT_MS[HISTORY], 0.0)
    assert not admission.uses_only(HISTORY, "prehled")


def test_slots_are_filled_again_within_a_second_after_a_service_was_slow():
    """The deepest service was four times slower for some seconds, and the cost of
    requests there is still overestimated by that factor. They would be refused beside
    idle slots; the correction must rise as fast as the error was large.
    """
    admission = IngressAdmission(rng=random.Random(1))
    slots = 400.0
    admitted = []
    for number in range(1, 13):
        for _ in range(400):
            admission.record_arrival(HISTORY, 2)
            admission.record_completed_cost(
                HISTORY, {"prehled": 880.0}, number * INTERVAL_MS
            )
        admission.is_due(0.0)
        share = (
            admission.limited_classes[HISTORY].share
            if HISTORY in admission.limited_classes
            else 1.0
        )
        used = 400 * share * 4 * 0.22 if number > 4 else slots
        admission.decide_shares(
            {"prehled": Capacity(slots, used)}, number * INTERVAL_MS
        )
        admitted.append(share)
    assert admitted[4] < 0.35
    assert admitted[-1] > 2 * admitted[4]


def test_cost_follows_the_requests_of_the_last_second_however_few_they_are():
    """A service was four times slower, and few requests are still admitted. The first
    ones that are completed afterwards must show that it is fast again.
    """
    admission = IngressAdmission(rng=random.Random(1))
    admission.record_arrival(HISTORY, 2)
    for number in range(200):
        admission.record_completed_cost(HISTORY, {"prehled": 880.0}, number * 10.0)
    for number in range(6):
        admission.record_completed_cost(
            HISTORY, {"prehled": 220.0}, 2_500.0 + number * 500.0
        )
    (claim,) = admission.demand(5_000.0)
    assert claim.costs["prehled"] < 0.3


def test_demand_beyond_rate_limits_is_refused_by_rank_with_a_time_by_the_rates():
    """All servers of a service name limits: 30 requests a second are accepted where 180
    are asked, and each holds a slot for 0.2 s.
    """
    admission = IngressAdmission(rng=random.Random(1))
    capacity = Capacity(slots=6.0, used=6.0, paced_slots=6.0)
    rates_per_s = {APPROVE: 12, HISTORY: 168}
    for step in range(40):
        for name, rate in rates_per_s.items():
            for _ in range(round(rate * INTERVAL_MS / 1000)):
                admission.record_arrival(name, PRIORITIES[name])
            admission.record_completed_cost(name, {"archiv": 200.0}, step * INTERVAL_MS)
        admission.decide_shares({"archiv": capacity}, step * INTERVAL_MS)
    assert admission.find_blocking_service(APPROVE, LEVELS - 1) is None
    assert admission.find_blocking_service(HISTORY, LEVELS // 2) == "archiv"
    share = admission.limited_classes[HISTORY].share
    assert 0.8 * 18 <= share * 168 <= 18
    assert admission.rate_wait_ms("archiv") == pytest.approx(6_000.0, rel=0.1)


def test_limited_service_is_planned_below_its_limits():
    """Guards against call trees that are admitted and then fail: a queue at a limited
    server doesn't drain while as much arrives as starts.
    """
    admission = IngressAdmission(rng=random.Random(1))
    capacity = Capacity(slots=6.0, used=6.0, paced_slots=6.0)
    for step in range(40):
        for _ in range(45):
            admission.record_arrival(HISTORY, 2)
        admission.record_completed_cost(HISTORY, {"archiv": 200.0}, step * INTERVAL_MS)
        admission.decide_shares({"archiv": capacity}, step * INTERVAL_MS)
    admitted_slots = admission.limited_classes[HISTORY].share * 180 * 0.2
    assert 0.8 * capacity.slots <= admitted_slots <= 0.95 * capacity.slots


def test_rate_limits_are_not_corrected_upwards():
    """Guards against admission that takes the idle time between paced starts for slots
    that were left unused.
    """
    admission = IngressAdmission(rng=random.Random(1))
    capacity = Capacity(slots=6.0, used=1.0, paced_slots=6.0)
    for step in range(40):
        for _ in range(45):
            admission.record_arrival(HISTORY, 2)
        admission.record_completed_cost(HISTORY, {"archiv": 200.0}, step * INTERVAL_MS)
        admission.decide_shares({"archiv": capacity}, step * INTERVAL_MS)
    assert admission.correction_of("archiv") == 1.0


def test_service_without_rate_limits_has_no_wait_for_them():
    admission = IngressAdmission(rng=random.Random(1))
    admission.record_arrival(HISTORY, 2)
    admission.record_completed_cost(HISTORY, {"archiv": 200.0}, 0.0)
    admission.decide_shares({"archiv": Capacity(60.0, 1.0)}, INTERVAL_MS)
    assert admission.rate_wait_ms("archiv") is None
