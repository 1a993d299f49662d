"""Sums of what hosts report: nothing twice, nothing for good."""

import math

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.organisation_rates import FleetUse, Use
from sassafraswinch_sidecar.fleet_view import (
    GATHERER_LIFE_MS,
    MISSING_LIFE_MS,
    VIEW_LIFE_MS,
    FleetView,
)
from sassafraswinch_sidecar.host_reports import parse_uses, serialize_uses
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HostReport,
    RouteDemand,
    SentCount,
    ServerLoad,
)
from sassafraswinch_sidecar.revisions import Position, Revision
from sassafraswinch_sidecar.zone_gatherer import (
    MAX_POLLS_PER_S,
    PAUSE_MS,
    ZoneContacts,
    ZoneGatherer,
    bare_digest,
    life_ms,
    pause_ms,
)

ZONES = ("brno-a", "brno-b")
POSITION = Position(revision=Revision(0, 1), routes_version=1)
IPS = {zone: [f"10.{n}.0.{host}" for host in range(3)] for n, zone in enumerate(ZONES)}


def zone_gatherer(zone):
    return ZoneGatherer(
        availability_zone=zone, is_near_limit=lambda name, use: use.spent >= 20
    )


def new_report(
    requests=10, repeats=1, *, rate_per_s=5.0, relies=True, leaving=False, uses=None
):
    return HostReport(
        revision=1,
        load=ServerLoad(in_flight=requests, queued=0, limit=20),
        leaving=leaving,
        following=False,
        isolated=False,
        demand=[RouteDemand("orders", 1, rate_per_s, {"archiv": 200_000})],
        counts=[SentCount("archiv", requests, repeats)],
        relies=relies,
        uses=uses,
    )


def test_hosts_are_told_the_sums_of_all_zones():
    near, far = (zone_gatherer(zone) for zone in ZONES)
    for zone, gatherer in zip(ZONES, (near, far), strict=True):
        for ip in IPS[zone]:
            gatherer.heard(ip, new_report(), 0.0)
    near.heard_zone(far.summary(), 100.0)
    view = FleetView(own_ip=IPS["brno-a"][2])
    view.take(near.digest(near.summary(), POSITION, 200.0), 200.0)
    (claim,) = view.demand(200.0)
    assert (claim.kind, claim.rate_per_s) == ("orders", 30.0)
    assert math.isclose(claim.needs["archiv"], 0.2)
    counts, tellers = view.totals(200.0)
    assert (counts["archiv"].requests, counts["archiv"].repeats, tellers) == (60, 6, 6)
    assert view.recent_load(IPS["brno-b"][0], 200.0).in_flight == 10
    # What was told 100 ms ago in another zone is that much older here.
    assert view.recent_load(IPS["brno-b"][0], 100.0 + VIEW_LIFE_MS) is None
    assert view.recent_load(IPS["brno-a"][0], 100.0 + VIEW_LIFE_MS) is not None


def test_hosts_are_told_of_organisations_near_their_limit():
    near, far = (zone_gatherer(zone) for zone in ZONES)
    told = FleetUse({"large": Use(4.0, 7), "small": Use(0.5, 1)}, 1, 250.0)
    for zone, gatherer in zip(ZONES, (near, far), strict=True):
        for ip in IPS[zone]:
            gatherer.heard(ip, new_report(uses=serialize_uses(told)), 0.0)
    near.heard_zone(far.summary(), 100.0)
    view = FleetView(own_ip=IPS["brno-a"][2])
    view.take(near.digest(near.summary(), POSITION, 200.0), 200.0)
    assert view.uses(200.0) == FleetUse({"large": Use(24.0, 42)}, 6, 1_500.0)
    assert view.uses(200.0 + VIEW_LIFE_MS) == FleetUse()


def test_hosts_that_tell_nothing_of_organisations_are_none_of_their_sum():
    gatherer = zone_gatherer("brno-a")
    gatherer.heard("10.0.0.1", new_report(), 0.0)
    assert parse_uses(gatherer.summary().uses) == FleetUse()


def test_word_of_a_host_itself_is_newer_than_any_digest():
    gatherer = zone_gatherer("brno-a")
    gatherer.heard("10.0.0.1", new_report(requests=3, leaving=True), 0.0)
    view = FleetView(own_ip="10.0.0.9")
    view.told("10.0.0.1", ServerLoad(in_flight=7, queued=0, limit=20), 100.0)
    view.take(gatherer.digest(gatherer.summary(), POSITION, 100.0), 100.0)
    assert view.load("10.0.0.1").in_flight == 7
    view.take(gatherer.digest(gatherer.summary(), POSITION, 200.0), 200.0)
    assert view.load("10.0.0.1").in_flight == 3
    assert view.load("10.0.0.1").leaving


def test_host_that_is_no_longer_named_is_soon_out_of_use():
    """A host loses power. Whoever goes on sending there lets each request wait for a
    link that doesn't come up.
    """
    gatherer = zone_gatherer("brno-a")
    view = FleetView(own_ip="10.0.0.9")
    gatherer.heard("10.0.0.1", new_report(), 0.0)
    view.take(gatherer.digest(gatherer.summary(), POSITION, 0.0), 0.0)
    lost_ms = life_ms(PAUSE_MS)
    gatherer.forget(lost_ms, PAUSE_MS)
    view.take(gatherer.digest(gatherer.summary(), POSITION, lost_ms), lost_ms)
    assert view.recent_load("10.0.0.1", lost_ms) is not None
    assert view.recent_load("10.0.0.1", lost_ms + MISSING_LIFE_MS) is None


