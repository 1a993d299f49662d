"""The entry shedder: one place for each service, whatever the operation."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch.levels import MAX_OPERATIONS, EntryShedder
from sassafraswinch.messages import LEVELS, Rank, ServiceThreshold

PAYING, TRIAL = 0, 2
MIDDLE_OF_TRIAL = (ServiceThreshold("archiv", Rank(TRIAL, LEVELS // 2)),)


def test_operations_that_need_a_service_share_its_threshold():
    """Paying releases were refused while trial lookups were answered.

    Both need the archive, which is overloaded. The entry kept one threshold for each
    operation, and that of the release had lately heard a stricter word than that of
    the lookup. So the lookup took the capacity that the release was refused.
    """
    shedder = EntryShedder()
    shedder.admits("lookup", Rank(TRIAL, LEVELS - 1), 0)
    shedder.learn("lookup", MIDDLE_OF_TRIAL, 0, whole=False)
    strict = (ServiceThreshold("archiv", Rank(PAYING, 10)),)
    for _ in range(10):
        shedder.learn("release", strict, 0, whole=False)
    assert not shedder.admits("release", Rank(PAYING, LEVELS - 1), 0)
    assert not shedder.admits("lookup", Rank(TRIAL, 0), 0)


def test_refused_call_says_nothing_of_services_it_has_not_asked():
    """A release refused by the first service opened the way to the overloaded archive.

    Its answer told no threshold of the archive, since it never came there. Taken as
    "the archive admits all" it undid what whole answers had told.
    """
    shedder = EntryShedder()
    shedder.admits("release", Rank(TRIAL, 0), 0)
    strict = (ServiceThreshold("archiv", Rank(PAYING, 10)),)
    for _ in range(10):
        shedder.learn("release", strict, 0, whole=True)
    before = shedder.admits("release", Rank(PAYING, 100), 0)
    for _ in range(100):
        shedder.learn("release", (), 0, whole=False)
    assert not before
    assert not shedder.admits("release", Rank(PAYING, 100), 0)


def test_everything_is_open_again_after_a_second():
    shedder = EntryShedder()
    shedder.admits("lookup", Rank(TRIAL, 0), 0)
    for _ in range(50):
        strict = (ServiceThreshold("archiv", Rank(PAYING, 0)),)
        shedder.learn("lookup", strict, 0, whole=True)
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
    shedder = EntryShedder()
    for operation, service, order, level, whole in told:
        met = (ServiceThreshold(service, Rank(order, level)),)
        shedder.learn(operation, met, 0, whole=whole)
    refused = [
        order
        for order in ranks
        if not shedder.admits("lookup", Rank(order, LEVELS - 1), 0)
    ]
    if refused:
        lower = min(refused) + 1
        assert not shedder.admits("lookup", Rank(lower, 0), 0)


def test_memory_is_bounded():
    shedder = EntryShedder()
    for number in range(2 * MAX_OPERATIONS):
        met = (ServiceThreshold(f"service-{number}", Rank(0, 1)),)
        shedder.learn(f"operation-{number}", met, 0, whole=True)
    assert len(shedder._needed) <= MAX_OPERATIONS
    assert shedder.retry_after_ms("lookup", Rank(0, 0), 0, random.Random(1)) >= 0
