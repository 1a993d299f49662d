"""Tests of the shares of request kinds that several services admit together."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.capacity_shares import EPSILON, Claim, capacity_shares

QUOTE = Claim(
    kind="quote",
    priority=2,
    rate_per_s=422.0,
    costs={"quotes": 0.3, "fieldwork": 0.3, "paperwork": 0.24},
)
FORM = Claim(kind="form", priority=2, rate_per_s=61.0, costs={"paperwork": 0.096})
DELIVERY = Claim(
    kind="delivery",
    priority=0,
    rate_per_s=196.0,
    costs={"logistics": 0.4, "fieldwork": 0.3, "paperwork": 0.24},
)
CAPACITIES = {
    "quotes": 600.0,
    "logistics": 600.0,
    "fieldwork": 600.0,
    "paperwork": 111.0,
}


def test_demand_within_capacity_is_admitted_in_full():
    small = Claim(kind="quote", priority=2, rate_per_s=10.0, costs=QUOTE.costs)
    assert capacity_shares([small, FORM], CAPACITIES) == {}


def test_requests_blocked_at_one_service_use_no_capacity_of_another():
    """All servers of fieldwork are unreachable. Quotes and deliveries can't be served,
    and forms need paperwork alone, which is idle. Computed service by service,
    paperwork appeared full with quotes that never reach it.
    """
    allocations = capacity_shares(
        [QUOTE, FORM, DELIVERY], CAPACITIES | {"fieldwork": 0.0}
    )
    assert allocations["quote"].share == allocations["delivery"].share == 0.0
    assert allocations["quote"].limiting_resource == "fieldwork"
    assert "form" not in allocations


def test_important_kinds_go_first_and_equal_kinds_by_their_cost():
    """Quotes cost 2.5 times as much at paperwork as forms, of the same priority. With
    equal shares the forms, a sixteenth of the load, were the worst served kind.
    """
    capacities = CAPACITIES | {"paperwork": 70.0}
    allocations = capacity_shares([QUOTE, FORM, DELIVERY], capacities)
    assert "delivery" not in allocations
    assert allocations["form"].share == pytest.approx(2.5 * allocations["quote"].share)
    left = capacities["paperwork"] - DELIVERY.demand_for("paperwork")
    used = sum(
        allocations[claim.kind].share * claim.demand_for("paperwork")
        for claim in (QUOTE, FORM)
    )
    assert used == pytest.approx(left)


def test_kind_without_arrivals_is_blocked_where_there_is_no_capacity():
    """No server of a service is reachable, and no request that needs it has arrived
    recently. The next one must be refused, whether other kinds need the service or not.
    """
    idle = Claim(kind="k", priority=0, rate_per_s=0.0, costs={"a": 1.0})
    busy = Claim(kind="l", priority=1, rate_per_s=1.0, costs={"a": 1.0})
    for claims in ([idle], [idle, busy]):
        assert capacity_shares(claims, {"a": 0.0})["k"].share == 0.0


@pytest.mark.parametrize("capacity", [0.0, 1e-12, 1e-10, 1e-9, 1.1e-9, 1e-6])
def test_kind_without_arrivals_is_decided_alike_alone_and_beside_others(capacity):
    """Guards against two definitions of a full service, which let other kinds of
    request decide whether one is refused.
    """
    rare = Claim(kind="rare", priority=0, rate_per_s=0.0, costs={"a": 1.0})
    busy = Claim(kind="busy", priority=1, rate_per_s=10.0, costs={"b": 1.0})
    capacities = {"a": capacity, "b": 5.0}
    alone = capacity_shares([rare], capacities)
    beside = capacity_shares([rare, busy], capacities)
    assert beside.get("rare") == alone.get("rare")
    assert ("rare" in alone) == (capacity <= EPSILON)


RESOURCES = ("a", "b", "c")


def claims_strategy(costs, resources=RESOURCES, priorities=(0, 1, 2)):
    return st.lists(
        st.builds(
            Claim,
            kind=st.sampled_from("klmnop"),
            priority=st.sampled_from(priorities),
            rate_per_s=st.floats(0.0, 500.0),
            costs=st.dictionaries(st.sampled_from(resources), costs, min_size=1),
        ),
        unique_by=lambda claim: claim.kind,
    )


claims_of_any_cost = claims_strategy(st.floats(0.01, 1.0))
any_capacities = st.fixed_dictionaries(
    {resource: st.floats(0.0, 300.0) for resource in RESOURCES}
)


@pytest.mark.parametrize("worth_of", [None, lambda priority: 3.0 - priority])
@settings(derandomize=True, deadline=None)
@given(claims=claims_of_any_cost, capacities=any_capacities)
def test_no_resource_is_overcommitted_and_no_usable_capacity_is_left(
    worth_of, claims, capacities
):
    allocations = capacity_shares(claims, capacities, worth_of)
    shares = {
        c.kind: allocations[c.kind].share if c.kind in allocations else 1.0
        for c in claims
    }
    used = {
        resource: sum(shares[c.kind] * c.demand_for(resource) for c in claims)
        for resource in capacities
    }
    for resource, capacity in capacities.items():
        assert used[resource] <= capacity + 1e-6
    for kind, allocation in allocations.items():
        assert 0.0 <= allocation.share <= 1.0
        assert (
            used[allocation.limiting_resource]
            >= capacities[allocation.limiting_resource] - 1e-6
        ), kind


@settings(derandomize=True, deadline=None)
@given(claims=claims_of_any_cost, capacities=any_capacities)
def test_less_important_kinds_dont_affect_more_important_ones(claims, capacities):
    allocations = capacity_shares(claims, capacities)
    for priority in (0, 1):
        upper = [claim for claim in claims if claim.priority <= priority]
        alone = capacity_shares(upper, capacities)
        for claim in upper:
            share = allocations[claim.kind].share if claim.kind in allocations else 1.0
            before = alone[claim.kind].share if claim.kind in alone else 1.0
            assert share == pytest.approx(before, abs=1e-6)


@settings(derandomize=True, deadline=None)
@given(claims=claims_strategy(st.floats(0.01, 1.0), ("a",)), capacity=st.floats(0, 300))
def test_arriving_requests_of_equal_priority_get_the_same_capacity(claims, capacity):
    allocations = capacity_shares(claims, {"a": capacity})
    granted = {
        (claim.priority, claim.kind): allocations[claim.kind].share * claim.costs["a"]
        for claim in claims
        if claim.kind in allocations
    }
    for priority in range(3):
        equal = [amount for (of, _), amount in granted.items() if of == priority]
        assert not equal or max(equal) == pytest.approx(min(equal), abs=1e-6)
        full = [
            c for c in claims if c.priority == priority and c.kind not in allocations
        ]
        assert all(c.costs["a"] <= amount + 1e-6 for c in full for amount in equal)


@settings(derandomize=True, deadline=None)
@given(
    claims=claims_strategy(st.just(0.5), priorities=(0,)),
    capacity=st.floats(0.0, 300.0),
)
def test_kind_gets_less_than_an_equal_only_if_a_resource_limits_it(claims, capacity):
    """A kind with a greater share does not use the resource that limits the other."""
    capacities = dict.fromkeys(RESOURCES, capacity)
    allocations = capacity_shares(claims, capacities)
    for claim in claims:
        allocation = allocations.get(claim.kind)
        for other in claims if allocation else ():
            share = allocations[other.kind].share if other.kind in allocations else 1.0
            if other.priority == claim.priority and share > allocation.share + 1e-6:
                assert not other.costs.get(allocation.limiting_resource)


APPROVAL = Claim(kind="approval", priority=0, rate_per_s=100.0, costs={"status": 0.2})
CHECK = Claim(kind="check", priority=1, rate_per_s=100.0, costs={"status": 0.04})
LOOKUP = Claim(kind="lookup", priority=2, rate_per_s=100.0, costs={"status": 0.1})
RELEASE = Claim(kind="release", priority=0, rate_per_s=50.0, costs={"release": 0.1})
SCARCE = {"status": 20.0, "release": 50.0}


def by_priority(priority):
    return (3.0, 2.0, 1.0)[priority % 16]


def test_kind_worth_more_for_its_capacity_is_admitted_as_often_as_those_above():
    """Guards against call trees of eight calls that starve many short requests."""
    claims = [APPROVAL, CHECK, LOOKUP, RELEASE]
    strict = capacity_shares(claims, SCARCE)
    assert "approval" not in strict or strict["approval"].share == pytest.approx(1.0)
    assert strict["check"].share == pytest.approx(0.0)
    allocations = capacity_shares(claims, SCARCE, by_priority)
    assert allocations["approval"].share == pytest.approx(20.0 / 24.0)
    assert allocations["check"].share == pytest.approx(20.0 / 24.0)
    assert allocations["lookup"].share == pytest.approx(0.0)
    assert "release" not in allocations


def test_higher_priority_organisation_keeps_its_full_share():
    first = Claim(kind="first", priority=2, rate_per_s=100.0, costs={"status": 0.2})
    check = Claim(kind="check", priority=17, rate_per_s=100.0, costs={"status": 0.04})
    allocations = capacity_shares([first, check], SCARCE, by_priority)
    assert "first" not in allocations or allocations["first"].share == pytest.approx(
        1.0
    )
    assert allocations["check"].share == pytest.approx(0.0)


@settings(derandomize=True, deadline=None)
@given(claims=claims_of_any_cost, capacities=any_capacities)
def test_a_less_important_kind_is_never_admitted_more_often(claims, capacities):
    """With every resource needed by all kinds, a higher priority gets no less."""
    claims = [
        Claim(
            kind=claim.kind,
            priority=claim.priority,
            rate_per_s=claim.rate_per_s,
            costs={name: claim.costs.get(name, 0.0) + 0.01 for name in capacities},
        )
        for claim in claims
    ]
    allocations = capacity_shares(claims, capacities, by_priority)
    shares = {
        c.kind: allocations[c.kind].share if c.kind in allocations else 1.0
        for c in claims
    }
    for above in claims:
        for below in claims:
            if above.priority < below.priority:
                assert shares[above.kind] >= shares[below.kind] - 1e-6
