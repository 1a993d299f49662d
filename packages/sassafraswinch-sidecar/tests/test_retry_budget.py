"""The fleet's bound on repeats holds although no sidecar knows the others' counts."""

import random
from collections import Counter

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.repeat_budget import Counted, RepeatBudget

RATIO, SLACK, WINDOW_MS = 0.2, 50.0, 10_000.0


class Fleet:
    """What all sidecars told of their counts, as sums."""

    def __init__(self):
        self.totals = {}, 0

    def __call__(self, now_ms):
        return self.totals


def new_budget(sidecars, fleet=None):
    return RepeatBudget(
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        most_sidecars=lambda: sidecars,
        sidecars=lambda: sidecars,
        totals=fleet or Fleet(),
    )


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.integers(1, 40),
    st.floats(0.1, 30.0),
    st.floats(0.0, 1.0),
    st.integers(0, 2**32),
)
def test_sum_over_the_fleet_stays_within_ratio_and_slack(
    sidecars, rate_per_s, failing, seed
):
    """Every request fails and every sidecar repeats whatever its budget allows.

    The platform counts all arrivals beyond the first of each request, over any ten
    seconds, against a share of the requests and a slack for the whole fleet.
    """
    rng = random.Random(seed)
    budgets = [new_budget(sidecars) for _ in range(sidecars)]
    requests, repeats = [], []
    now_ms = told_ms = 0.0
    while now_ms < 25_000:
        now_ms += rng.expovariate(rate_per_s * sidecars) * 1000
        if now_ms - told_ms > 1_000.0:
            told_ms = now_ms
            exchange(budgets, now_ms)
        budget, priority = rng.choice(budgets), rng.randrange(3)
        budget.sent("archiv", repeated=False, now_ms=now_ms)
        requests.append(now_ms)
        allowed = budget.allows("archiv", now_ms, priority=priority)
        if rng.random() < failing and allowed:
            budget.sent("archiv", repeated=True, now_ms=now_ms, priority=priority)
            repeats.append(now_ms)
    for end_ms in range(10_000, 26_000, 1_000):
        begin_ms = end_ms - WINDOW_MS
        told = sum(begin_ms < at_ms <= end_ms for at_ms in repeats)
        asked = sum(begin_ms < at_ms <= end_ms for at_ms in requests)
        assert told <= RATIO * asked + SLACK


def exchange(budgets, now_ms):
    """Tell all sidecars the sums of what each has sent, as gatherers do."""
    counts = {}
    for budget in budgets:
        for service, told in budget.counted(now_ms).items():
            known = counts.get(service, Counted(0, 0))
            counts[service] = Counted(
                known.requests + told.requests, known.repeats + told.repeats
            )
    for budget in budgets:
        budget._totals.totals = counts, len(budgets)


def test_many_repeats_pass_while_the_fleet_makes_few():
    """One service loses two answers of five for some seconds. The fleet's bound leaves
    room for all repeats, though each sidecar's own safe part doesn't.
    """
    budgets = [new_budget(10) for _ in range(10)]
    for budget in budgets:
        for number in range(100):
            budget.sent("archiv", repeated=False, now_ms=number * 10.0)
    exchange(budgets, 1_000.0)
    one = budgets[0]
    allowed = 0
    while one.allows("archiv", 1_000.0) and allowed < 100:
        one.sent("archiv", repeated=True, now_ms=1_000.0)
        allowed += 1
    assert 15 <= allowed <= 25


def test_sidecar_that_does_not_hear_all_others_keeps_to_its_safe_part():
    budget = new_budget(10)
    for number in range(100):
        budget.sent("archiv", repeated=False, now_ms=number * 10.0)
    budget._totals.totals = {"archiv": Counted(200, 0)}, 2
    for _ in range(9):
        budget.sent("archiv", repeated=True, now_ms=1_000.0)
    assert not budget.allows("archiv", 1_000.0)


def test_repeats_of_three_levels_of_calls_add_up_to_the_ratio():
    """A repeated request repeats its calls, and theirs: each level's own repeats come
    on top of those that it inherits, and the deepest service sees the sum.
    """
    levels = ["archiv", "schvaleni", "vydej"]
    budget = new_budget(1)
    arrivals = dict.fromkeys(levels, 0)
    for number in range(2_000):
        now_ms = number * 4.0
        repeated = False
        for service in levels:
            budget.sent(service, repeated=repeated, now_ms=now_ms)
            arrivals[service] += repeated
            if not repeated and budget.allows(service, now_ms):
                repeated = True
                budget.sent(service, repeated=True, now_ms=now_ms)
                arrivals[service] += 1
    assert max(arrivals.values()) <= RATIO * 2_000 + SLACK


