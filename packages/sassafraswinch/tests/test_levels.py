"""Tests of rank thresholds: at a gate, and by service at the ingress."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch.class_hold import HOLD_MS
from sassafraswinch.levels import (
    MAX_OPERATIONS,
    REOPEN_MS,
    IngressShedder,
    rank_below,
    rank_position,
)
from sassafraswinch.messages import LEVELS, Rank, ServiceThreshold
from sassafraswinch.threshold import INTERVAL_MS, Threshold

PAYING, TRIAL = 0, 2
MIDDLE_OF_TRIAL = (ServiceThreshold("archiv", Rank(TRIAL, LEVELS // 2)),)


def test_operations_that_need_a_service_share_its_threshold():
    """Paying releases must not be refused while trial lookups are answered.

    Both need the overloaded archive. With one threshold for each operation, that of the
    release could be stricter than that of the lookup after its last answers, so lookups
    used the capacity that releases were refused.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(TRIAL, LEVELS - 1), 0)
    shedder.apply_thresholds("lookup", MIDDLE_OF_TRIAL, 0, complete=False)
    strict = (ServiceThreshold("archiv", Rank(PAYING, 10)),)
    for _ in range(10):
        shedder.apply_thresholds("release", strict, 0, complete=False)
    assert not shedder.admits("release", Rank(PAYING, LEVELS - 1), 0)
    assert not shedder.admits("lookup", Rank(TRIAL, 0), 0)


def test_refused_call_leaves_thresholds_of_unreached_services_unchanged():
    """A release is refused by the first service and never reaches the archive.

    Its answer therefore has no threshold of the overloaded archive. Interpreted as "the
    archive admits all" it would undo the thresholds of complete answers.
    """
    shedder = IngressShedder()
    shedder.admits("release", Rank(TRIAL, 0), 0)
    strict = (ServiceThreshold("archiv", Rank(PAYING, 10)),)
    for _ in range(10):
        shedder.apply_thresholds("release", strict, 0, complete=True)
    before = shedder.admits("release", Rank(PAYING, 100), 0)
    for _ in range(100):
        shedder.apply_thresholds("release", (), 0, complete=False)
    assert not before
    assert not shedder.admits("release", Rank(PAYING, 100), 0)


def test_all_ranks_are_admitted_again_after_a_second():
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(TRIAL, 0), 0)
    for _ in range(50):
        strict = (ServiceThreshold("archiv", Rank(PAYING, 0)),)
        shedder.apply_thresholds("lookup", strict, 0, complete=True)
    assert not shedder.admits("lookup", Rank(PAYING, 20), 0)
    assert shedder.admits("lookup", Rank(TRIAL, LEVELS - 1), 1_300)


@settings(derandomize=True, deadline=None)
@given(
    answers=st.lists(
        st.tuples(
            st.sampled_from(["lookup", "release"]),
            st.sampled_from(["archiv", "vydej"]),
            st.integers(0, 2),
            st.integers(0, LEVELS - 1),
            st.booleans(),
        ),
        max_size=30,
    ),
    ranks=st.lists(st.integers(0, 2), min_size=2, max_size=20),
)
def test_no_class_is_admitted_where_a_higher_one_is_refused(answers, ranks):
    shedder = IngressShedder()
    for operation, service, order, level, complete in answers:
        thresholds = (ServiceThreshold(service, Rank(order, level)),)
        shedder.apply_thresholds(operation, thresholds, 0, complete=complete)
    refused = [
        order
        for order in ranks
        if not shedder.admits("lookup", Rank(order, LEVELS - 1), 0)
    ]
    if refused:
        lower = min(refused) + 1
        assert not shedder.admits("lookup", Rank(lower, 0), 0)


def test_memory_is_bounded():
    shedder = IngressShedder()
    for number in range(2 * MAX_OPERATIONS):
        thresholds = (ServiceThreshold(f"service-{number}", Rank(0, 1)),)
        shedder.apply_thresholds(f"operation-{number}", thresholds, 0, complete=True)
    assert len(shedder._needed) <= MAX_OPERATIONS
    assert shedder.retry_after_ms("lookup", Rank(0, 0), 0, random.Random(1)) >= 0


ranks = st.builds(Rank, st.integers(0, 3), st.integers(0, LEVELS - 1))


def apply_archive_answer(shedder, threshold, now_ms):
    thresholds = () if threshold is None else (ServiceThreshold("archiv", threshold),)
    shedder.apply_thresholds("lookup", thresholds, now_ms, complete=True)


@given(rank=ranks)
@settings(derandomize=True, deadline=None)
def test_rank_below_inverts_rank_position(rank):
    assert rank_below(rank_position(rank) + 1 / LEVELS) == rank


