"""Shares of several kinds of request that several services carry together."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.fitting_shares import Claim, fitting_shares

QUOTE = Claim(
    kind="quote",
    priority=2,
    rate_per_s=422.0,
    needs={"quotes": 0.3, "fieldwork": 0.3, "paperwork": 0.24},
)
FORM = Claim(kind="form", priority=2, rate_per_s=61.0, needs={"paperwork": 0.096})
DELIVERY = Claim(
    kind="delivery",
    priority=0,
    rate_per_s=196.0,
    needs={"logistics": 0.4, "fieldwork": 0.3, "paperwork": 0.24},
)
ROOMS = {"quotes": 600.0, "logistics": 600.0, "fieldwork": 600.0, "paperwork": 111.0}


def test_all_that_fits_is_carried():
    small = Claim(kind="quote", priority=2, rate_per_s=10.0, needs=QUOTE.needs)
    assert fitting_shares([small, FORM], ROOMS) == {}


def test_what_one_service_blocks_does_not_press_another():
    """All servers of fieldwork are out of reach. Quotes and deliveries can't be served,
    and forms need the paperwork office alone, which stands idle. Worked out service by
    service, the office looked full by the quotes that never come to it.
    """
    fits = fitting_shares([QUOTE, FORM, DELIVERY], ROOMS | {"fieldwork": 0.0})
    assert fits["quote"].share == fits["delivery"].share == 0.0
    assert fits["quote"].lacks == "fieldwork"
    assert "form" not in fits


def test_important_ones_first_and_equals_by_what_they_cost():
    """Quotes take 2.5 times as long at the office as forms, of the same priority. In
    equal shares the forms, a sixteenth of the load, were the worst served kind.
    """
    rooms = ROOMS | {"paperwork": 70.0}
    fits = fitting_shares([QUOTE, FORM, DELIVERY], rooms)
    assert "delivery" not in fits
    assert fits["form"].share == pytest.approx(2.5 * fits["quote"].share)
    left = rooms["paperwork"] - DELIVERY.wanted("paperwork")
    used = sum(
        fits[claim.kind].share * claim.wanted("paperwork") for claim in (QUOTE, FORM)
    )
    assert used == pytest.approx(left)


def test_kind_of_which_nothing_arrives_is_stopped_where_there_is_no_room():
    """No server of a service can be reached, and for a moment no request that needs it
    has come. The next one must be refused, whether other kinds want the service or not.
    """
    idle = Claim(kind="k", priority=0, rate_per_s=0.0, needs={"a": 1.0})
    busy = Claim(kind="l", priority=1, rate_per_s=1.0, needs={"a": 1.0})
    for claims in ([idle], [idle, busy]):
        assert fitting_shares(claims, {"a": 0.0})["k"].share == 0.0


RESOURCES = ("a", "b", "c")


def claims_that_need(amounts, resources=RESOURCES, priorities=(0, 1, 2)):
    return st.lists(
        st.builds(
            Claim,
            kind=st.sampled_from("klmnop"),
            priority=st.sampled_from(priorities),
            rate_per_s=st.floats(0.0, 500.0),
            needs=st.dictionaries(st.sampled_from(resources), amounts, min_size=1),
        ),
        unique_by=lambda claim: claim.kind,
    )


claims_of_kinds = claims_that_need(st.floats(0.01, 1.0))
rooms_of_all = st.fixed_dictionaries(
    {resource: st.floats(0.0, 300.0) for resource in RESOURCES}
)


@pytest.mark.parametrize("worth_of", [None, lambda priority: 3.0 - priority])
@settings(derandomize=True, deadline=None)
@given(claims=claims_of_kinds, rooms=rooms_of_all)
def test_nothing_is_over_full_and_no_usable_room_is_left(worth_of, claims, rooms):
    fits = fitting_shares(claims, rooms, worth_of)
    shares = {c.kind: fits[c.kind].share if c.kind in fits else 1.0 for c in claims}
    used = {
        resource: sum(shares[c.kind] * c.wanted(resource) for c in claims)
        for resource in rooms
    }
    for resource, room in rooms.items():
        assert used[resource] <= room + 1e-6
    for kind, fit in fits.items():
        assert 0.0 <= fit.share <= 1.0
        assert used[fit.lacks] >= rooms[fit.lacks] - 1e-6, kind


@settings(derandomize=True, deadline=None)
@given(claims=claims_of_kinds, rooms=rooms_of_all)
def test_less_important_kinds_take_nothing_from_more_important_ones(claims, rooms):
    fits = fitting_shares(claims, rooms)
    for priority in (0, 1):
        upper = [claim for claim in claims if claim.priority <= priority]
        alone = fitting_shares(upper, rooms)
        for claim in upper:
            share = fits[claim.kind].share if claim.kind in fits else 1.0
            before = alone[claim.kind].share if claim.kind in alone else 1.0
            assert share == pytest.approx(before, abs=1e-6)


@settings(derandomize=True, deadline=None)
@given(claims=claims_that_need(st.floats(0.01, 1.0), ("a",)), room=st.floats(0, 300))
def test_each_arriving_equal_is_given_the_same_room(claims, room):
    fits = fitting_shares(claims, {"a": room})
    given_room = {
        (claim.priority, claim.kind): fits[claim.kind].share * claim.needs["a"]
        for claim in claims
        if claim.kind in fits
    }
    for priority in range(3):
        rooms = [got for (of, _), got in given_room.items() if of == priority]
        assert not rooms or max(rooms) == pytest.approx(min(rooms), abs=1e-6)
        whole = [c for c in claims if c.priority == priority and c.kind not in fits]
        assert all(c.needs["a"] <= got + 1e-6 for c in whole for got in rooms)


@settings(derandomize=True, deadline=None)
@given(
    claims=claims_that_need(st.just(0.5), priorities=(0,)), room=st.floats(0.0, 300.0)
)
def test_an_equal_gets_less_only_for_what_it_lacks_itself(claims, room):
    """A kind with a greater share than an equal doesn't need what the equal lacks."""
    rooms = dict.fromkeys(RESOURCES, room)
    fits = fitting_shares(claims, rooms)
    for claim in claims:
        fit = fits.get(claim.kind)
        for other in claims if fit else ():
            share = fits[other.kind].share if other.kind in fits else 1.0
            if other.priority == claim.priority and share > fit.share + 1e-6:
                assert not other.needs.get(fit.lacks)


