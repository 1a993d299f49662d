"""The retry budget limits the retries of the fleet without shared state."""

import random
from collections import Counter

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.retry_budget import AttemptCounts, RetryBudget

RATIO, SLACK, WINDOW_MS = 0.2, 50.0, 10_000.0


class Fleet:
    """Totals that all sidecars reported, as the fleet view returns them."""

    def __init__(self):
        self.totals = {}, 0

    def __call__(self, now_ms):
        return self.totals


def new_budget(sidecars, fleet=None):
    return RetryBudget(
        ratio=RATIO,
        slack=SLACK,
        window_ms=WINDOW_MS,
        max_sidecars=lambda: sidecars,
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
def test_retries_of_the_fleet_stay_within_ratio_and_slack(
    sidecars, rate_per_s, failed_share, seed
):
    """Random shares of requests fail; sidecars retry whatever their budget allows.

    The platform counts all attempts after the first one of each request, over any 10 s,
    against a ratio of the requests and a slack for the whole fleet.
    """
    rng = random.Random(seed)
    budgets = [new_budget(sidecars) for _ in range(sidecars)]
    requests, retries = [], []
    now_ms = exchanged_ms = 0.0
    while now_ms < 25_000:
        now_ms += rng.expovariate(rate_per_s * sidecars) * 1000
        if now_ms - exchanged_ms > 1_000.0:
            exchanged_ms = now_ms
            exchange_totals(budgets, now_ms)
        budget, priority = rng.choice(budgets), rng.randrange(3)
        budget.record_sent("archiv", is_retry=False, now_ms=now_ms)
        requests.append(now_ms)
        allowed = budget.allows_retry("archiv", now_ms, priority=priority)
        if rng.random() < failed_share and allowed:
            budget.record_sent(
                "archiv", is_retry=True, now_ms=now_ms, priority=priority
            )
            retries.append(now_ms)
    for end_ms in range(10_000, 26_000, 1_000):
        begin_ms = end_ms - WINDOW_MS
        retries_in_window = sum(begin_ms < at_ms <= end_ms for at_ms in retries)
        requests_in_window = sum(begin_ms < at_ms <= end_ms for at_ms in requests)
        assert retries_in_window <= RATIO * requests_in_window + SLACK


def exchange_totals(budgets, now_ms):
    """Give all budgets the totals of their counts, as zone aggregators do."""
    counts = {}
    for budget in budgets:
        for service, reported in budget.window_counts(now_ms).items():
            known = counts.get(service, AttemptCounts(0, 0))
            counts[service] = AttemptCounts(
                known.requests + reported.requests, known.retries + reported.retries
            )
    for budget in budgets:
        budget._totals.totals = counts, len(budgets)


def test_many_retries_are_allowed_while_the_fleet_makes_few():
    """One service loses 2 of 5 responses for some seconds. The fleet's budget allows
    more retries than the safe part of each sidecar.
    """
    budgets = [new_budget(10) for _ in range(10)]
    for budget in budgets:
        for number in range(100):
            budget.record_sent("archiv", is_retry=False, now_ms=number * 10.0)
    exchange_totals(budgets, 1_000.0)
    first_budget = budgets[0]
    allowed = 0
    while first_budget.allows_retry("archiv", 1_000.0) and allowed < 100:
        first_budget.record_sent("archiv", is_retry=True, now_ms=1_000.0)
        allowed += 1
    assert 15 <= allowed <= 25


def test_sidecar_without_reports_of_most_others_keeps_to_its_safe_part():
    budget = new_budget(10)
    for number in range(100):
        budget.record_sent("archiv", is_retry=False, now_ms=number * 10.0)
    budget._totals.totals = {"archiv": AttemptCounts(200, 0)}, 2
    for _ in range(9):
        budget.record_sent("archiv", is_retry=True, now_ms=1_000.0)
    assert not budget.allows_retry("archiv", 1_000.0)


def test_retries_of_three_levels_of_calls_stay_within_the_ratio():
    """A retried request makes its child calls again. Each level adds its own retries to
    those that it gets from upstream, and the deepest service gets the sum.
    """
    levels = ["archiv", "schvaleni", "vydej"]
    budget = new_budget(1)
    arrivals = dict.fromkeys(levels, 0)
    for number in range(2_000):
        now_ms = number * 4.0
        repeated = False
        for service in levels:
            budget.record_sent(service, is_retry=repeated, now_ms=now_ms)
            arrivals[service] += repeated
            if not repeated and budget.allows_retry(service, now_ms):
                repeated = True
                budget.record_sent(service, is_retry=True, now_ms=now_ms)
                arrivals[service] += 1
    assert max(arrivals.values()) <= RATIO * 2_000 + SLACK


CHAIN = (("archiv", 1), ("schvaleni", 1), ("vydej", 1), ("prehled", 4))
"""Services in the call chain of a lookup, each with the number of times that it is
called by one request of the service before it."""


def test_retries_at_the_deepest_service_stay_within_the_budget_if_all_levels_fail():
    """Responses are lost at 4 services at once. Retried requests make their child calls
    again, and the sidecars of each level don't know the retries of the others.
    Failure: the retries of all levels add up, and the deepest service gets a tenth more
    than the platform allows.
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
            if failed and budget.allows_retry(service, now_ms, downstream=below):
                run(budget, depth, now_ms, repeated=True)

    def run(budget, depth, now_ms, *, repeated):
        service = CHAIN[depth][0]
        budget.record_sent(service, is_retry=repeated, now_ms=now_ms)
        if service == "prehled":
            arrivals[repeated].append(now_ms)
        call(depth + 1, now_ms, repeated=repeated)

    now_ms = exchanged_ms = 0.0
    while now_ms < 20_000:
        now_ms += 2.0
        if now_ms - exchanged_ms >= 1_000.0:
            exchanged_ms = now_ms
            exchange_totals(
                [budget for group in groups.values() for budget in group], now_ms
            )
        call(0, now_ms, repeated=False)
    for end_ms in range(10_000, 20_000, 500):
        begin_ms = end_ms - WINDOW_MS
        requests_in_window, retries_in_window = (
            sum(begin_ms < at_ms <= end_ms for at_ms in arrivals[repeated])
            for repeated in (False, True)
        )
        assert retries_in_window <= RATIO * requests_in_window + SLACK


def test_totals_of_a_large_fleet_are_used_without_one_silent_host():
    """In a fleet of 200 hosts, one is restarting or unreachable most of the time. If
    its missing counts limited the others to their safe part, that would be permanent.
    """
    fleet = Fleet()
    budget = new_budget(200, fleet)
    for number in range(100):
        budget.record_sent("archiv", is_retry=False, now_ms=number * 10.0)
    fleet.totals = {"archiv": AttemptCounts(20_000, 0)}, 199
    for _ in range(15):
        assert budget.allows_retry("archiv", 1_000.0)
        budget.record_sent("archiv", is_retry=True, now_ms=1_000.0)
    fleet.totals = {"archiv": AttemptCounts(20_000, 0)}, 150
    assert not budget.allows_retry("archiv", 1_000.0)


def test_unknown_service_has_its_part_of_the_slack():
    assert new_budget(1).allows_retry("archiv", 0.0)
    assert not new_budget(100).allows_retry("archiv", 0.0)


def test_retries_before_the_window_do_not_count():
    budget = new_budget(10)
    for _ in range(2):
        budget.record_sent("archiv", is_retry=True, now_ms=0.0)
    assert not budget.allows_retry("archiv", 5_000.0)
    assert budget.allows_retry("archiv", 11_500.0)


def send_failing_requests(budget, priorities, *, below=()):
    """Send 100 requests within 1 s and retry each if the budget allows.

    Returns:
        The retries, by priority.
    """
    retries = Counter()
    for number in range(100):
        now_ms = number * 10.0
        budget.record_sent("prehled", is_retry=False, now_ms=now_ms)
        priority = priorities[number % len(priorities)]
        if budget.allows_retry("prehled", now_ms, downstream=below, priority=priority):
            budget.record_sent(
                "prehled", is_retry=True, now_ms=now_ms, priority=priority
            )
            retries[priority] += 1
    return retries


def test_retries_at_the_deepest_service_prefer_higher_priorities():
    """The deepest service refuses half of its requests. Each call tree makes 8 calls.
    Retries spread over all call trees would complete hardly any of them, and
    bookings would fail as often as lookups.
    """
    retries = send_failing_requests(new_budget(1), [0, 2])
    assert retries[2] <= retries[0] / 2
    assert retries.total() <= 0.2 * 100 + SLACK / 2


def test_low_priority_has_the_full_budget_if_nothing_else_fails():
    low_priority_only = send_failing_requests(new_budget(1), [2])
    assert low_priority_only[2] >= 0.9 * send_failing_requests(new_budget(1), [0])[0]


def test_service_with_downstream_services_keeps_to_the_share_that_adds_up():
    budget = new_budget(2)
    assert (
        send_failing_requests(budget, [0], below={"archiv"}).total()
        <= 0.35 * 20 + SLACK / 4
    )
