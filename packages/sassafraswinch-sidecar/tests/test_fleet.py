"""What the platform's data means: held expiries, superseded instances, versions."""

import json

from sassafraswinch_sidecar.fleet import MIN_EXPIRY_OUTAGE_MS, RETURN_WINDOW_MS, Fleet
from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision
from sidecar_standins.fleet import INSTANCE, ROUTES, MemoryDecoder
from sidecar_standins.instances import instance_value

DRAIN_MS = 2_000.0
"""Time after its removal in which a server must get no more work."""


class World:
    """A fleet fed from a replica, as a sidecar does it."""

    def __init__(self):
        self.faults = []
        self.isolated = set()
        self.fleet = Fleet(
            decoder=MemoryDecoder(),
            report_error=self.faults.append,
            is_isolated=self.isolated.__contains__,
        )
        self.replica = Replica(routes=self.fleet)
        self.revision = 0

    def put(self, name, now_ms, **fields):
        self.write(INSTANCE + name, instance_value(**fields), now_ms)

    def remove(self, name, now_ms):
        self.write(INSTANCE + name, None, now_ms)

    def write(self, key, value, now_ms):
        self.revision += 1
        revision = Revision(0, self.revision)
        entry = Entry(key=key, revision=revision, value=value)
        delta = Delta(revision=revision, is_full=False, entries=(entry,))
        self.fleet.apply_entries(self.replica.merge(delta), now_ms)

    def ids(self):
        return [found.id for found in self.fleet.of_service("archiv")]


def test_entries_that_expired_in_an_outage_are_held_until_they_may_be_back():
    """The platform was away for five seconds. At its return all entries are removed,
    and the servers that live write theirs again within two seconds. Without the hold
    every request of that time would be refused.
    """
    world = World()
    world.put("a", 0.0)
    world.put("b", 0.0, ip="10.0.0.2")
    world.fleet.record_outage(1_000.0)
    world.fleet.record_outage_end(6_000.0)
    world.remove("a", 6_010.0)
    world.remove("b", 6_010.0)
    assert sorted(world.ids()) == ["a", "b"]
    world.put("a", 7_000.0)
    world.fleet.tick(world.replica, 6_010.0 + RETURN_WINDOW_MS)
    assert world.ids() == ["a"]


def test_removal_told_by_a_peer_during_a_long_outage_counts_after_the_same_time():
    world = World()
    world.put("a", 0.0)
    world.fleet.record_outage(1_000.0)
    world.remove("a", 1_000.0 + MIN_EXPIRY_OUTAGE_MS)
    assert world.ids() == ["a"]
    world.fleet.tick(world.replica, 1_000.0 + MIN_EXPIRY_OUTAGE_MS + RETURN_WINDOW_MS)
    assert world.ids() == []


def test_removal_counts_at_once_without_a_long_outage():
    """A watch is cut for a moment while a server leaves: that server must get no more
    work, so a short outage holds nothing.
    """
    world = World()
    world.put("a", 0.0)
    world.fleet.record_outage(1_000.0)
    world.fleet.record_outage_end(1_500.0)
    world.remove("a", 1_510.0)
    assert world.ids() == []
    assert world.fleet.is_leaving("a")


def test_removal_late_in_the_time_of_return_counts_within_the_drain_time():
    """Guards against a server without a farewell that is held for a whole return."""
    world = World()
    world.put("a", 0.0)
    world.fleet.record_outage(1_000.0)
    world.fleet.record_outage_end(6_000.0)
    removed_ms = 6_000.0 + RETURN_WINDOW_MS - 100.0
    world.remove("a", removed_ms)
    world.fleet.tick(world.replica, removed_ms + DRAIN_MS)
    assert world.ids() == []


def test_leaving_instance_is_not_held():
    world = World()
    world.put("a", 0.0, leaving=True)
    world.fleet.record_outage(1_000.0)
    world.fleet.record_outage_end(6_000.0)
    world.remove("a", 6_010.0)
    assert world.fleet.instances_at("10.0.0.1") == []


def test_old_lifetime_at_an_address_gives_way_to_the_new_one():
    """After a loss of power old and new entries stand side by side for seconds."""
    world = World()
    world.put("old", 0.0)
    world.put("new", 10.0)
    world.put("old", 20.0, slots=9)
    assert world.ids() == ["new"]
    assert len(list(world.fleet.serving())) == 1


def test_cold_time_runs_from_when_it_was_told():
    world = World()
    world.put("a", 1_000.0, cold_ms=3_000.0)
    (found,) = world.fleet.instances_at("10.0.0.1")
    assert world.fleet.cold_left_ms(found, 2_000.0) == 2_000.0
    assert world.fleet.cold_left_ms(found, 9_000.0) == 0.0