def test_view_is_taken_from_one_gatherer_until_it_is_lost():
    view = FleetView(own_ip="10.0.0.9")
    view.heard_gatherer("10.0.0.2", 0.0)
    view.heard_gatherer("10.0.0.1", 0.0)
    assert view.source(1.0) == "10.0.0.1"
    view.heard_gatherer("10.0.0.2", GATHERER_LIFE_MS)
    assert view.source(GATHERER_LIFE_MS) == "10.0.0.2"
    view.heard_gatherer("10.0.0.9", GATHERER_LIFE_MS)
    assert view.source(GATHERER_LIFE_MS) == "10.0.0.9"


def test_hosts_that_take_their_view_elsewhere_are_told_no_more_than_who_gathers():
    gatherer = zone_gatherer("brno-a")
    assert gatherer.relies("10.0.0.1")
    gatherer.heard("10.0.0.1", new_report(relies=False), 0.0)
    assert not gatherer.relies("10.0.0.1")
    assert not bare_digest(POSITION).whole


def test_time_that_stood_still_makes_the_view_older():
    """A machine is suspended for seconds, which the steady clock doesn't count. What it
    was told before would pass for fresh.
    """
    view = FleetView(own_ip="10.0.0.9")
    view.told("10.0.0.1", ServerLoad(7, 0, 20), 0.0)
    view.take(bare_digest(POSITION), 0.0)
    view.stood_still(VIEW_LIFE_MS)
    assert view.recent_load("10.0.0.1", 1.0) is None
    assert view.age_ms(1.0) > VIEW_LIFE_MS


def test_rounds_of_large_zones_are_further_apart():
    assert pause_ms(5) == PAUSE_MS
    assert pause_ms(93) == 93 / MAX_POLLS_PER_S * 1000


def test_contact_that_does_not_gather_tells_who_does():
    contacts = ZoneContacts()
    zones = {"brno-b": ["10.1.0.0", "10.1.0.1", "10.1.0.2"]}
    assert contacts.choose(zones, 0.0, 250.0) == ["10.1.0.0"]
    contacts.answered("brno-b", "10.1.0.0", ["10.1.0.2"], 10.0)
    assert contacts.choose(zones, 250.0, 250.0) == ["10.1.0.2"]


def test_contact_that_is_lost_gives_way_to_the_next():
    """Both gatherers of a zone lose power. The zone must stay in view by any host of it
    that can be reached, which tells who has stepped in.
    """
    contacts = ZoneContacts()
    zones = {"brno-b": ["10.1.0.0", "10.1.0.1", "10.1.0.2"]}
    step_ms = life_ms(250.0) + 1
    asked = [contacts.choose(zones, number * step_ms, 250.0)[0] for number in range(4)]
    assert asked == ["10.1.0.0", "10.1.0.1", "10.1.0.2", "10.1.0.0"]


class Gathering(RuleBasedStateMachine):
    """Two zones whose hosts die, come back and repeat messages in any order.

    Whatever is lost, doubled or late, what is told of the fleet is the sum of one
    report of each host, none older than its life.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.gatherers = {z: zone_gatherer(z) for z in ZONES}
        self.told = {}
        self.passed_on = {}

    @rule(
        zone=st.sampled_from(ZONES),
        host=st.integers(0, 2),
        requests=st.integers(1, 50),
        times=st.integers(1, 3),
    )
    def report(self, zone, host, requests, times):
        ip = IPS[zone][host]
        for _ in range(times):
            self.gatherers[zone].heard(ip, new_report(requests), self.now_ms)
        self.told[ip] = (self.now_ms, requests)

    @rule(zone=st.sampled_from(ZONES), times=st.integers(1, 3))
    def exchange(self, zone, times):
        other = ZONES[1 - ZONES.index(zone)]
        self.gatherers[other].forget(self.now_ms, PAUSE_MS)
        summary = self.gatherers[other].summary()
        for _ in range(times):
            self.gatherers[zone].heard_zone(summary, self.now_ms)
        self.passed_on[zone] = self.now_ms

    @rule(step_ms=st.integers(1, 600))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @invariant()
    def sums_hold_each_host_once(self):
        for zone, gatherer in self.gatherers.items():
            gatherer.forget(self.now_ms, PAUSE_MS)
            view = FleetView(own_ip="10.9.9.9")
            view.take(
                gatherer.digest(gatherer.summary(), POSITION, self.now_ms), self.now_ms
            )
            counts, tellers = view.totals(self.now_ms)
            total = counts["archiv"].requests if counts else 0
            own = self.young(IPS[zone], self.now_ms)
            assert tellers <= sum(len(ips) for ips in IPS.values())
            assert sum(own) <= total <= sum(own) + 3 * 50
            if self.now_ms - self.passed_on.get(zone, -math.inf) >= self.life_ms:
                assert (total, tellers) == (sum(own), len(own))

    @property
    def life_ms(self):
        return life_ms(PAUSE_MS)

    def young(self, ips, now_ms):
        told = [self.told[ip] for ip in ips if ip in self.told]
        return [requests for at, requests in told if now_ms - at < self.life_ms]


TestGathering = Gathering.TestCase
TestGathering.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
