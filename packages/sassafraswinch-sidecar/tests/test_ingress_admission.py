"""Root requests refused at their entry, replayed against loads on a paused clock."""

import random
from collections import Counter

import pytest

from sassafraswinch.fitting_shares import Claim
from sassafraswinch_sidecar.entry_admission import (
    INTERVAL_MS,
    LEVELS,
    Capacity,
    EntryAdmission,
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


def play(rates_per_s, *, entries=4, seconds=10.0, slots=SLOTS, slot_ms=SLOT_MS):
    """Send requests to entries that tell each other their demand.

    Returns:
        The share of requests admitted in the second half, by route, and the slots that
        the admitted ones take at each service.
    """
    rng = random.Random(7)
    nodes = [EntryAdmission() for _ in range(entries)]
    offered, admitted, used = Counter(), Counter(), Counter()
    steps = int(seconds * 1000 / INTERVAL_MS)
    for step in range(steps):
        now_ms = step * INTERVAL_MS
        in_use = Counter()
        for name, rate in rates_per_s.items():
            for _ in range(round(rate * INTERVAL_MS / 1000)):
                node = rng.choice(nodes)
                node.offered(name, PRIORITIES[name])
                level = rng.randrange(LEVELS)
                passed = node.blocking(name, level) is None
                if passed:
                    node.learn(name, slot_ms[name], now_ms)
                    for service, taken_ms in slot_ms[name].items():
                        in_use[service] += taken_ms / INTERVAL_MS
                if step > steps / 2:
                    offered[name] += 1
                    admitted[name] += passed
        used += Counter(in_use) if step > steps / 2 else Counter()
        # What exceeds the slots waits, and is told as in use too.
        capacities = {s: Capacity(n, in_use[s]) for s, n in slots.items()}
        told = merge_claims(node.demand() for node in nodes)
        for node in nodes:
            if node.due(now_ms):
                node.decide(capacities, now_ms, told)
    measured = steps - steps // 2 - 1
    shares = {name: admitted[name] / offered[name] for name in offered}
    return shares, {service: total / measured for service, total in used.items()}


def demand_of(route, slots):
    """Return the demand for so many slots of the deepest service."""
    needs = {"prehled": 0.1}
    return Claim(
        kind=route, priority=PRIORITIES[route], rate_per_s=slots / 0.1, needs=needs
    )


def test_nothing_is_refused_while_all_fits():
    shares, _ = play({APPROVE: 90, STATUS: 100, HISTORY: 250})
    assert shares == {APPROVE: 1.0, STATUS: 1.0, HISTORY: 1.0}


def test_surge_refuses_the_least_important_and_fills_the_deepest_service():
    """Month-end: twice the usual requests. Each leads to four calls in turn at the
    deepest service, which is the first to be full. Approvals and status checks must
    all pass, and lookups fill what is left without pushing the service over.
    """
    shares, used = play({APPROVE: 180, STATUS: 200, HISTORY: 510})
    assert shares[APPROVE] == 1.0
    assert shares[STATUS] == 1.0
    assert 0.5 < shares[HISTORY] < 0.85
    assert 0.85 * SLOTS["prehled"] < used["prehled"] < 1.02 * SLOTS["prehled"]


def test_service_that_turns_five_times_slower_is_not_flooded():
    """The deepest service takes five times as long; what a request needs there is
    learnt from the answers, and even important requests are cut to what fits.
    """
    slow = {
        name: {s: ms * (5 if s == "prehled" else 1) for s, ms in taken.items()}
        for name, taken in SLOT_MS.items()
    }
    shares, used = play({APPROVE: 90, STATUS: 100, HISTORY: 250}, slot_ms=slow)
    assert used["prehled"] < 1.1 * SLOTS["prehled"]
    assert shares[HISTORY] < 0.1
    assert shares[APPROVE] > 0.7


def test_entries_of_one_zone_alone_work_with_its_servers():
    """A zone is cut off with a third of the servers and a third of the callers: it
    admits what its own servers carry.
    """
    third = {service: slots / 3 for service, slots in SLOTS.items()}
    shares, used = play({APPROVE: 60, STATUS: 66, HISTORY: 170}, entries=2, slots=third)
    assert shares[APPROVE] == 1.0
    assert used["prehled"] < 1.05 * third["prehled"]


def test_refusals_end_soon_after_the_surge():
    """Recovery: a second after the load is back to normal all is admitted again."""
    node = EntryAdmission()
    now_ms = 0.0
    for rate in [400] * 20 + [50] * 12:
        for _ in range(rate):
            node.offered(HISTORY, 2)
            if node.blocking(HISTORY, 500) is None:
                node.learn(HISTORY, SLOT_MS[HISTORY], now_ms)
        now_ms += INTERVAL_MS
        node.due(now_ms)
        node.decide(
            {"prehled": Capacity(100.0, 90.0), "archiv": Capacity(600.0, 90.0)}, now_ms
        )
        if rate == 400 and now_ms > 2_000:
            assert node.fits
    assert not node.fits


def test_backlog_is_answered_at_once_and_leaves_no_slots_empty_when_it_is_gone():
    """A surge fills the queue of the deepest service in its first second. It empties
    as the trees that were let in end, two seconds later. Less must be let in at once;
    but whoever lowers the estimate for as long refuses half of the requests for
    seconds after the queue has gone, beside empty slots.
    """
    node = EntryAdmission()
    slots = 400.0
    room_shares = []
    for number, used in enumerate([380.0] * 4 + [720.0] * 10 + [280.0] * 2, 1):
        for _ in range(773):  # 1.7 times what the slots carry
            node.offered(HISTORY, 2)
            node.learn(HISTORY, {"prehled": 220.0}, number * INTERVAL_MS)
        node.due(0.0)
        node.decide({"prehled": Capacity(slots, used)}, number * INTERVAL_MS)
        room = node.fits[HISTORY].share * node.wanted["prehled"]
        room_shares.append(room / slots)
    assert room_shares[3] > 0.85
    assert room_shares[4] < 0.75
    assert room_shares[-1] > 0.8


def test_entry_that_is_told_nothing_goes_by_its_own_demand():
    """All gatherers of the zone are gone for a moment. What they told last has grown
    old, and the entry's own requests fit.
    """
    node = EntryAdmission()
    node.offered(STATUS, 1)
    node.learn(STATUS, SLOT_MS[STATUS], 0.0)
    node.due(0.0)
    capacities = {"prehled": Capacity(100.0, 50.0)}
    node.decide(capacities, 300.0, [demand_of(STATUS, 500.0)])
    assert node.fits[STATUS].share < 1
    node.decide(capacities, 3_000.0)
    assert not node.fits


def test_route_whose_tree_needs_an_unreachable_service_is_refused_at_its_entry():
    """A zone is cut off from the last server of a service deep in the tree. Requests
    would run, their calls find no server, and non-repeatable ones fail for good; told
    at once that nothing ran, callers come back after the cut.
    """
    node = EntryAdmission()
    for number in range(1, 5):
        node.offered(STATUS, 1)
        node.offered(HISTORY, 2)
        node.learn(STATUS, SLOT_MS[STATUS], 0.0)
        node.learn(HISTORY, SLOT_MS[HISTORY], 0.0)
        node.decide({"prehled": Capacity(100.0, 10.0)}, number * INTERVAL_MS)
    assert node.blocking(HISTORY, 0) == "archiv"
    assert node.blocking(STATUS, 0) is None
    back = {"prehled": Capacity(100.0, 10.0), "archiv": Capacity(600.0, 10.0)}
    node.decide(back, 5 * INTERVAL_MS)
    assert node.blocking(HISTORY, 0) is None


def test_need_is_learnt_from_requests_that_fail_before_any_is_whole():
    """All hosts lose power, and callers come back at once to cold servers. Trees fail
    half way, and no whole answer tells what a request takes; what the failed ones took
    must be enough to hold the next ones back.
    """
    node = EntryAdmission()
    for number in range(1, 5):
        for _ in range(100):
            node.offered(HISTORY, 2)
            node.learn_at_least(HISTORY, {"prehled": 200.0})
        node.due(0.0)
        node.decide({"prehled": Capacity(40.0, 60.0)}, number * INTERVAL_MS)
    assert node.blocking(HISTORY, 900) == "prehled"
    assert node.blocking(HISTORY, 100) is None


def test_failed_requests_do_not_lower_what_whole_ones_told():
    node = EntryAdmission()
    node.offered(HISTORY, 2)
    node.learn(HISTORY, {"prehled": 220.0}, 0.0)
    for _ in range(100):
        node.learn_at_least(HISTORY, {"prehled": 20.0})
    assert node._routes[HISTORY].slot_s["prehled"] == 0.22


def test_service_that_another_one_idles_is_filled_by_those_that_need_it_alone():
    """All servers of one service are out of reach. Lookups that need it can't be
    served, and status checks need the deepest service alone, which stands idle. Their
    entries refused them by half, since the lookups' demand for it still counted.
    """
    shares, used = play(
        {APPROVE: 0, STATUS: 1_500, HISTORY: 2_000}, slots=SLOTS | {"archiv": 0.0}
    )
    assert shares[HISTORY] == 0.0
    assert shares[STATUS] == 1.0
    assert used["prehled"] > 0.7 * SLOTS["prehled"]


def test_need_of_a_route_is_that_of_the_entries_where_most_of_it_arrives():
    few = Claim(kind=STATUS, priority=1, rate_per_s=1.0, needs={"prehled": 0.5})
    many = Claim(kind=STATUS, priority=1, rate_per_s=9.0, needs={"prehled": 0.1})
    (merged,) = merge_claims([[few], [many]])
    assert merged.rate_per_s == 10.0
    assert merged.needs == {"prehled": pytest.approx(0.14)}


def test_routes_that_need_one_service_alone_are_known_from_whole_answers():
    node = EntryAdmission()
    assert not node.needs_only(STATUS, "prehled")
    node.offered(STATUS, 1)
    node.learn_at_least(STATUS, SLOT_MS[STATUS])
    assert not node.needs_only(STATUS, "prehled")
    node.learn(STATUS, SLOT_MS[STATUS], 0.0)
    assert node.needs_only(STATUS, "prehled")
    node.offered(HISTORY, 2)
    node.learn(HISTORY, SLOT_MS[HISTORY], 0.0)
    assert not node.needs_only(HISTORY, "prehled")


def test_room_is_filled_again_within_a_second_after_a_service_was_slow():
    """The deepest service was four times slower for some seconds, and what requests
    need there is still overrated by that. Their entries go on refusing them beside
    empty slots; the correction must rise as fast as the error was large.
    """
    node = EntryAdmission()
    slots = 400.0
    admitted = []
    for number in range(1, 13):
        for _ in range(400):
            node.offered(HISTORY, 2)
            node.learn(HISTORY, {"prehled": 880.0}, number * INTERVAL_MS)
        node.due(0.0)
        share = node.fits[HISTORY].share if HISTORY in node.fits else 1.0
        used = 400 * share * 4 * 0.22 if number > 4 else slots
        node.decide({"prehled": Capacity(slots, used)}, number * INTERVAL_MS)
        admitted.append(share)
    assert admitted[4] < 0.35
    assert admitted[-1] > 2 * admitted[4]


def test_need_follows_the_answers_of_the_last_second_however_few_they_are():
    """A service was four times slower, and few requests are still let in. The first
    answers after that must tell that it is fast again.
    """
    node = EntryAdmission()
    node.offered(HISTORY, 2)
    for number in range(200):
        node.learn(HISTORY, {"prehled": 880.0}, number * 10.0)
    for number in range(6):
        node.learn(HISTORY, {"prehled": 220.0}, 2_500.0 + number * 500.0)
    (claim,) = node.demand()
    assert claim.needs["prehled"] < 0.3
