"""Thresholds at the gate, and at the entry by service, whatever the operation."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch.class_hold import HOLD_MS
from sassafraswinch.levels import (
    MAX_OPERATIONS,
    REOPEN_MS,
    IngressShedder,
    position,
    rank_at,
)
from sassafraswinch.messages import LEVELS, Rank, ServiceThreshold
from sassafraswinch.threshold import INTERVAL_MS, Threshold

PAYING, TRIAL = 0, 2
MIDDLE_OF_TRIAL = (ServiceThreshold("archiv", Rank(TRIAL, LEVELS // 2)),)


def test_operations_that_need_a_service_share_its_threshold():
    """Paying releases were refused while trial lookups were answered.

    Both need the archive, which is overloaded. The entry kept one threshold for each
    operation, and that of the release had lately heard a stricter word than that of
    the lookup. So the lookup took the capacity that the release was refused.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(TRIAL, LEVELS - 1), 0)
    shedder.apply_thresholds("lookup", MIDDLE_OF_TRIAL, 0, complete=False)
    strict = (ServiceThreshold("archiv", Rank(PAYING, 10)),)
    for _ in range(10):
        shedder.apply_thresholds("release", strict, 0, complete=False)
    assert not shedder.admits("release", Rank(PAYING, LEVELS - 1), 0)
    assert not shedder.admits("lookup", Rank(TRIAL, 0), 0)


def test_refused_call_says_nothing_of_services_it_has_not_asked():
    """A release refused by the first service opened the way to the overloaded archive.

    Its answer told no threshold of the archive, since it never came there. Taken as
    "the archive admits all" it undid what whole answers had told.
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


def test_everything_is_open_again_after_a_second():
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(TRIAL, 0), 0)
    for _ in range(50):
        strict = (ServiceThreshold("archiv", Rank(PAYING, 0)),)
        shedder.apply_thresholds("lookup", strict, 0, complete=True)
    assert not shedder.admits("lookup", Rank(PAYING, 20), 0)
    assert shedder.admits("lookup", Rank(TRIAL, LEVELS - 1), 1_300)


@settings(derandomize=True, deadline=None)
@given(
    told=st.lists(
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
def test_no_class_passes_a_higher_one(told, ranks):
    shedder = IngressShedder()
    for operation, service, order, level, whole in told:
        met = (ServiceThreshold(service, Rank(order, level)),)
        shedder.apply_thresholds(operation, met, 0, complete=whole)
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
        met = (ServiceThreshold(f"service-{number}", Rank(0, 1)),)
        shedder.apply_thresholds(f"operation-{number}", met, 0, complete=True)
    assert len(shedder._needed) <= MAX_OPERATIONS
    assert shedder.retry_after_ms("lookup", Rank(0, 0), 0, random.Random(1)) >= 0


ranks = st.builds(Rank, st.integers(0, 3), st.integers(0, LEVELS - 1))


def learn_archive(shedder, threshold, now_ms):
    met = () if threshold is None else (ServiceThreshold("archiv", threshold),)
    shedder.apply_thresholds("lookup", met, now_ms, complete=True)


@given(rank=ranks)
@settings(derandomize=True, deadline=None)
def test_place_just_past_a_rank_leads_back_to_it(rank):
    assert rank_at(position(rank) + 1 / LEVELS) == rank


@given(
    answers=st.lists(
        st.tuples(st.one_of(st.none(), ranks), st.floats(0, 200)), max_size=30
    ),
    offers=st.lists(ranks, min_size=2, max_size=30),
)
@settings(derandomize=True, deadline=None)
def test_entry_never_admits_a_lower_claim_where_it_refuses_a_higher(answers, offers):
    shedder, now_ms = IngressShedder(), 0.0
    shedder.admits("lookup", Rank(3, 0), now_ms)
    for threshold, pause_ms in answers:
        now_ms += pause_ms
        learn_archive(shedder, threshold, now_ms)
    admitted = {rank: shedder.admits("lookup", rank, now_ms) for rank in offers}
    refused = [rank for rank in offers if not admitted[rank]]
    assert all(rank < min(refused) for rank in offers if admitted[rank] and refused)


def test_entry_refuses_what_would_be_refused_below_and_reopens_by_itself():
    """A deep node asks for the first half of the paying class, then falls silent.

    The entry refuses at once what would die below. With no answers any more, it
    has to open again within a second, or nobody would ever ask the node.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(1, 0), 0.0)
    for _ in range(20):
        learn_archive(shedder, Rank(0, 63), 0.0)
    assert shedder.admits("lookup", Rank(0, 50), 0.0)
    assert not shedder.admits("lookup", Rank(0, 80), 0.0)
    assert not shedder.admits("lookup", Rank(1, 0), 0.0)
    assert shedder.admits("another operation", Rank(1, 0), 0.0)
    assert shedder.admits("lookup", Rank(1, 127), REOPEN_MS)


