"""Tests of the fleet: held removals, superseded instances, route table versions."""

import json

from sassafraswinch_sidecar.fleet import MIN_EXPIRY_OUTAGE_MS, RETURN_WINDOW_MS, Fleet
from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision
from sidecar_standins.fleet import INSTANCE, ROUTES, MemoryDecoder
from sidecar_standins.instances import instance_value

DRAIN_MS = 2_000.0
"""Time after its removal by which a server must get no more work."""


class Harness:
    """A fleet that is updated from a replica, as in a sidecar."""

    def __init__(self):
        self.errors = []
        self.isolated = set()
        self.fleet = Fleet(
            decoder=MemoryDecoder(),
            report_error=self.errors.append,
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


def test_registrations_that_expired_in_an_outage_are_held_until_they_may_return():
    """After a platform outage of five seconds all registrations are removed, and the
    running servers register again within two seconds. Without the hold every request
    in that time would be refused.
    """
    harness = Harness()
    harness.put("a", 0.0)
    harness.put("b", 0.0, ip="10.0.0.2")
    harness.fleet.record_outage(1_000.0)
    harness.fleet.record_outage_end(6_000.0)
    harness.remove("a", 6_010.0)
    harness.remove("b", 6_010.0)
    assert sorted(harness.ids()) == ["a", "b"]
    harness.put("a", 7_000.0)
    harness.fleet.tick(harness.replica, 6_010.0 + RETURN_WINDOW_MS)
    assert harness.ids() == ["a"]


def test_removal_from_a_peer_during_a_long_outage_takes_effect_after_the_same_time():
    harness = Harness()
    harness.put("a", 0.0)
    harness.fleet.record_outage(1_000.0)
    harness.remove("a", 1_000.0 + MIN_EXPIRY_OUTAGE_MS)
    assert harness.ids() == ["a"]
    harness.fleet.tick(
        harness.replica, 1_000.0 + MIN_EXPIRY_OUTAGE_MS + RETURN_WINDOW_MS
    )
    assert harness.ids() == []


def test_removal_takes_effect_at_once_without_a_long_outage():
    """A watch is interrupted for a moment while a server leaves. That server must get
    no more work, so a short outage holds no removals.
    """
    harness = Harness()
    harness.put("a", 0.0)
    harness.fleet.record_outage(1_000.0)
    harness.fleet.record_outage_end(1_500.0)
    harness.remove("a", 1_510.0)
    assert harness.ids() == []
    assert harness.fleet.is_leaving("a")


def test_removal_late_in_the_return_window_takes_effect_within_the_drain_time():
    """Guards against holding a server that left without notice for a full window."""
    harness = Harness()
    harness.put("a", 0.0)
    harness.fleet.record_outage(1_000.0)
    harness.fleet.record_outage_end(6_000.0)
    removed_ms = 6_000.0 + RETURN_WINDOW_MS - 100.0
    harness.remove("a", removed_ms)
    harness.fleet.tick(harness.replica, removed_ms + DRAIN_MS)
    assert harness.ids() == []


def test_leaving_instance_is_not_held():
    harness = Harness()
    harness.put("a", 0.0, leaving=True)
    harness.fleet.record_outage(1_000.0)
    harness.fleet.record_outage_end(6_000.0)
    harness.remove("a", 6_010.0)
    assert harness.fleet.instances_at("10.0.0.1") == []


def test_new_lifetime_at_an_address_supersedes_the_old_one():
    """After a power loss old and new registrations coexist for seconds."""
    harness = Harness()
    harness.put("old", 0.0)
    harness.put("new", 10.0)
    harness.put("old", 20.0, slots=9)
    assert harness.ids() == ["new"]
    assert len(list(harness.fleet.serving())) == 1


def test_cold_time_counts_from_the_registration():
    harness = Harness()
    harness.put("a", 1_000.0, cold_ms=3_000.0)
    (found,) = harness.fleet.instances_at("10.0.0.1")
    assert harness.fleet.cold_left_ms(found, 2_000.0) == 2_000.0
    assert harness.fleet.cold_left_ms(found, 9_000.0) == 0.0


def test_routes_version_never_decreases_and_invalid_routes_are_ignored():
    harness = Harness()
    for version in (5, 3):
        value = json.dumps({"version": version, "routes": []}).encode()
        harness.write(ROUTES, value, 0.0)
    assert harness.fleet.table.version == 5
    harness.write(ROUTES, b'{"fault": true}', 0.0)
    assert harness.fleet.table.version == 5
    assert len(harness.errors) == 1


def test_invalid_registration_removes_the_server_until_it_is_valid_again():
    """Another writer replaces a server's registration by an invalid value. The state of
    the server is unknown, so it gets no new work; its next registration is used at
    once.
    """
    harness = Harness()
    harness.put("a", 0.0)
    harness.put("b", 0.0, ip="10.0.0.2")
    harness.write(INSTANCE + "a", b'{"fault": true}', 10.0)
    assert harness.ids() == ["b"]
    assert len(harness.errors) == 1
    harness.put("a", 20.0)
    assert sorted(harness.ids()) == ["a", "b"]


def test_server_restarted_under_its_id_is_cold_again_and_the_latest_one():
    """A server crashes and starts again under the same ID. If it were taken for the
    former lifetime, it would count as warm, and the registration of another server that
    used the address meanwhile would count as the later one.
    """
    harness = Harness()
    harness.put("a", 0.0, cold_ms=3_000.0, incarnation=1)
    harness.put("between", 5_000.0)
    assert harness.ids() == ["between"]
    harness.put("a", 9_000.0, cold_ms=3_000.0, incarnation=2)
    assert harness.ids() == ["a"]
    (found,) = harness.fleet.of_service("archiv")
    assert harness.fleet.cold_left_ms(found, 10_000.0) == 2_000.0


def test_server_that_left_and_restarts_under_its_id_gets_work():
    harness = Harness()
    harness.put("a", 0.0, leaving=True, incarnation=1)
    harness.remove("a", 10.0)
    assert harness.fleet.is_leaving("a")
    harness.put("a", 20.0, incarnation=2)
    assert harness.ids() == ["a"]
    assert not harness.fleet.is_leaving("a")


def test_registration_of_an_unknown_service_supersedes_no_server():
    """Another writer registers a service that doesn't exist at the address of an
    existing server. That server still gets work.
    """
    harness = Harness()
    table = {"version": 1, "routes": [], "known_services": ["archiv"]}
    harness.write(ROUTES, json.dumps(table).encode(), 0.0)
    harness.put("a", 0.0)
    harness.put("odd", 10.0, service="nothing")
    assert harness.ids() == ["a"]


def test_server_whose_host_is_isolated_from_the_platform_stays_in_use():
    """A third of the hosts can't reach the platform, their registrations expire, and
    the only server of a service that is still registered leaves. For seconds every
    request that needed the service was refused, though its other servers were running
    and linked.
    """
    harness = Harness()
    harness.put("cut", 0.0)
    harness.put("leaves", 0.0, ip="10.0.0.2")
    harness.put("leaves", 10.0, ip="10.0.0.2", leaving=True)
    harness.remove("leaves", 20.0)
    harness.remove("cut", 5_000.0)
    assert harness.ids() == []
    assert harness.fleet.is_leaving("cut")
    assert harness.fleet.expired_instance_at("10.0.0.1").id == "cut"
    assert harness.fleet.expired_instance_at("10.0.0.2") is None

    harness.isolated.add("10.0.0.1")
    harness.isolated.add("10.0.0.2")
    harness.fleet.tick(harness.replica, 5_700.0)
    assert harness.ids() == ["cut"]
    assert not harness.fleet.is_leaving("cut")

    harness.isolated.clear()
    harness.fleet.tick(harness.replica, 13_000.0)
    harness.put("cut", 14_000.0)
    harness.fleet.tick(harness.replica, 20_000.0)
    assert harness.ids() == ["cut"]
    assert harness.fleet.expired_instance_at("10.0.0.1") is None


def test_server_that_is_not_registered_again_after_isolation_gets_no_more_work():
    """A server leaves for good while its host is isolated. Once the platform can be
    reached again, it no longer lists the server, whose work must end within the drain
    time.
    """
    harness = Harness()
    harness.put("cut", 0.0)
    harness.remove("cut", 5_000.0)
    harness.isolated.add("10.0.0.1")
    harness.fleet.tick(harness.replica, 5_700.0)
    harness.isolated.clear()
    harness.fleet.tick(harness.replica, 5_700.0 + RETURN_WINDOW_MS - 1)
    assert harness.ids() == ["cut"]
    harness.fleet.tick(harness.replica, 5_700.0 + RETURN_WINDOW_MS)
    assert harness.ids() == []
    assert harness.fleet.is_leaving("cut")


def test_new_server_at_the_address_supersedes_an_isolated_one():
    harness = Harness()
    harness.put("cut", 0.0)
    harness.remove("cut", 5_000.0)
    harness.put("new", 6_000.0)
    harness.isolated.add("10.0.0.1")
    harness.fleet.tick(harness.replica, 6_100.0)
    assert harness.ids() == ["new"]
    assert harness.fleet.expired_instance_at("10.0.0.1") is None


def test_leave_notice_of_a_server_is_not_taken_back_in_its_lifetime():
    """A server states in its responses that it leaves; the store lists it as ready."""
    harness = Harness()
    harness.put("a", 0.0)
    harness.put("b", 0.0, ip="10.0.0.2")
    harness.fleet.record_leave_notice("a")
    assert harness.ids() == ["b"]
    assert harness.fleet.is_leaving("a")
    harness.put("a", 10.0, slots=9)
    assert harness.ids() == ["b"]
    assert harness.fleet.is_leaving("a")


def test_leave_notice_holds_over_an_older_copy_of_the_store():
    harness = Harness()
    harness.put("a", 0.0)
    harness.fleet.record_leave_notice("a")
    harness.fleet.record_store_restore(10.0)
    entry = Entry(key=f"{INSTANCE}a", revision=Revision(1, 9), value=instance_value())
    harness.fleet.apply_entries([entry], 10.0)
    harness.fleet.tick(harness.replica, 1e6)
    assert harness.ids() == []


def test_leave_notice_holds_for_a_server_that_is_not_listed_yet():
    harness = Harness()
    harness.fleet.record_leave_notice("a")
    assert harness.fleet.is_leaving("a")
    harness.put("a", 0.0)
    assert harness.ids() == []


def test_next_lifetime_of_a_server_that_left_gets_work():
    harness = Harness()
    harness.put("a", 0.0, incarnation=1)
    harness.fleet.record_leave_notice("a")
    assert harness.ids() == []
    harness.put("a", 10.0, incarnation=2)
    assert harness.ids() == ["a"]
    assert not harness.fleet.is_leaving("a")


def test_late_leave_notice_of_a_former_lifetime_ends_no_work():
    """Guards against peers that report the notice after the next registration."""
    harness = Harness()
    harness.put("a", 0.0, incarnation=1)
    harness.put("a", 10.0, incarnation=2)
    harness.fleet.record_leave_notice("a", 1)
    assert harness.ids() == ["a"]
    assert not harness.fleet.is_leaving("a")
    harness.fleet.record_leave_notice("a", 2)
    assert harness.ids() == []


def test_leave_notice_that_precedes_its_registration_holds_for_that_lifetime():
    """Guards against a notice that is lost where ids are kept and the store is silent,
    and against one that holds for the next lifetime as well.
    """
    harness = Harness()
    harness.fleet.record_leave_notice("a")
    harness.fleet.record_leave_notice("b", 7)
    assert harness.fleet.is_leaving("a") and harness.fleet.is_leaving("b")
    harness.put("a", 0.0, incarnation=1)
    harness.put("b", 0.0, incarnation=7, ip="10.0.0.2")
    assert harness.ids() == []
    harness.put("a", 10.0, incarnation=2)
    harness.put("b", 10.0, incarnation=8, ip="10.0.0.2")
    assert harness.ids() == ["a", "b"]


def test_server_that_left_is_not_used_as_one_of_an_isolated_host():
    harness = Harness()
    harness.put("a", 0.0)
    harness.fleet.record_leave_notice("a")
    harness.remove("a", 10.0)
    harness.isolated.add("10.0.0.1")
    harness.fleet.tick(harness.replica, 20.0)
    assert harness.ids() == []
