"""Tests of crash suspects: restrictions, trials, and reports between hosts."""

import itertools

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.crash_suspects import (
    CLEARED_RETENTION_MS,
    CRASH_RETENTION_MS,
    CRASHES_TO_HOLD,
    FIRST_TRIAL_DELAY_MS,
    MAX_SUSPECTS,
    MAX_TRIAL_DELAY_MS,
    CrashSuspects,
    Restriction,
    SuspectReport,
)
from sassafraswinch.request_digest import RequestContent, digest_request

BAD = (b"t" * 16,)


def restriction_of(suspects, now_ms, digests=BAD):
    return suspects.decide(digests, now_ms).restriction


def crashed_at(*times_ms, digests=BAD):
    suspects = CrashSuspects()
    for number, at_ms in enumerate(times_ms):
        suspects.record_crash(digests, f"i-{number}", at_ms)
    return suspects


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        (0, Restriction.FREE),
        (1, Restriction.FREE),
        (2, Restriction.ALONE),
        (3, Restriction.HELD),
        (9, Restriction.HELD),
    ],
)
def test_restriction_tightens_with_each_crash(ends, expected):
    assert restriction_of(crashed_at(*range(ends)), 10.0) is expected


def test_crash_that_is_reported_twice_counts_once():
    """Two hosts report the same crash, one of them late. A lookup that was lost with
    two servers must not be held back as if it had crashed three.
    """
    suspects = crashed_at(0.0, 1.0)
    suspects.record_crash(BAD, "i-1", 500.0)
    assert restriction_of(suspects, 600.0) is Restriction.ALONE


def test_request_that_was_answered_since_is_cleared():
    """Many callers request the same page, so it runs on each server that crashes, while
    other servers keep answering it.
    """
    suspects = crashed_at(0.0, 1.0, 2.0)
    assert suspects.record_answer(BAD, 3.0)
    assert restriction_of(suspects, 4.0) is Restriction.FREE
    suspects.record_crash(BAD, "i-9", 5.0)
    assert restriction_of(suspects, 6.0) is Restriction.FREE


def test_crash_after_the_answer_counts_though_it_is_reported_later():
    suspects = crashed_at(0.0, 1.0)
    suspects.record_answer(BAD, 2.0)
    suspects.merge_reports(
        [SuspectReport(BAD[0], {"a": 5.0, "b": 6.0, "c": 7.0})], 10.0
    )
    assert restriction_of(suspects, 10.0) is Restriction.HELD


def test_trial_delay_grows_with_each_failed_trial():
    """A request that was held back wrongly gets a trial after two minutes. One that
    crashes the server again waits ten minutes, then half an hour each time.
    """
    suspects = crashed_at(0.0, 1.0, 2.0)
    assert restriction_of(suspects, FIRST_TRIAL_DELAY_MS + 1) is Restriction.HELD
    at_ms = FIRST_TRIAL_DELAY_MS + 2
    assert restriction_of(suspects, at_ms) is Restriction.TRIAL
    delays_ms = []
    for number in range(3):
        suspects.record_crash(BAD, f"trial-{number}", at_ms)
        delays_ms.append(suspects.decide(BAD, at_ms).wait_ms)
        at_ms += delays_ms[-1]
    assert delays_ms == [
        5 * FIRST_TRIAL_DELAY_MS,
        MAX_TRIAL_DELAY_MS,
        MAX_TRIAL_DELAY_MS,
    ]


def test_loss_of_all_servers_at_once_delays_the_trial_no_further():
    """All servers of a service crash together while each runs the same popular page. It
    must not be held back for longer than a request that crashed three servers.
    """
    suspects = crashed_at(*[float(number) for number in range(12)])
    assert restriction_of(suspects, 12 + FIRST_TRIAL_DELAY_MS) is Restriction.TRIAL


def test_one_matching_digest_of_two_restricts_a_request():
    content = RequestContent("GET", b"/orders/1?page=1", b"Host: h\r\n", b"")
    other = RequestContent("GET", b"/orders/1?page=2", b"Host: h\r\n", b"")
    suspects = crashed_at(0.0, 1.0, 2.0, digests=digest_request(content))
    assert suspects.may_contain(other.target)
    assert restriction_of(suspects, 3.0, digest_request(other)) is Restriction.HELD


def test_request_for_another_path_needs_no_digest():
    content = RequestContent("GET", b"/orders/1", b"", b"")
    suspects = crashed_at(0.0, digests=digest_request(content))
    assert not suspects.may_contain(b"/orders/2")


