"""Tests of backend servers after the platform's store was restored from a copy."""

import pytest

from sassafraswinch_sidecar.departures import REGISTRATION_EXPIRY_MS
from sassafraswinch_sidecar.fleet import RETURN_WINDOW_MS, Fleet
from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision
from sidecar_standins.fleet import INSTANCE, MemoryDecoder, running_fleet, until
from sidecar_standins.instances import instance_value


class RestoredStoreHarness:
    """A fleet that follows a store, which can be restored from an older copy."""

    def __init__(self):
        self.fleet = Fleet(decoder=MemoryDecoder(), report_error=print)
        self.replica = Replica(routes=self.fleet)
        self.revision = Revision(0, 0)
        self.items: dict[str, Entry] = {}

    def put(self, name, now_ms, **fields):
        self.write(INSTANCE + name, instance_value(**fields), now_ms)

    def remove(self, name, now_ms):
        self.write(INSTANCE + name, None, now_ms)

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy, now_ms):
        """Restore the store from a copy, and apply a full read."""
        items, (era, number) = copy
        era = self.revision.era + 1
        self.revision = Revision(era, number)
        self.items = {
            key: Entry(
                key=key,
                revision=Revision(era, entry.revision.number),
                value=entry.value,
            )
            for key, entry in items.items()
        }
        live = tuple(e for e in self.items.values() if e.value is not None)
        self._apply_delta(
            Delta(revision=self.revision, is_full=True, entries=live), now_ms
        )

    def ids(self):
        return sorted(found.id for found in self.fleet.of_service("archiv"))

    def tick(self, now_ms):
        self.fleet.tick(self.replica, now_ms)
        return self.ids()

    def write(self, key, value, now_ms):
        era, number = self.revision
        self.revision = Revision(era, number + 1)
        entry = Entry(key=key, revision=self.revision, value=value)
        self.items[key] = entry
        self._apply_delta(
            Delta(revision=self.revision, is_full=False, entries=(entry,)), now_ms
        )

    def _apply_delta(self, delta, now_ms):
        era = self.replica.revision.era
        changed = self.replica.merge(delta)
        if self.replica.revision.era > era:
            self.fleet.record_store_restore(now_ms)
        self.fleet.apply_entries(changed, now_ms)


@pytest.fixture
def harness():
    return RestoredStoreHarness()


def test_server_that_gave_leave_notice_stays_leaving(harness):
    """Guards against a restore that reverts a leave notice."""
    harness.put("a", 0.0)
    copy = harness.copy()
    harness.put("a", 10.0, leaving=True)
    harness.restore(copy, 20.0)
    assert harness.ids() == []
    assert harness.fleet.is_leaving("a")
    harness.put("a", 900.0, leaving=True)
    harness.remove("a", 3_000.0)
    assert harness.tick(9_000.0) == []
    harness.restore(copy, 9_100.0)
    assert harness.tick(9_100.0 + 2 * REGISTRATION_EXPIRY_MS) == []


def test_server_that_left_and_was_removed_gets_no_more_requests(harness):
    """Guards against using servers that only an older copy still lists."""
    harness.put("a", 0.0)
    harness.put("b", 0.0, ip="10.0.0.2")
    copy = harness.copy()
    harness.remove("a", 10.0)
    harness.put("b", 10.0, ip="10.0.0.2", leaving=True)
    harness.remove("b", 2_000.0)
    harness.restore(copy, 2_100.0)
    assert harness.ids() == []
    assert harness.fleet.is_leaving("a")
    assert harness.fleet.is_leaving("b")
    harness.remove("a", 6_000.0)
    assert harness.tick(2_100.0 + REGISTRATION_EXPIRY_MS) == []


def test_removed_server_that_registers_again_is_used(harness):
    """Guards against a running server that stays excluded by its former removal."""
    harness.put("a", 0.0)
    copy = harness.copy()
    harness.remove("a", 10.0)
    harness.restore(copy, 100.0)
    assert harness.ids() == []
    harness.put("a", 900.0, slots=9)
    assert harness.ids() == ["a"]


def test_server_listed_for_longer_than_an_exited_one_is_used(harness):
    """Guards against excluding a server that registered before the store was read."""
    harness.put("a", 0.0)
    copy = harness.copy()
    harness.remove("a", 10.0)
    harness.restore(copy, 100.0)
    assert harness.tick(100.0 + REGISTRATION_EXPIRY_MS - 1) == []
    assert harness.tick(100.0 + REGISTRATION_EXPIRY_MS) == ["a"]


def test_doubted_server_with_an_invalid_registration_is_not_used(harness):
    """Guards against using a server whose current state is unknown."""
    harness.put("a", 0.0)
    copy = harness.copy()
    harness.remove("a", 10.0)
    harness.restore(copy, 100.0)
    harness.write(INSTANCE + "a", b'{"fault": true}', 200.0)
    assert harness.tick(100.0 + REGISTRATION_EXPIRY_MS) == []


def test_next_lifetime_of_a_server_that_left_is_used(harness):
    """Guards against taking a restarted server for its former lifetime."""
    harness.put("a", 0.0, incarnation=1)
    copy = harness.copy()
    harness.put("a", 10.0, leaving=True, incarnation=1)
    harness.restore(copy, 100.0)
    harness.put("a", 900.0, incarnation=2)
    assert harness.ids() == ["a"]


def test_server_missing_from_the_copy_has_time_to_register_again(harness):
    """Guards against refusals for servers that are about to register again."""
    harness.put("a", 0.0)
    copy = harness.copy()
    harness.put("b", 10.0, ip="10.0.0.2")
    harness.put("c", 10.0, ip="10.0.0.3")
    harness.restore(copy, 100.0)
    assert harness.ids() == ["a", "b", "c"]
    harness.put("b", 1_500.0, ip="10.0.0.2")
    assert harness.tick(100.0 + RETURN_WINDOW_MS) == ["a", "b"]


def test_removal_long_after_the_restore_takes_effect_at_once(harness):
    """Guards against requests to a server whose removal is taken for data loss."""
    harness.put("a", 0.0)
    harness.restore(harness.copy(), 100.0)
    harness.remove("a", 100.0 + RETURN_WINDOW_MS)
    assert harness.ids() == []


def test_latest_server_at_an_address_stays_the_latest(harness):
    """Guards against taking the registration of a former server for a newer one."""
    harness.put("old", 0.0)
    harness.put("other", 1.0, ip="10.0.0.2")
    copy = harness.copy()
    harness.put("new", 10.0)
    assert harness.ids() == ["new", "other"]
    harness.restore(copy, 100.0)
    assert harness.ids() == ["new", "other"]
    harness.put("new", 1_000.0)
    assert harness.tick(5_000.0) == ["new", "other"]
    harness.restore(harness.copy(), 6_000.0)
    assert harness.tick(9_000.0) == ["new", "other"]


async def test_leave_notice_at_a_reused_revision_reaches_every_host():
    """Guards against requests to a leaving server from hosts that missed its notice."""
    async with running_fleet("archiv", "archiv", "schvaleni") as fleet:
        copy = fleet.store.copy()
        await fleet.store.put("other/1", {})
        await until(
            lambda: all(
                node.sidecar._data.revision == fleet.store.revision
                for node in fleet.nodes
            )
        )
        await fleet.store.restore(copy)
        leaving = fleet.nodes[0]
        await leaving.put_instance(fleet.store, leaving=True)
        await until(
            lambda: all(
                node.sidecar._fleet.is_leaving(f"i-{leaving.ip}")
                for node in fleet.nodes
            )
        )
