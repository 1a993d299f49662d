"""Tests of the retry allowance of a call tree, child calls and caller retry budget."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafraswinch.answer_store import AnswerStore
from sassafraswinch.claims import Dispatch, Join, Recorded, Refused
from sassafraswinch.messages import Answer
from sassafraswinch.retry import (
    IDLE_PER_RETRY_MS,
    INITIAL_RETRIES,
    CallerRetryBudget,
    ChildCalls,
    RetryAllowance,
)
from sassafraswinch.verdict import Reason, Verdict

PICKS = st.sampled_from([0, 0, -1, -2, -3])
"""Index of a call of the tree: its root, or one of the newest."""


class Call:
    """One execution of a call, as its executing node keeps it."""

    def __init__(self, *, name, granted, parent=None, child_number=None, repeatable):
        self.name = name
        self.parent = parent
        self.child_number = child_number
        self.repeatable = repeatable
        self.granted = granted
        self.allowance = RetryAllowance(granted=granted)
        self.children = ChildCalls(
            parent=name,
            parent_repeatable=repeatable,
            allowance=self.allowance,
            answers=AnswerStore(max_bytes=5000),
        )


class CallTree(RuleBasedStateMachine):
    """Services make and retry child calls, nodes retry, answers are delayed or lost.

    Answers may also be duplicated.
    """

    @initialize(
        granted=st.integers(0, 4), repeatable=st.sampled_from([False, False, True])
    )
    def begin(self, granted, repeatable):
        self.granted = granted
        self.retries = 0
        self.dispatched = Counter()
        self.answers = []
        self.unanswered = []
        self.calls = [Call(name=0, granted=granted, repeatable=repeatable)]

    @rule(pick=PICKS, key=st.sampled_from([b"1", b"2"]), read=st.booleans())
    def service_calls(self, pick, key, read):
        parent = self.calls[pick % len(self.calls)]
        operation = "read" if read else "release"
        claim = parent.children.claim(operation, key, repeatable=read)
        if isinstance(claim, Dispatch):
            self.retries += self.dispatched[parent.name, operation, key] > 0
            self.dispatched[parent.name, operation, key] += 1
            self.dispatch(parent, claim.number, read)

    @rule(pick=PICKS)
    def node_retries(self, pick):
        call = self.calls[pick % len(self.calls)]
        if call in self.unanswered and call.parent.allowance.spend():
            self.retries += 1
            self.unanswered.remove(call)
            self.dispatch(call.parent, call.child_number, call.repeatable)

    @rule(pick=PICKS)
    def service_retries_until_refused(self, pick):
        while self.calls[pick % len(self.calls)].allowance.spend():
            self.retries += 1

    @rule(pick=PICKS)
    def node_times_out(self, pick):
        self.settle(self.calls[pick % len(self.calls)], Verdict.MAY_HAVE_RUN)

    @rule(pick=PICKS, verdict=st.sampled_from(Verdict))
    def answer(self, pick, verdict):
        call = self.calls[pick % len(self.calls)]
        if not call.parent:
            return
        call.children.close()
        self.answers.append((call, call.allowance.close(), verdict))

    @precondition(lambda self: self.answers)
    @rule(pick=st.integers(0, 3), duplicate=st.booleans())
    def deliver(self, pick, duplicate):
        answer = self.answers[pick % len(self.answers)]
        if not duplicate:
            self.answers.remove(answer)
        call, unspent, verdict = answer
        if call.parent:
            call.parent.allowance.reclaim(call.name, unspent)
            self.settle(call, verdict)

    def settle(self, call, verdict):
        if call in self.unanswered:
            self.unanswered.remove(call)
            answer = Answer(number=call.name, verdict=verdict)
            children = call.parent.children
            children.finish(call.child_number, answer, repeatable=call.repeatable)

    def dispatch(self, parent, number, repeatable):
        name = len(self.calls)
        granted = parent.allowance.reserve_for_child(name)
        child = Call(
            name=name,
            granted=granted,
            parent=parent,
            child_number=number,
            repeatable=repeatable,
        )
        self.calls.append(child)
        self.unanswered.append(child)

    @invariant()
    def retries_are_within_the_allowance(self):
        assert self.retries <= self.granted

    @invariant()
    def a_service_gets_a_release_dispatched_at_most_once(self):
        releases = [key for key in self.dispatched if key[1] == "release"]
        assert all(self.dispatched[key] == 1 for key in releases)


TestCallTree = CallTree.TestCase
TestCallTree.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)


def test_a_second_answer_returns_nothing():
    """Guard against more retries than granted after a duplicate answer.

    The answer of a child call arrives over the old link and again after a fence. Both
    return the same unspent retries while another child call spends its own.
    """
    allowance = RetryAllowance(granted=4)
    assert (
        allowance.reserve_for_child("first"),
        allowance.reserve_for_child("second"),
    ) == (2, 1)
    allowance.reclaim("first", 2)
    allowance.reclaim("first", 2)
    assert allowance.unspent == 3


def test_a_child_returns_no_more_than_it_was_handed():
    allowance = RetryAllowance(granted=2)
    allowance.reserve_for_child("child")
    allowance.reclaim("child", 99)
    assert allowance.unspent == 2


def test_a_closed_allowance_permits_no_retry():
    """Guard against more retries than granted by child calls after the answer."""
    allowance = RetryAllowance(granted=2)
    assert allowance.close() == 2
    assert not allowance.spend()
    assert allowance.reserve_for_child("child") == allowance.close() == 0


def children(*, granted=1, parent_repeatable=False, **bounds):
    return ChildCalls(
        parent="parent",
        parent_repeatable=parent_repeatable,
        allowance=RetryAllowance(granted=granted),
        answers=AnswerStore(max_bytes=5000),
        **bounds,
    )


def test_a_service_that_repeats_a_release_gets_the_recorded_answer():
    """Guard against a duplicate release.

    A service times out and retries a child call that was executed.
    """
    calls = children()
    assert calls.claim("release", b"1", repeatable=False) == Dispatch(number=0)
    assert calls.claim("release", b"1", repeatable=False) == Join(number=0)
    answer = Answer(number=7, verdict=Verdict.ANSWERED, body=b"shipped")
    calls.finish(0, answer, repeatable=False)
    assert calls.claim("release", b"1", repeatable=False) == Recorded(answer=answer)


def test_a_service_that_repeats_a_lookup_spends_the_allowance():
    calls = children(granted=1)
    for _ in range(2):
        claim = calls.claim("lookup", b"1", repeatable=True)
        assert claim == Dispatch(number=0)
        answer = Answer(number=7, verdict=Verdict.ANSWERED)
        calls.finish(0, answer, repeatable=True)
    refused = Refused(verdict=Verdict.NOT_RUN, reason=Reason.RETRY_REFUSED)
    assert calls.claim("lookup", b"1", repeatable=True) == refused


def test_a_repeatable_parent_may_not_release():
    """Guard against a duplicate release by a lookup that is retried on another host."""
    calls = children(parent_repeatable=True)
    refused = Refused(verdict=Verdict.NOT_RUN, reason=Reason.REPEATABLE_PARENT)
    assert calls.claim("release", b"1", repeatable=False) == refused


def test_calls_beyond_what_is_remembered_are_refused():
    calls = children(max_children=1)
    calls.claim("release", b"1", repeatable=False)
    refused = Refused(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED)
    assert calls.claim("release", b"2", repeatable=False) == refused


@pytest.mark.parametrize("share_percent", [0, 10, 100])
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["acme", "rival", "third"]),
            st.booleans(),
            st.sampled_from([0, 1, IDLE_PER_RETRY_MS / 4]),
        ),
        max_size=120,
    )
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_repeats_of_an_organisation_stay_a_share_of_its_first_attempts(
    share_percent, steps
):
    """Check the bound, also for an organisation that is evicted and returns."""
    budget = CallerRetryBudget(share_percent=share_percent, max_organisations=2)
    now_ms = 0.0
    first_attempts, repeats = Counter(), Counter()
    for organisation, repeat, wait_ms in steps:
        now_ms += wait_ms
        if repeat:
            repeats[organisation] += budget.spend_retry(organisation, now_ms)
        else:
            first_attempts[organisation] += 1
            budget.record_first_attempt(organisation, now_ms)
        earned = first_attempts[organisation] * share_percent / 100
        bound = INITIAL_RETRIES + earned + now_ms / IDLE_PER_RETRY_MS
        assert repeats[organisation] <= bound + 1e-9
