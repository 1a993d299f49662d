"""Tests of the rate limiter of organisations at one host."""

import random

import pytest

from sassafraswinch.organisation_rates import (
    LOCAL_BURST_TOKENS,
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
    """A host that receives the fleet usage that a test sets."""

    def __init__(self, *, started_ms=0.0, **usage):
        self.reported = FleetUsage({"large": Usage(**usage)} if usage else {}, HOSTS)
        self.rates = OrganisationRates(
            rule=RULE,
            now_ms=started_ms,
            max_hosts=lambda: HOSTS,
            fleet_usage=lambda now_ms: self.reported,
            random=random.Random(1).random,
        )
        self.now_ms = START_MS

    def admitted_share(self, count, *, gap_ms=500.0, organisation=LARGE):
        """Return the share of ``count`` requests that is admitted."""
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


def test_all_requests_are_admitted_below_the_limit():
    assert Host(asked_per_s=60.0, spent=300).admitted_share(200) == 1.0


def test_all_requests_of_an_unreported_organisation_are_admitted():
    assert Host().admitted_share(200) == 1.0


def test_flood_is_admitted_in_proportion_to_its_limit():
    share = Host(asked_per_s=500.0, spent=570).admitted_share(400)
    assert share == pytest.approx(0.2, abs=0.05)


def test_no_request_is_admitted_far_beyond_the_limit():
    assert Host(asked_per_s=500.0, spent=1_200).admitted_share(50) == 0.0


def test_hosts_without_a_report_keep_their_share():
    """Guards against two halves of a partitioned fleet that each use the full limit."""
    host = Host(asked_per_s=500.0, spent=285)
    host.reported = FleetUsage(host.reported.uses, HOSTS // 2)
    decision = host.rates.decide_admission(LARGE, START_MS)
    assert decision.limit_share == 0.5
    assert decision.share == pytest.approx(0.1, abs=0.03)


def test_isolated_host_has_an_even_share():
    host = Host()
    host.reported = FleetUsage()
    share = host.admitted_share(200, gap_ms=25.0)
    assert share == pytest.approx(100.0 / HOSTS / 40.0, abs=0.03)


def test_the_window_before_all_hosts_started_counts_as_spent():
    """Guards against a second burst after all hosts were killed and restarted."""
    host = Host(asked_per_s=500.0, spent=0)
    host.reported = FleetUsage(host.reported.uses, HOSTS, HOSTS * RULE.window_ms)
    assert host.rates.decide_admission(LARGE, START_MS).share == pytest.approx(
        0.2, abs=0.01
    )


def test_host_admits_little_more_than_its_share_before_it_receives_totals():
    """Guards against a flood at one host that isn't in the totals yet."""
    host = Host()
    admitted = host.admitted_share(300, gap_ms=1.0) * 300
    assert admitted <= LOCAL_BURST_TOKENS + LIMIT.burst / HOSTS + 2


def test_requests_that_did_not_run_are_given_back():
    host = Host()
    host.rates.spend(LARGE, START_MS)
    assert host.rates.report(START_MS).uses["large"].spent == 1
    host.rates.refund(LARGE, START_MS)
    assert host.rates.report(START_MS).uses == {}


def test_counts_expire_with_their_window():
    host = Host()
    host.rates.decide_admission(LARGE, START_MS)
    host.rates.spend(LARGE, START_MS)
    late_ms = START_MS + 2 * RULE.window_ms
    assert host.rates.report(late_ms).uses == {}
    assert not host.rates._counts


def test_lowered_limit_applies_from_now_on():
    """Guards against refusing every request for a window after a limit fell to 10%."""
    host = Host()
    for _ in range(100):
        host.rates.spend(LARGE, START_MS)
    less = Organisation(name="large", limit=RateLimit(rate_per_s=10.0, burst=10.0))
    host.rates.decide_admission(less, START_MS)
    assert host.rates.report(START_MS).uses["large"].spent == 10


def test_retries_of_refused_callers_are_spread_over_the_overdrawn_share():
    host = Host(asked_per_s=500.0, spent=570)
    decision = host.rates.decide_admission(LARGE, START_MS)
    waits = [host.rates.wait_ms(decision) for _ in range(100)]
    assert min(waits) >= 0.5 * (1.0 - decision.share) * RULE.window_ms
    assert max(waits) <= RULE.window_ms
    assert len(set(waits)) == 100


def test_total_adds_usage_and_hosts():
    one = FleetUsage({"a": Usage(1.0, 2)}, 1, 100.0)
    other = FleetUsage({"a": Usage(2.0, 3), "b": Usage(4.0, 5)}, 2, 50.0)
    total = FleetUsage({"a": Usage(3.0, 5), "b": Usage(4.0, 5)}, 3, 150.0)
    assert total_usage([one, other]) == total
    assert total_usage([]) == FleetUsage()