@given(
    answers=st.lists(
        st.tuples(st.one_of(st.none(), ranks), st.floats(0, 200)), max_size=30
    ),
    offers=st.lists(ranks, min_size=2, max_size=30),
)
@settings(derandomize=True, deadline=None)
def test_ingress_never_admits_a_lower_rank_where_it_refuses_a_higher(answers, offers):
    shedder, now_ms = IngressShedder(), 0.0
    shedder.admits("lookup", Rank(3, 0), now_ms)
    for threshold, pause_ms in answers:
        now_ms += pause_ms
        apply_archive_answer(shedder, threshold, now_ms)
    admitted = {rank: shedder.admits("lookup", rank, now_ms) for rank in offers}
    refused = [rank for rank in offers if not admitted[rank]]
    assert all(rank < min(refused) for rank in offers if admitted[rank] and refused)


def test_ingress_refuses_calls_that_nodes_would_refuse_and_reopens():
    """A node reports a threshold at half of the paying class, then no more answers.

    The ingress must refuse at once the calls that the node would refuse. Without
    answers it must reopen within a second, or no call would ever reach the node again.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(1, 0), 0.0)
    for _ in range(20):
        apply_archive_answer(shedder, Rank(0, 63), 0.0)
    assert shedder.admits("lookup", Rank(0, 50), 0.0)
    assert not shedder.admits("lookup", Rank(0, 80), 0.0)
    assert not shedder.admits("lookup", Rank(1, 0), 0.0)
    assert shedder.admits("another operation", Rank(1, 0), 0.0)
    assert shedder.admits("lookup", Rank(1, 127), REOPEN_MS)


def test_ingress_holds_lower_classes_back_for_a_while_after_a_refusal():
    """The boundary reopens past the end of the paying class just after a refusal.

    The next trial call would be admitted where a paying call was just refused.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(1, 0), 0.0)
    for _ in range(20):
        apply_archive_answer(shedder, Rank(0, 119), 0.0)
    assert not shedder.admits("lookup", Rank(0, 127), 0.0)
    assert not shedder.admits("lookup", Rank(1, 0), HOLD_MS - 1)
    assert shedder.admits("lookup", Rank(0, 127), HOLD_MS - 1)
    assert shedder.admits("lookup", Rank(1, 0), HOLD_MS)


def test_ingress_retry_after_grows_with_the_number_of_refused_calls():
    shedder, rng = IngressShedder(), random.Random(1)
    apply_archive_answer(shedder, Rank(0, 0), 0.0)
    waits = [shedder.retry_after_ms("lookup", Rank(0, 90), 0.0, rng) for _ in range(3)]
    assert all(wait > 0 for wait in waits)


def offer_interval(threshold, *, rates_per_s, now_ms, rng):
    """Offer the calls of one interval that an ingress admits by the threshold."""
    for order, rate in enumerate(rates_per_s):
        for _ in range(int(rate * INTERVAL_MS / 1000)):
            rank = Rank(order, rng.randrange(LEVELS))
            if threshold.admits(rank, 0):
                threshold.record_offer(rank, 0)
    assert threshold.is_due(now_ms)


def test_threshold_follows_the_capacity_and_is_removed_after_overload():
    """900 paying and 900 trial calls per second arrive, and 1,000 can be served.

    The capacity suffices for all paying and about a ninth of the trial levels. The
    ingress then holds the rest back, which must not count as lower demand. Once no
    class has a standing queue, the threshold must be removed within a second.
    """
    threshold, rng, now_ms = Threshold(), random.Random(1), 0.0
    threshold.is_due(now_ms)
    for _ in range(10):
        now_ms += INTERVAL_MS
        offer_interval(threshold, rates_per_s=(900, 900), now_ms=now_ms, rng=rng)
        threshold.end_interval(
            capacity_per_s=1000, excess_calls=0, standing=1, now_ms=now_ms
        )
        assert 1 <= threshold.boundary <= 1.3
    for _ in range(10):
        now_ms += INTERVAL_MS
        offer_interval(threshold, rates_per_s=(300, 300), now_ms=now_ms, rng=rng)
        threshold.end_interval(
            capacity_per_s=1000, excess_calls=0, standing=None, now_ms=now_ms
        )
    assert threshold.rank is None


def test_calls_with_progress_bypass_levels_but_not_classes():
    threshold, rng = Threshold(), random.Random(1)
    threshold.is_due(0.0)
    offer_interval(threshold, rates_per_s=(900, 900), now_ms=INTERVAL_MS, rng=rng)
    threshold.end_interval(
        capacity_per_s=450, excess_calls=0, standing=0, now_ms=INTERVAL_MS
    )
    late = Rank(0, LEVELS - 1)
    assert not threshold.admits(late, 0)
    assert threshold.admits(late, 1)
    assert not threshold.admits(Rank(1, 0), 1)