CHAIN = (("archiv", 1), ("schvaleni", 1), ("vydej", 1), ("prehled", 4))
"""Services that a lookup passes through, and how often each calls the next one."""


def test_chain_that_fails_at_each_service_keeps_the_bound_of_the_deepest():
    """Answers are lost at four services at once. Each request that is repeated repeats
    its calls, by sidecars that know nothing of it, and they add up from all levels: the
    deepest service gets a tenth more than the platform allows.
    """
    rng = random.Random(5)
    groups = {service: [new_budget(16) for _ in range(4)] for service, _ in CHAIN}
    arrivals = {False: [], True: []}

    def call(depth, now_ms, *, repeated):
        if depth == len(CHAIN):
            return
        service, times = CHAIN[depth]
        below = [name for name, _ in CHAIN[depth + 1 :]]
        for _ in range(times):
            budget = rng.choice(groups[service])
            run(budget, depth, now_ms, repeated=repeated)
            failed = 4_000 < now_ms < 16_000 and rng.random() < 0.3
            if failed and budget.allows(service, now_ms, below=below):
                run(budget, depth, now_ms, repeated=True)

    def run(budget, depth, now_ms, *, repeated):
        service = CHAIN[depth][0]
        budget.sent(service, repeated=repeated, now_ms=now_ms)
        if service == "prehled":
            arrivals[repeated].append(now_ms)
        call(depth + 1, now_ms, repeated=repeated)

    now_ms = told_ms = 0.0
    while now_ms < 20_000:
        now_ms += 2.0
        if now_ms - told_ms >= 1_000.0:
            told_ms = now_ms
            exchange([budget for group in groups.values() for budget in group], now_ms)
        call(0, now_ms, repeated=False)
    for end_ms in range(10_000, 20_000, 500):
        begin_ms = end_ms - WINDOW_MS
        asked, told = (
            sum(begin_ms < at_ms <= end_ms for at_ms in arrivals[repeated])
            for repeated in (False, True)
        )
        assert told <= RATIO * asked + SLACK


def test_one_silent_host_of_a_large_fleet_leaves_the_sum_of_use():
    """One host of two hundred is restarted or cut off at most times. If its missing
    counts made all others keep to their safe part, they would do so for ever.
    """
    fleet = Fleet()
    budget = new_budget(200, fleet)
    for number in range(100):
        budget.sent("archiv", repeated=False, now_ms=number * 10.0)
    fleet.totals = {"archiv": Counted(20_000, 0)}, 199
    for _ in range(15):
        assert budget.allows("archiv", 1_000.0)
        budget.sent("archiv", repeated=True, now_ms=1_000.0)
    fleet.totals = {"archiv": Counted(20_000, 0)}, 150
    assert not budget.allows("archiv", 1_000.0)


def test_unknown_service_may_use_its_part_of_the_slack():
    assert new_budget(1).allows("archiv", 0.0)
    assert not new_budget(100).allows("archiv", 0.0)


def test_old_repeats_are_forgotten():
    budget = new_budget(10)
    for _ in range(2):
        budget.sent("archiv", repeated=True, now_ms=0.0)
    assert not budget.allows("archiv", 5_000.0)
    assert budget.allows("archiv", 11_500.0)


def fail_all(budget, priorities, *, below=()):
    """Send 100 requests in a second, of which each is repeated if it may be.

    Returns:
        The repeats, by priority.
    """
    repeats = Counter()
    for number in range(100):
        now_ms = number * 10.0
        budget.sent("prehled", repeated=False, now_ms=now_ms)
        priority = priorities[number % len(priorities)]
        if budget.allows("prehled", now_ms, below=below, priority=priority):
            budget.sent("prehled", repeated=True, now_ms=now_ms, priority=priority)
            repeats[priority] += 1
    return repeats


def test_repeats_at_the_deepest_service_go_to_the_more_important_first():
    """The deepest service refuses half of all it gets. Spread over all trees, the
    repeats save hardly any, since each makes eight calls: bookings fail like lookups.
    """
    repeats = fail_all(new_budget(1), [0, 2])
    assert repeats[2] <= repeats[0] / 2
    assert repeats.total() <= 0.2 * 100 + SLACK / 2


def test_less_important_ones_have_the_budget_to_themselves_if_nothing_else_fails():
    alone = fail_all(new_budget(1), [2])
    assert alone[2] >= 0.9 * fail_all(new_budget(1), [0])[0]


def test_service_that_calls_others_keeps_to_the_part_that_adds_up_over_levels():
    budget = new_budget(2)
    assert fail_all(budget, [0], below={"archiv"}).total() <= 0.35 * 20 + SLACK / 4