def test_entry_holds_lower_classes_for_a_while_after_a_refusal():
    """The place drifts past the end of the paying class just after a refusal.

    A trial call of the next moment would pass where a paying one was refused.
    """
    shedder = IngressShedder()
    shedder.admits("lookup", Rank(1, 0), 0.0)
    for _ in range(20):
        learn_archive(shedder, Rank(0, 119), 0.0)
    assert not shedder.admits("lookup", Rank(0, 127), 0.0)
    assert not shedder.admits("lookup", Rank(1, 0), HOLD_MS - 1)
    assert shedder.admits("lookup", Rank(0, 127), HOLD_MS - 1)
    assert shedder.admits("lookup", Rank(1, 0), HOLD_MS)


def test_entry_retry_after_grows_with_the_refused():
    shedder, rng = IngressShedder(), random.Random(1)
    learn_archive(shedder, Rank(0, 0), 0.0)
    waits = [shedder.retry_after_ms("lookup", Rank(0, 90), 0.0, rng) for _ in range(3)]
    assert all(wait > 0 for wait in waits)


def offer_for(threshold, *, rates_per_s, now_ms, rng):
    """Offer one interval of calls as entries would that follow the threshold."""
    for order, rate in enumerate(rates_per_s):
        for _ in range(int(rate * INTERVAL_MS / 1000)):
            rank = Rank(order, rng.randrange(LEVELS))
            if threshold.admits(rank, 0):
                threshold.offered(rank, 0)
    assert threshold.due(now_ms)


def test_threshold_admits_what_fits_and_goes_with_the_pressure():
    """900 paying and 900 trial calls a second come, and 1,000 can be served.

    All paying and about a ninth of the trial levels fit. Entries then hold the
    rest back, which must not look like less demand. Once a class no longer
    waits, the threshold goes within a second.
    """
    threshold, rng, now_ms = Threshold(), random.Random(1), 0.0
    threshold.due(now_ms)
    for _ in range(10):
        now_ms += INTERVAL_MS
        offer_for(threshold, rates_per_s=(900, 900), now_ms=now_ms, rng=rng)
        threshold.decide(capacity_per_s=1000, excess_calls=0, standing=1, now_ms=now_ms)
        assert 1 <= threshold.place <= 1.3
    for _ in range(10):
        now_ms += INTERVAL_MS
        offer_for(threshold, rates_per_s=(300, 300), now_ms=now_ms, rng=rng)
        threshold.decide(
            capacity_per_s=1000, excess_calls=0, standing=None, now_ms=now_ms
        )
    assert threshold.rank is None


def test_progress_passes_levels_but_not_classes():
    threshold, rng = Threshold(), random.Random(1)
    threshold.due(0.0)
    offer_for(threshold, rates_per_s=(900, 900), now_ms=INTERVAL_MS, rng=rng)
    threshold.decide(capacity_per_s=450, excess_calls=0, standing=0, now_ms=INTERVAL_MS)
    late = Rank(0, LEVELS - 1)
    assert not threshold.admits(late, 0)
    assert threshold.admits(late, 1)
    assert not threshold.admits(Rank(1, 0), 1)