APPROVAL = Claim(kind="approval", priority=0, rate_per_s=100.0, needs={"status": 0.2})
CHECK = Claim(kind="check", priority=1, rate_per_s=100.0, needs={"status": 0.04})
LOOKUP = Claim(kind="lookup", priority=2, rate_per_s=100.0, needs={"status": 0.1})
RELEASE = Claim(kind="release", priority=0, rate_per_s=50.0, needs={"release": 0.1})
FULL = {"status": 20.0, "release": 50.0}


def by_priority(priority):
    return (3.0, 2.0, 1.0)[priority % 16]


def test_requests_worth_more_for_their_room_are_refused_no_more_than_those_above():
    """Guards against trees of eight calls that starve many short requests."""
    claims = [APPROVAL, CHECK, LOOKUP, RELEASE]
    strict = fitting_shares(claims, FULL)
    assert "approval" not in strict or strict["approval"].share == pytest.approx(1.0)
    assert strict["check"].share == pytest.approx(0.0)
    fits = fitting_shares(claims, FULL, by_priority)
    assert fits["approval"].share == pytest.approx(20.0 / 24.0)
    assert fits["check"].share == pytest.approx(20.0 / 24.0)
    assert fits["lookup"].share == pytest.approx(0.0)
    assert "release" not in fits


def test_an_organisation_that_goes_first_gives_nothing_up():
    first = Claim(kind="first", priority=2, rate_per_s=100.0, needs={"status": 0.2})
    check = Claim(kind="check", priority=17, rate_per_s=100.0, needs={"status": 0.04})
    fits = fitting_shares([first, check], FULL, by_priority)
    assert "first" not in fits or fits["first"].share == pytest.approx(1.0)
    assert fits["check"].share == pytest.approx(0.0)


@settings(derandomize=True, deadline=None)
@given(claims=claims_of_kinds, rooms=rooms_of_all)
def test_a_less_important_kind_is_never_let_in_more_often(claims, rooms):
    """What both need in the same proportion, the more important gets no less of."""
    claims = [
        Claim(
            kind=claim.kind,
            priority=claim.priority,
            rate_per_s=claim.rate_per_s,
            needs={name: claim.needs.get(name, 0.0) + 0.01 for name in rooms},
        )
        for claim in claims
    ]
    fits = fitting_shares(claims, rooms, by_priority)
    shares = {c.kind: fits[c.kind].share if c.kind in fits else 1.0 for c in claims}
    for above in claims:
        for below in claims:
            if above.priority < below.priority:
                assert shares[above.kind] >= shares[below.kind] - 1e-6