def test_version_of_the_routes_never_falls_and_faults_change_nothing():
    world = World()
    for version in (5, 3):
        value = json.dumps({"version": version, "routes": []}).encode()
        world.write(ROUTES, value, 0.0)
    assert world.fleet.table.version == 5
    world.write(ROUTES, b'{"fault": true}', 0.0)
    assert world.fleet.table.version == 5
    assert len(world.faults) == 1


def test_entry_that_cant_be_read_names_no_server_until_it_can():
    """Another writer replaces a server's entry by something odd. The server may be
    anything by now, so it gets no new work; its next report is used at once.
    """
    world = World()
    world.put("a", 0.0)
    world.put("b", 0.0, ip="10.0.0.2")
    world.write(INSTANCE + "a", b'{"fault": true}', 10.0)
    assert world.ids() == ["b"]
    assert len(world.faults) == 1
    world.put("a", 20.0)
    assert sorted(world.ids()) == ["a", "b"]


def test_server_that_starts_again_under_its_id_is_cold_anew_and_the_later_one():
    """A server crashes and starts again under the id that it had. Taken for the former
    lifetime, it would count as warm, and an entry that another server left at the
    address meanwhile would count as the later one.
    """
    world = World()
    world.put("a", 0.0, cold_ms=3_000.0, incarnation=1)
    world.put("between", 5_000.0)
    assert world.ids() == ["between"]
    world.put("a", 9_000.0, cold_ms=3_000.0, incarnation=2)
    assert world.ids() == ["a"]
    (found,) = world.fleet.of_service("archiv")
    assert world.fleet.cold_left_ms(found, 10_000.0) == 2_000.0


def test_server_that_left_and_starts_again_under_its_id_gets_work():
    world = World()
    world.put("a", 0.0, leaving=True, incarnation=1)
    world.remove("a", 10.0)
    assert world.fleet.is_leaving("a")
    world.put("a", 20.0, incarnation=2)
    assert world.ids() == ["a"]
    assert not world.fleet.is_leaving("a")


def test_entry_of_a_service_that_nobody_configured_replaces_no_server():
    """Another writer names a service that doesn't exist at the address of a server
    that does: that server keeps its work.
    """
    world = World()
    table = {"version": 1, "routes": [], "known_services": ["archiv"]}
    world.write(ROUTES, json.dumps(table).encode(), 0.0)
    world.put("a", 0.0)
    world.put("odd", 10.0, service="nothing")
    assert world.ids() == ["a"]


def test_server_whose_host_is_cut_off_from_the_platform_stays_in_use():
    """A third of the hosts can't reach the platform, their entries expire, and the one
    server of the service that is still listed leaves. For seconds every request that
    needed the service was refused, though its other servers lived and were linked.
    """
    world = World()
    world.put("cut", 0.0)
    world.put("leaves", 0.0, ip="10.0.0.2")
    world.put("leaves", 10.0, ip="10.0.0.2", leaving=True)
    world.remove("leaves", 20.0)
    world.remove("cut", 5_000.0)
    assert world.ids() == []
    assert world.fleet.is_leaving("cut")
    assert world.fleet.expired_instance_at("10.0.0.1").id == "cut"
    assert world.fleet.expired_instance_at("10.0.0.2") is None

    world.isolated.add("10.0.0.1")
    world.isolated.add("10.0.0.2")
    world.fleet.tick(world.replica, 5_700.0)
    assert world.ids() == ["cut"]
    assert not world.fleet.is_leaving("cut")

    world.isolated.clear()
    world.fleet.tick(world.replica, 13_000.0)
    world.put("cut", 14_000.0)
    world.fleet.tick(world.replica, 20_000.0)
    assert world.ids() == ["cut"]
    assert world.fleet.expired_instance_at("10.0.0.1") is None


def test_server_that_is_not_listed_again_after_the_cut_gets_no_more_work():
    """While its host was cut off the server left for good. The platform can be reached
    again, and lists it no more: its work must end within the drain time.
    """
    world = World()
    world.put("cut", 0.0)
    world.remove("cut", 5_000.0)
    world.isolated.add("10.0.0.1")
    world.fleet.tick(world.replica, 5_700.0)
    world.isolated.clear()
    world.fleet.tick(world.replica, 5_700.0 + RETURN_WINDOW_MS - 1)
    assert world.ids() == ["cut"]
    world.fleet.tick(world.replica, 5_700.0 + RETURN_WINDOW_MS)
    assert world.ids() == []
    assert world.fleet.is_leaving("cut")


def test_server_that_took_the_address_goes_before_an_isolated_one():
    world = World()
    world.put("cut", 0.0)
    world.remove("cut", 5_000.0)
    world.put("new", 6_000.0)
    world.isolated.add("10.0.0.1")
    world.fleet.tick(world.replica, 6_100.0)
    assert world.ids() == ["new"]
    assert world.fleet.expired_instance_at("10.0.0.1") is None
