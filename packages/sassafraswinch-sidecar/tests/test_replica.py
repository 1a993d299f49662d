"""Copies of the platform's data that merge in any order."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.replica import Delta, Entry, Replica


def entry(key, revision, value=b"v"):
    return Entry(key=key, revision=revision, value=value)


def values(replica):
    return {found.key: found.revision for found in replica.live()}


def test_later_change_wins_whatever_the_order():
    replica = Replica()
    newer = Delta(revision=5, whole=False, entries=(entry("a", 5),))
    older = Delta(revision=3, whole=True, entries=(entry("a", 3), entry("b", 2)))
    assert replica.merge(newer) == [entry("a", 5)]
    assert replica.merge(older) == [entry("b", 2)]
    assert values(replica) == {"a": 5, "b": 2}
    assert replica.revision == 5


def test_whole_reading_removes_what_it_lacks():
    """History is dropped while a server leaves; the next reading doesn't name it."""
    replica = Replica()
    replica.merge(Delta(revision=3, whole=True, entries=(entry("a", 2), entry("b", 3))))
    changed = replica.merge(Delta(revision=9, whole=True, entries=(entry("a", 2),)))
    assert [(found.key, found.value) for found in changed] == [("b", None)]
    assert values(replica) == {"a": 2}


def test_removal_reaches_a_peer_through_one_that_never_saw_the_key():
    """Two hosts follow a third. One has just started and never knew a server that
    was removed meanwhile. If it didn't keep the removal, the other one would ask it
    for the changes, get none, and send work to the removed server for ever.
    """
    fresh, behind = Replica(), Replica()
    behind.merge(Delta(revision=2, whole=True, entries=(entry("a", 2),)))
    fresh.merge(Delta(revision=1, whole=True, entries=()))
    fresh.merge(Delta(revision=4, whole=False, entries=(entry("a", 4, None),)))
    behind.merge(fresh.since(behind.revision))
    assert values(behind) == {}
    assert behind.revision == 4


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=12
    ),
    st.randoms(use_true_random=False),
)
def test_copies_that_exchange_changes_end_equal(changes, rng: random.Random):
    """Each copy reads the platform up to some moment; then they ask each other."""
    history = [
        entry(key, number, None if removed else b"%d" % number)
        for number, (key, removed) in enumerate(changes, 1)
    ]
    copies = [Replica() for _ in range(3)]
    for copy in copies:
        reached = rng.randrange(len(history) + 1)
        copy.merge(
            Delta(revision=reached, whole=False, entries=tuple(history[:reached]))
        )
    for _ in range(2):
        for left in copies:
            for right in copies:
                left.merge(right.since(left.revision))
    assert values(copies[0]) == values(copies[1]) == values(copies[2])
    revisions = {copy.revision for copy in copies}
    assert len(revisions) == 1
