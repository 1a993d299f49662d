"""Tests of replicas, which merge changes in any order."""

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


def delta_of(number, *entries, is_full=False, era=0):
    return Delta(revision=Revision(era, number), is_full=is_full, entries=entries)


def values(replica):
    return {found.key: found.revision.number for found in replica.live_entries()}


def test_later_change_wins_whatever_the_order():
    replica = new_replica()
    newer = delta_of(5, entry("a", 5))
    older = delta_of(3, entry("a", 3), entry("b", 2), is_full=True)
    assert replica.merge(newer) == [entry("a", 5)]
    assert replica.merge(older) == [entry("b", 2)]
    assert values(replica) == {"a": 5, "b": 2}
    assert replica.revision == Revision(0, 5)


def test_full_delta_removes_the_keys_that_it_lacks():
    """History is lost while a server leaves; the next full delta lacks its key."""
    replica = new_replica()
    replica.merge(delta_of(3, entry("a", 2), entry("b", 3), is_full=True))
    changed = replica.merge(delta_of(9, entry("a", 2), is_full=True))
    assert [(found.key, found.value) for found in changed] == [("b", None)]
    assert values(replica) == {"a": 2}


def test_removal_reaches_a_peer_through_one_that_never_had_the_key():
    """Two hosts receive changes from a third. One has just started and never had the
    registration of a server that was removed meanwhile. If it didn't keep the removal,
    the other one would request the changes from it, receive none, and send work to the
    removed server for ever.
    """
    fresh, behind = new_replica(), new_replica()
    behind.merge(delta_of(2, entry("a", 2), is_full=True))
    fresh.merge(delta_of(1, is_full=True))
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
def test_replicas_that_exchange_changes_converge(changes, rng: random.Random):
    """Each replica has the changes up to some revision; then they exchange changes."""
    history = [
        entry(key, number, None if removed else b"%d" % number)
        for number, (key, removed) in enumerate(changes, 1)
    ]
    replicas = [new_replica() for _ in range(3)]
    for replica in replicas:
        reached = rng.randrange(len(history) + 1)
        replica.merge(delta_of(reached, *history[:reached]))
    for _ in range(2):
        for left in replicas:
            for right in replicas:
                left.merge(right.changes_since(left.position))
    assert values(replicas[0]) == values(replicas[1]) == values(replicas[2])
    revisions = {replica.revision for replica in replicas}
    assert len(revisions) == 1


def test_restored_store_takes_precedence_over_former_data():
    """Guards against ignoring entries because their revision numbers went back."""
    replica = new_replica()
    replica.merge(delta_of(9, entry("a", 4), entry("b", 9), is_full=True))
    restored = delta_of(
        6, entry("a", 4, era=1), entry("c", 6, b"w", era=1), is_full=True, era=1
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


def test_changes_of_another_era_are_not_merged():
    """Guards against late replies, and against changes that omit what was lost."""
    replica = new_replica()
    replica.merge(delta_of(5, entry("a", 5, era=1), is_full=True, era=1))
    assert replica.merge(delta_of(9, entry("b", 9))) == []
    assert replica.merge(delta_of(9, entry("b", 9), is_full=True)) == []
    assert replica.merge(delta_of(9, entry("b", 9, era=2), era=2)) == []
    assert values(replica) == {"a": 5}
    assert replica.revision == Revision(1, 5)


def test_peer_of_an_older_era_receives_a_full_delta():
    """Guards against an isolated host that keeps the higher numbers of an old era."""
    restored, behind = new_replica(), new_replica()
    behind.merge(delta_of(9, entry("a", 4), entry("b", 9), is_full=True))
    restored.merge(delta_of(5, entry("a", 4, era=1), is_full=True, era=1))
    assert behind.position.is_behind(restored.position)
    assert not restored.position.is_behind(behind.position)
    restored.merge(behind.changes_since(restored.position))
    behind.merge(restored.changes_since(behind.position))
    assert values(behind) == values(restored) == {"a": 4}
    assert behind.position == restored.position


def test_newest_routes_survive_a_restore_that_lacks_them():
    """Guards against reverting a confirmed version to that of an older copy."""
    current, fresh = new_replica(), new_replica()
    current.merge(delta_of(9, entry(ROUTES, 9, b"8"), is_full=True))
    restored = delta_of(5, entry(ROUTES, 3, b"7", era=1), is_full=True, era=1)
    assert current.merge(restored) == []
    fresh.merge(restored)
    assert fresh.position.is_behind(current.position)
    fresh.merge(current.changes_since(fresh.position))
    assert fresh.routes_version == current.routes_version == 8
    assert current.merge(delta_of(6, is_full=True, era=2)) == []
    assert current.changes_since(new_replica().position).entries[0].value == b"8"


def test_invalid_routes_are_not_sent_to_peers():
    """Guards against peers that start with invalid routes only."""
    replica = new_replica()
    replica.merge(delta_of(3, entry(ROUTES, 3, b"7"), is_full=True))
    assert replica.merge(delta_of(4, entry(ROUTES, 4, b"odd"))) == []
    sent = replica.changes_since(new_replica().position)
    assert [found.value for found in sent.entries] == [b"7"]


def test_isolated_host_of_the_old_era_sends_its_newer_routes():
    """Guards against losing a confirmed version that only a host of the old era has."""
    isolated, restored = new_replica(), new_replica()
    isolated.merge(delta_of(9, entry(ROUTES, 9, b"8"), entry("a", 7), is_full=True))
    restored.merge(delta_of(5, entry(ROUTES, 3, b"7", era=1), is_full=True, era=1))
    assert restored.position.is_behind(isolated.position)
    changed = restored.merge(isolated.changes_since(restored.position))
    assert [found.value for found in changed] == [b"8"]
    assert restored.revision == Revision(1, 5)
