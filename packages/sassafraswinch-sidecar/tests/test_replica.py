"""Copies of the platform's data that merge in any order."""

import random

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision

ROUTES = "routes"


class NumberedRoutes:
    """Routes whose value is their version (RoutesReader)."""

    def is_route_table(self, key):
        return key == ROUTES

    def routes_version(self, value):
        return int(value) if value.isdigit() else None


def new_replica():
    return Replica(routes=NumberedRoutes())


def entry(key, number, value=b"v", *, era=0):
    return Entry(key=key, revision=Revision(era, number), value=value)


def delta_of(number, *entries, whole=False, era=0):
    return Delta(revision=Revision(era, number), is_full=whole, entries=entries)


def values(replica):
    return {found.key: found.revision.number for found in replica.live_entries()}


def test_later_change_wins_whatever_the_order():
    replica = new_replica()
    newer = delta_of(5, entry("a", 5))
    older = delta_of(3, entry("a", 3), entry("b", 2), whole=True)
    assert replica.merge(newer) == [entry("a", 5)]
    assert replica.merge(older) == [entry("b", 2)]
    assert values(replica) == {"a": 5, "b": 2}
    assert replica.revision == Revision(0, 5)


def test_whole_reading_removes_what_it_lacks():
    """History is dropped while a server leaves; the next reading doesn't name it."""
    replica = new_replica()
    replica.merge(delta_of(3, entry("a", 2), entry("b", 3), whole=True))
    changed = replica.merge(delta_of(9, entry("a", 2), whole=True))
    assert [(found.key, found.value) for found in changed] == [("b", None)]
    assert values(replica) == {"a": 2}


def test_removal_reaches_a_peer_through_one_that_never_saw_the_key():
    """Two hosts follow a third. One has just started and never knew a server that
    was removed meanwhile. If it didn't keep the removal, the other one would ask it
    for the changes, get none, and send work to the removed server for ever.
    """
    fresh, behind = new_replica(), new_replica()
    behind.merge(delta_of(2, entry("a", 2), whole=True))
    fresh.merge(delta_of(1, whole=True))
    fresh.merge(delta_of(4, entry("a", 4, None)))
    behind.merge(fresh.changes_since(behind.position))
    assert values(behind) == {}
    assert behind.revision == Revision(0, 4)


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
    copies = [new_replica() for _ in range(3)]
    for copy in copies:
        reached = rng.randrange(len(history) + 1)
        copy.merge(delta_of(reached, *history[:reached]))
    for _ in range(2):
        for left in copies:
            for right in copies:
                left.merge(right.changes_since(left.position))
    assert values(copies[0]) == values(copies[1]) == values(copies[2])
    revisions = {copy.revision for copy in copies}
    assert len(revisions) == 1


def test_copy_of_a_restored_store_goes_before_all_that_was_known():
    """Guards against entries that are refused since their revisions went back."""
    replica = new_replica()
    replica.merge(delta_of(9, entry("a", 4), entry("b", 9), whole=True))
    restored = delta_of(
        6, entry("a", 4, era=1), entry("c", 6, b"w", era=1), whole=True, era=1
    )
    changed = replica.merge(restored)
    assert [(found.key, found.value) for found in changed] == [
        ("a", b"v"),
        ("c", b"w"),
        ("b", None),
    ]
    assert values(replica) == {"a": 4, "c": 6}
    assert replica.merge(delta_of(7, entry("a", 7, b"x", era=1), era=1))
    assert replica.revision == Revision(1, 7)


def test_changes_of_another_era_are_not_taken_for_a_continuation():
    """Guards against late answers, and against changes without what was lost."""
    replica = new_replica()
    replica.merge(delta_of(5, entry("a", 5, era=1), whole=True, era=1))
    assert replica.merge(delta_of(9, entry("b", 9))) == []
    assert replica.merge(delta_of(9, entry("b", 9), whole=True)) == []
    assert replica.merge(delta_of(9, entry("b", 9, era=2), era=2)) == []
    assert values(replica) == {"a": 5}
    assert replica.revision == Revision(1, 5)


def test_peer_of_an_older_era_is_told_everything():
    """Guards against a host that a cut kept in the old era, with higher numbers."""
    restored, behind = new_replica(), new_replica()
    behind.merge(delta_of(9, entry("a", 4), entry("b", 9), whole=True))
    restored.merge(delta_of(5, entry("a", 4, era=1), whole=True, era=1))
    assert behind.position.is_behind(restored.position)
    assert not restored.position.is_behind(behind.position)
    restored.merge(behind.changes_since(restored.position))
    behind.merge(restored.changes_since(behind.position))
    assert values(behind) == values(restored) == {"a": 4}
    assert behind.position == restored.position


def test_newest_routes_outlive_a_copy_that_lacks_them():
    """Guards against a confirmed version that an older copy of the store takes back."""
    knows, fresh = new_replica(), new_replica()
    knows.merge(delta_of(9, entry(ROUTES, 9, b"8"), whole=True))
    copy = delta_of(5, entry(ROUTES, 3, b"7", era=1), whole=True, era=1)
    assert knows.merge(copy) == []
    fresh.merge(copy)
    assert fresh.position.is_behind(knows.position)
    fresh.merge(knows.since(fresh.position))
    assert fresh.routes_version == knows.routes_version == 8
    assert knows.merge(delta_of(6, whole=True, era=2)) == []
    assert knows.since(new_replica().position).entries[0].value == b"8"


def test_routes_that_cant_be_read_are_not_handed_on():
    """Guards against peers that start with routes of which they can read nothing."""
    replica = new_replica()
    replica.merge(delta_of(3, entry(ROUTES, 3, b"7"), whole=True))
    assert replica.merge(delta_of(4, entry(ROUTES, 4, b"odd"))) == []
    told = replica.changes_since(new_replica().position)
    assert [found.value for found in told.entries] == [b"7"]


def test_host_that_a_cut_kept_in_the_old_era_hands_its_newer_routes_on():
    """Guards against a confirmed version that only a host of the old era knows."""
    cut, restored = new_replica(), new_replica()
    cut.merge(delta_of(9, entry(ROUTES, 9, b"8"), entry("a", 7), whole=True))
    restored.merge(delta_of(5, entry(ROUTES, 3, b"7", era=1), whole=True, era=1))
    assert restored.position.is_behind(cut.position)
    changed = restored.merge(cut.since(restored.position))
    assert [found.value for found in changed] == [b"8"]
    assert restored.revision == Revision(1, 5)
