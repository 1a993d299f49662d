"""Which requests are held back after servers ended, on hosts that talk."""

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


def standing(suspects, now_ms, digests=BAD):
    return suspects.decide(digests, now_ms).restriction


def ended_at(*times_ms, digests=BAD):
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
def test_standing_falls_with_the_ends(ends, expected):
    assert standing(ended_at(*range(ends)), 10.0) is expected


def test_end_that_is_told_twice_counts_once():
    """Two hosts tell of the same end of a server, one of them late. A lookup that was
    lost with two servers must not be held back as if it had ended three.
    """
    suspects = ended_at(0.0, 1.0)
    suspects.record_crash(BAD, "i-1", 500.0)
    assert standing(suspects, 600.0) is Restriction.ALONE


def test_request_that_was_answered_since_is_cleared():
    """Many callers ask for the same page. It runs on each server that ends, and is
    answered by the others all the time.
    """
    suspects = ended_at(0.0, 1.0, 2.0)
    assert suspects.record_answer(BAD, 3.0)
    assert standing(suspects, 4.0) is Restriction.FREE
    suspects.record_crash(BAD, "i-9", 5.0)
    assert standing(suspects, 6.0) is Restriction.FREE


def test_end_after_the_answer_counts_though_it_is_told_later():
    suspects = ended_at(0.0, 1.0)
    suspects.record_answer(BAD, 2.0)
    suspects.merge_reports(
        [SuspectReport(BAD[0], {"a": 5.0, "b": 6.0, "c": 7.0})], 10.0
    )
    assert standing(suspects, 10.0) is Restriction.HELD


def test_trials_come_ever_later():
    """A request that was held back wrongly is tried after two minutes. One that ends
    the server again waits ten, then half an hour each.
    """
    suspects = ended_at(0.0, 1.0, 2.0)
    assert standing(suspects, FIRST_TRIAL_DELAY_MS + 1) is Restriction.HELD
    at_ms = FIRST_TRIAL_DELAY_MS + 2
    assert standing(suspects, at_ms) is Restriction.TRIAL
    pauses_ms = []
    for number in range(3):
        suspects.record_crash(BAD, f"trial-{number}", at_ms)
        pauses_ms.append(suspects.decide(BAD, at_ms).wait_ms)
        at_ms += pauses_ms[-1]
    assert pauses_ms == [
        5 * FIRST_TRIAL_DELAY_MS,
        MAX_TRIAL_DELAY_MS,
        MAX_TRIAL_DELAY_MS,
    ]


def test_loss_of_all_servers_at_once_delays_the_trial_no_further():
    """All servers of a service end together, and the page that everybody asks for ran
    on each. It must not be held back for longer than a single one that ended three.
    """
    suspects = ended_at(*[float(number) for number in range(12)])
    assert standing(suspects, 12 + FIRST_TRIAL_DELAY_MS) is Restriction.TRIAL


def test_one_digest_of_two_is_enough():
    content = RequestContent("GET", b"/orders/1?page=1", b"Host: h\r\n", b"")
    other = RequestContent("GET", b"/orders/1?page=2", b"Host: h\r\n", b"")
    suspects = ended_at(0.0, 1.0, 2.0, digests=digest_request(content))
    assert suspects.may_contain(other.target)
    assert standing(suspects, 3.0, digest_request(other)) is Restriction.HELD


def test_other_path_is_not_even_digested():
    content = RequestContent("GET", b"/orders/1", b"", b"")
    suspects = ended_at(0.0, digests=digest_request(content))
    assert not suspects.may_contain(b"/orders/2")


def test_bound_drops_the_least_suspected_first():
    """A caller sends thousands of different requests that end servers."""
    suspects = ended_at(0.0, 1.0, 2.0)
    for number in range(2 * MAX_SUSPECTS):
        suspects.record_crash((b"%16d" % number,), f"x-{number}", 10.0 + number)
    assert len(suspects) <= MAX_SUSPECTS
    assert standing(suspects, 10.0) is Restriction.HELD


def test_old_ends_and_cleared_requests_are_forgotten():
    suspects = ended_at(0.0)
    suspects.evict_expired(CRASH_RETENTION_MS)
    assert not len(suspects)
    suspects = ended_at(0.0)
    suspects.record_answer(BAD, 1.0)
    suspects.evict_expired(CLEARED_RETENTION_MS)
    assert len(suspects) == 1
    suspects.evict_expired(CLEARED_RETENTION_MS + 2.0)
    assert not len(suspects)


def test_words_are_told_once():
    suspects = ended_at(0.0, 1.0)
    told = suspects.last_change
    assert not suspects.reports(2.0, after=told)
    suspects.record_crash(BAD, "i-9", 3.0)
    (word,) = suspects.reports(4.0, after=told)
    assert word.crash_ages_ms == {"i-0": 4.0, "i-1": 3.0, "i-9": 1.0}


def test_nothing_wrong_is_believed():
    """A peer's clock jumped: ages below zero or of days say nothing."""
    suspects = CrashSuspects()
    assert not suspects.merge_reports(
        [SuspectReport(BAD[0], {"a": -5.0, "b": 1e12})], 10.0
    )
    assert not len(suspects)


HOSTS = st.integers(0, 2)


class TalkingHosts(RuleBasedStateMachine):
    """Three hosts that tell each other late, twice, or not at all, and are reborn.

    The model knows every end and every answer; no host may count more ends than there
    were since the last answer that it can know of, and after all have talked each
    counts the same.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.hosts = [CrashSuspects() for _ in range(3)]
        self.numbers = itertools.count()
        self.ends: dict[str, float] = {}
        self.on_the_way: list[tuple[float, list[SuspectReport]]] = []

    @rule(host=HOSTS)
    def server_exits(self, host):
        self.now_ms += 1.0
        name = f"i-{next(self.numbers)}"
        self.ends[name] = self.now_ms
        self.hosts[host].record_crash(BAD, name, self.now_ms)

    @rule(host=HOSTS)
    def is_answered(self, host):
        self.now_ms += 1.0
        self.hosts[host].record_answer(BAD, self.now_ms)

    @rule(passes_ms=st.floats(1.0, 5_000.0))
    def time_passes(self, passes_ms):
        self.now_ms += passes_ms

    @rule(host=HOSTS)
    def sends(self, host):
        self.on_the_way.append((self.now_ms, self.hosts[host].reports(self.now_ms)))

    @rule(host=HOSTS, data=st.data())
    def receives(self, host, data):
        if self.on_the_way:
            _, words = data.draw(st.sampled_from(self.on_the_way))
            self.hosts[host].merge_reports(words, self.now_ms)

    @rule(host=HOSTS)
    def is_reborn(self, host):
        self.hosts[host] = CrashSuspects()

    @invariant()
    def counts_each_end_once(self):
        for host in self.hosts:
            judged = host.decide(BAD, self.now_ms)
            assert len(judged.crashes) <= len(self.ends)
            assert set(judged.crashes) <= set(self.ends)
            assert (judged.restriction >= Restriction.TRIAL) == (
                len(judged.crashes) >= CRASHES_TO_HOLD
            )

    @rule()
    def all_talk(self):
        for teller, hearer in itertools.permutations(self.hosts, 2):
            hearer.take(teller.words(self.now_ms), self.now_ms)
        for teller, hearer in itertools.permutations(self.hosts, 2):
            hearer.take(teller.words(self.now_ms), self.now_ms)
        judged = {host.decide(BAD, self.now_ms).crashes for host in self.hosts}
        assert len({frozenset(ends) for ends in judged}) == 1


TalkingHosts.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
test_hosts_that_talk_agree = TalkingHosts.TestCase
