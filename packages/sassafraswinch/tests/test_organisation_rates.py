"""One host's part in bounding what organisations send."""

import random

import pytest

from sassafraswinch.organisation_rates import (
    UNTOLD_TOKENS,
    FleetUsage,
    OrganisationRates,
    RateRule,
    Usage,
    total_usage,
)
from sassafraswinch.organisations import Organisation, RateLimit

RULE = RateRule(window_ms=5_000.0, slack=20.0)
LIMIT = RateLimit(rate_per_s=100.0, burst=100.0)
LARGE = Organisation(name="large", limit=LIMIT)
HOSTS = 50
START_MS = 10_000.0


class Host:
    """A host that is told what a test chooses."""

    def __init__(self, *, started_ms=0.0, **told):
        self.told = FleetUsage({"large": Usage(**told)} if told else {}, HOSTS)
        self.rates = OrganisationRates(
            rule=RULE,
            now_ms=started_ms,
            max_hosts=lambda: HOSTS,
            fleet_usage=lambda now_ms: self.told,
            random=random.Random(1).random,
        )
        self.now_ms = START_MS

    def let_in(self, count, *, gap_ms=500.0, organisation=LARGE):
        """Return the part of so many requests that is let in."""
        admitted = 0
        for _ in range(count):
            self.now_ms += gap_ms
            decision = self.rates.decide_admission(organisation, self.now_ms)
            if decision.admitted:
                admitted += 1
                self.rates.spend(organisation, self.now_ms)
        return admitted / count


def test_an_organisation_without_a_limit_needs_no_decision():
    assert Host().rates.decide_admission(Organisation(name="free"), START_MS) is None


def test_all_is_let_in_below_the_limit():
    assert Host(asked_per_s=60.0, spent=300).let_in(200) == 1.0


def test_all_is_let_in_of_an_organisation_that_isnt_told_of():
    assert Host().let_in(200) == 1.0


def test_a_flood_is_let_in_by_the_part_that_its_limit_is():
    share = Host(asked_per_s=500.0, spent=570).let_in(400)
    assert share == pytest.approx(0.2, abs=0.05)


def test_nothing_is_let_in_far_beyond_the_limit():
    assert Host(asked_per_s=500.0, spent=1_200).let_in(50) == 0.0


def test_hosts_that_arent_in_view_keep_their_part():
    """Guards against two halves of a cut fleet that each use the whole limit."""
    host = Host(asked_per_s=500.0, spent=285)
    host.told = FleetUsage(host.told.uses, HOSTS // 2)
    decision = host.rates.decide_admission(LARGE, START_MS)
    assert decision.limit_share == 0.5
    assert decision.share == pytest.approx(0.1, abs=0.03)


def test_a_host_that_hears_nobody_has_its_even_part():
    host = Host()
    host.told = FleetUsage()
    share = host.let_in(200, gap_ms=25.0)
    assert share == pytest.approx(100.0 / HOSTS / 40.0, abs=0.03)


def test_the_window_before_all_hosts_started_counts_as_spent():
    """Guards against a burst that is handed out anew after all hosts were killed."""
    host = Host(asked_per_s=500.0, spent=0)
    host.told = FleetUsage(host.told.uses, HOSTS, HOSTS * RULE.window_ms)
    assert host.rates.decide_admission(LARGE, START_MS).share == pytest.approx(
        0.2, abs=0.01
    )


def test_a_host_lets_in_little_more_than_its_part_before_it_is_told():
    """Guards against a flood at one host that the others haven't heard of yet."""
    host = Host()
    admitted = host.let_in(300, gap_ms=1.0) * 300
    assert admitted <= UNTOLD_TOKENS + LIMIT.burst / HOSTS + 2


def test_what_did_not_run_comes_back():
    host = Host()
    host.rates.spend(LARGE, START_MS)
    assert host.rates.report(START_MS).uses["large"].spent == 1
    host.rates.refund(LARGE, START_MS)
    assert host.rates.report(START_MS).uses == {}


def test_counts_leave_with_their_window():
    host = Host()
    host.rates.decide_admission(LARGE, START_MS)
    host.rates.spend(LARGE, START_MS)
    late_ms = START_MS + 2 * RULE.window_ms
    assert host.rates.report(late_ms).uses == {}
    assert not host.rates._counts


def test_a_limit_that_falls_binds_from_now_on():
    """Guards against refusing all for a window after a limit was cut to a tenth."""
    host = Host()
    for _ in range(100):
        host.rates.spend(LARGE, START_MS)
    less = Organisation(name="large", limit=RateLimit(rate_per_s=10.0, burst=10.0))
    host.rates.decide_admission(less, START_MS)
    assert host.rates.report(START_MS).uses["large"].spent == 10


def test_refused_callers_come_back_spread_over_what_is_overdrawn():
    host = Host(asked_per_s=500.0, spent=570)
    decision = host.rates.decide_admission(LARGE, START_MS)
    waits = [host.rates.wait_ms(decision) for _ in range(100)]
    assert min(waits) >= 0.5 * (1.0 - decision.share) * RULE.window_ms
    assert max(waits) <= RULE.window_ms
    assert len(set(waits)) == 100


def test_sums_add_up_and_keep_their_hosts():
    one = FleetUsage({"a": Usage(1.0, 2)}, 1, 100.0)
    other = FleetUsage({"a": Usage(2.0, 3), "b": Usage(4.0, 5)}, 2, 50.0)
    total = FleetUsage({"a": Usage(3.0, 5), "b": Usage(4.0, 5)}, 3, 150.0)
    assert total_usage([one, other]) == total
    assert total_usage([]) == FleetUsage()
