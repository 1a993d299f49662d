"""Backend servers after the platform's store came back from an older copy."""

import pytest

from sassafraswinch_sidecar.departures import REGISTRATION_EXPIRY_MS
from sassafraswinch_sidecar.fleet import RETURN_WINDOW_MS, Fleet
from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision
from sidecar_standins.fleet import INSTANCE, MemoryDecoder, running_fleet, until
from sidecar_standins.instances import instance_value


class RestoredWorld:
    """A fleet that follows a store, which comes back from an older copy on demand."""

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
        """Come back from a copy, and be read whole."""
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
        self._take(Delta(revision=self.revision, is_full=True, entries=live), now_ms)

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
        self._take(
            Delta(revision=self.revision, is_full=False, entries=(entry,)), now_ms
        )

    def _take(self, delta, now_ms):
        era = self.replica.revision.era
        changed = self.replica.merge(delta)
        if self.replica.revision.era > era:
            self.fleet.record_store_restore(now_ms)
        self.fleet.apply_entries(changed, now_ms)


@pytest.fixture
def world():
    return RestoredWorld()


def test_server_that_said_it_leaves_stays_leaving(world):
    """Guards against a leaving that an older copy of the store takes back."""
    world.put("a", 0.0)
    copy = world.copy()
    world.put("a", 10.0, leaving=True)
    world.restore(copy, 20.0)
    assert world.ids() == []
    assert world.fleet.is_leaving("a")
    world.put("a", 900.0, leaving=True)
    world.remove("a", 3_000.0)
    assert world.tick(9_000.0) == []
    world.restore(copy, 9_100.0)
    assert world.tick(9_100.0 + 2 * REGISTRATION_EXPIRY_MS) == []


def test_server_that_left_and_was_removed_gets_no_requests_again(world):
    """Guards against servers that only an older copy of the store still lists."""
    world.put("a", 0.0)
    world.put("b", 0.0, ip="10.0.0.2")
    copy = world.copy()
    world.remove("a", 10.0)
    world.put("b", 10.0, ip="10.0.0.2", leaving=True)
    world.remove("b", 2_000.0)
    world.restore(copy, 2_100.0)
    assert world.ids() == []
    assert world.fleet.is_leaving("a")
    assert world.fleet.is_leaving("b")
    world.remove("a", 6_000.0)
    assert world.tick(2_100.0 + REGISTRATION_EXPIRY_MS) == []


def test_server_that_was_removed_and_writes_again_is_used(world):
    """Guards against a living server that its former removal keeps out of use."""
    world.put("a", 0.0)
    copy = world.copy()
    world.remove("a", 10.0)
    world.restore(copy, 100.0)
    assert world.ids() == []
    world.put("a", 900.0, slots=9)
    assert world.ids() == ["a"]


def test_server_that_is_listed_for_longer_than_a_dead_one_is_used(world):
    """Guards against the same where the server wrote before the store was read."""
    world.put("a", 0.0)
    copy = world.copy()
    world.remove("a", 10.0)
    world.restore(copy, 100.0)
    assert world.tick(100.0 + REGISTRATION_EXPIRY_MS - 1) == []
    assert world.tick(100.0 + REGISTRATION_EXPIRY_MS) == ["a"]


def test_doubted_server_whose_entry_cant_be_read_is_not_used(world):
    """Guards against a server that is used though nobody knows what it is by now."""
    world.put("a", 0.0)
    copy = world.copy()
    world.remove("a", 10.0)
    world.restore(copy, 100.0)
    world.write(INSTANCE + "a", b'{"fault": true}', 200.0)
    assert world.tick(100.0 + REGISTRATION_EXPIRY_MS) == []


def test_next_lifetime_of_a_server_that_left_is_used(world):
    """Guards against a started server that is taken for its former lifetime."""
    world.put("a", 0.0, incarnation=1)
    copy = world.copy()
    world.put("a", 10.0, leaving=True, incarnation=1)
    world.restore(copy, 100.0)
    world.put("a", 900.0, incarnation=2)
    assert world.ids() == ["a"]


def test_server_that_the_copy_lacks_has_time_to_write_again(world):
    """Guards against refusals for servers that the store only has to hear of again."""
    world.put("a", 0.0)
    copy = world.copy()
    world.put("b", 10.0, ip="10.0.0.2")
    world.put("c", 10.0, ip="10.0.0.3")
    world.restore(copy, 100.0)
    assert world.ids() == ["a", "b", "c"]
    world.put("b", 1_500.0, ip="10.0.0.2")
    assert world.tick(100.0 + RETURN_WINDOW_MS) == ["a", "b"]


def test_removal_long_after_the_store_came_back_counts_at_once(world):
    """Guards against requests at a server whose removal is taken for a loss."""
    world.put("a", 0.0)
    world.restore(world.copy(), 100.0)
    world.remove("a", 100.0 + RETURN_WINDOW_MS)
    assert world.ids() == []


def test_latest_server_at_an_address_stays_the_latest(world):
    """Guards against an entry of a former server that passes for a newer one."""
    world.put("old", 0.0)
    world.put("other", 1.0, ip="10.0.0.2")
    copy = world.copy()
    world.put("new", 10.0)
    assert world.ids() == ["new", "other"]
    world.restore(copy, 100.0)
    assert world.ids() == ["new", "other"]
    world.put("new", 1_000.0)
    assert world.tick(5_000.0) == ["new", "other"]
    world.restore(world.copy(), 6_000.0)
    assert world.tick(9_000.0) == ["new", "other"]


async def test_leaving_at_a_revision_given_out_before_reaches_every_host():
    """Guards against requests to a leaving server from hosts that were never told."""
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