def test_limit_evicts_the_suspects_with_the_fewest_crashes():
    """A caller sends thousands of different requests that crash servers."""
    suspects = crashed_at(0.0, 1.0, 2.0)
    for number in range(2 * MAX_SUSPECTS):
        suspects.record_crash((b"%16d" % number,), f"x-{number}", 10.0 + number)
    assert len(suspects) <= MAX_SUSPECTS
    assert restriction_of(suspects, 10.0) is Restriction.HELD


def test_old_crashes_and_cleared_requests_expire():
    suspects = crashed_at(0.0)
    suspects.evict_expired(CRASH_RETENTION_MS)
    assert not len(suspects)
    suspects = crashed_at(0.0)
    suspects.record_answer(BAD, 1.0)
    suspects.evict_expired(CLEARED_RETENTION_MS)
    assert len(suspects) == 1
    suspects.evict_expired(CLEARED_RETENTION_MS + 2.0)
    assert not len(suspects)


def test_reports_hold_only_changes_that_were_not_sent():
    suspects = crashed_at(0.0, 1.0)
    sent = suspects.last_change
    assert not suspects.reports(2.0, after=sent)
    suspects.record_crash(BAD, "i-9", 3.0)
    (report,) = suspects.reports(4.0, after=sent)
    assert report.crash_ages_ms == {"i-0": 4.0, "i-1": 3.0, "i-9": 1.0}


def test_implausible_ages_are_ignored():
    """A peer's clock jumped: ages below zero or of many days are not valid."""
    suspects = CrashSuspects()
    assert not suspects.merge_reports(
        [SuspectReport(BAD[0], {"a": -5.0, "b": 1e12})], 10.0
    )
    assert not len(suspects)


HOSTS = st.integers(0, 2)


class ReportingHosts(RuleBasedStateMachine):
    """Three hosts whose reports arrive late, twice or not at all, and that restart.

    The model records every crash; no host may count a crash that did not happen, or one
    twice, and after all hosts have exchanged reports each counts the same crashes.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.hosts = [CrashSuspects() for _ in range(3)]
        self.crash_numbers = itertools.count()
        self.crashes: dict[str, float] = {}
        self.in_transit: list[tuple[float, list[SuspectReport]]] = []

    @rule(host=HOSTS)
    def server_crashes(self, host):
        self.now_ms += 1.0
        name = f"i-{next(self.crash_numbers)}"
        self.crashes[name] = self.now_ms
        self.hosts[host].record_crash(BAD, name, self.now_ms)

    @rule(host=HOSTS)
    def request_is_answered(self, host):
        self.now_ms += 1.0
        self.hosts[host].record_answer(BAD, self.now_ms)

    @rule(passes_ms=st.floats(1.0, 5_000.0))
    def time_passes(self, passes_ms):
        self.now_ms += passes_ms

    @rule(host=HOSTS)
    def sends_report(self, host):
        self.in_transit.append((self.now_ms, self.hosts[host].reports(self.now_ms)))

    @rule(host=HOSTS, data=st.data())
    def receives_report(self, host, data):
        if self.in_transit:
            _, reports = data.draw(st.sampled_from(self.in_transit))
            self.hosts[host].merge_reports(reports, self.now_ms)

    @rule(host=HOSTS)
    def restarts(self, host):
        self.hosts[host] = CrashSuspects()

    @invariant()
    def counts_each_crash_once(self):
        for host in self.hosts:
            decision = host.decide(BAD, self.now_ms)
            assert len(decision.crashes) <= len(self.crashes)
            assert set(decision.crashes) <= set(self.crashes)
            assert (decision.restriction >= Restriction.TRIAL) == (
                len(decision.crashes) >= CRASHES_TO_HOLD
            )

    @rule()
    def all_exchange_reports(self):
        for sender, receiver in itertools.permutations(self.hosts, 2):
            receiver.merge_reports(sender.reports(self.now_ms), self.now_ms)
        for sender, receiver in itertools.permutations(self.hosts, 2):
            receiver.merge_reports(sender.reports(self.now_ms), self.now_ms)
        counted = {host.decide(BAD, self.now_ms).crashes for host in self.hosts}
        assert len({frozenset(ends) for ends in counted}) == 1


ReportingHosts.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
test_hosts_agree_after_exchanging_reports = ReportingHosts.TestCase
