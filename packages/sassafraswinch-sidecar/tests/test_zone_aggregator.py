"""Tests of the zone aggregator: no host is counted twice or kept after its loss."""

import math

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.organisation_rates import FleetUsage, Usage
from sassafraswinch_node.frames import LENGTH_BYTES
from sassafraswinch_sidecar.fleet_view import (
    AGGREGATOR_TIMEOUT_MS,
    MAX_UNLISTED_AGE_MS,
    MAX_VIEW_AGE_MS,
    FleetView,
)
from sassafraswinch_sidecar.host_reports import parse_usage, serialize_usage
from sassafraswinch_sidecar.message_codec import parse_message, serialize_message
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HostReport,
    NoticeReport,
    RouteDemand,
    SentCount,
    ServerLoad,
)
from sassafraswinch_sidecar.revisions import Position, Revision
from sassafraswinch_sidecar.zone_aggregator import (
    MAX_POLLS_PER_S,
    PAUSE_MS,
    ZoneAggregator,
    ZoneContacts,
    empty_digest,
    eviction_timeout_ms,
    round_pause_ms,
)

ZONES = ("brno-a", "brno-b")
POSITION = Position(revision=Revision(0, 1), routes_version=1)
IPS = {zone: [f"10.{n}.0.{host}" for host in range(3)] for n, zone in enumerate(ZONES)}


def new_aggregator(zone):
    return ZoneAggregator(
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


def test_digest_holds_the_totals_of_all_zones():
    local, remote = (new_aggregator(zone) for zone in ZONES)
    for zone, aggregator in zip(ZONES, (local, remote), strict=True):
        for ip in IPS[zone]:
            aggregator.record_report(ip, new_report(), 0.0)
    local.record_summary(remote.summary(), 100.0)
    view = FleetView(own_ip=IPS["brno-a"][2])
    view.apply_digest(local.digest(local.summary(), POSITION, 200.0), 200.0)
    (claim,) = view.demand(200.0)
    assert (claim.kind, claim.rate_per_s) == ("orders", 30.0)
    assert math.isclose(claim.costs["archiv"], 0.2)
    counts, hosts = view.totals(200.0)
    assert (counts["archiv"].requests, counts["archiv"].retries, hosts) == (60, 6, 6)
    assert view.recent_load(IPS["brno-b"][0], 200.0).in_flight == 10
    # A report received 100 ms ago in another zone is 100 ms older here.
    assert view.recent_load(IPS["brno-b"][0], 100.0 + MAX_VIEW_AGE_MS) is None
    assert view.recent_load(IPS["brno-a"][0], 100.0 + MAX_VIEW_AGE_MS) is not None


def test_digest_holds_organisations_near_their_limit():
    local, remote = (new_aggregator(zone) for zone in ZONES)
    reported = FleetUsage({"large": Usage(4.0, 7), "small": Usage(0.5, 1)}, 1, 250.0)
    for zone, aggregator in zip(ZONES, (local, remote), strict=True):
        for ip in IPS[zone]:
            aggregator.record_report(
                ip, new_report(uses=serialize_usage(reported)), 0.0
            )
    local.record_summary(remote.summary(), 100.0)
    view = FleetView(own_ip=IPS["brno-a"][2])
    view.apply_digest(local.digest(local.summary(), POSITION, 200.0), 200.0)
    assert view.usage(200.0) == FleetUsage({"large": Usage(24.0, 42)}, 6, 1_500.0)
    assert view.usage(200.0 + MAX_VIEW_AGE_MS) == FleetUsage()


def test_hosts_without_usage_of_organisations_are_not_counted_in_the_total():
    aggregator = new_aggregator("brno-a")
    aggregator.record_report("10.0.0.1", new_report(), 0.0)
    assert parse_usage(aggregator.summary().uses) == FleetUsage()


def test_load_received_from_the_host_itself_is_newer_than_any_digest():
    aggregator = new_aggregator("brno-a")
    aggregator.record_report("10.0.0.1", new_report(requests=3, leaving=True), 0.0)
    view = FleetView(own_ip="10.0.0.9")
    view.record_load("10.0.0.1", ServerLoad(in_flight=7, queued=0, limit=20), 100.0)
    view.apply_digest(aggregator.digest(aggregator.summary(), POSITION, 100.0), 100.0)
    assert view.load("10.0.0.1").in_flight == 7
    view.apply_digest(aggregator.digest(aggregator.summary(), POSITION, 200.0), 200.0)
    assert view.load("10.0.0.1").in_flight == 3
    assert view.load("10.0.0.1").leaving


def test_load_of_a_host_that_is_no_longer_listed_soon_expires():
    """A host loses power. Each request that is still sent there waits for a link that
    doesn't come up.
    """
    aggregator = new_aggregator("brno-a")
    view = FleetView(own_ip="10.0.0.9")
    aggregator.record_report("10.0.0.1", new_report(), 0.0)
    view.apply_digest(aggregator.digest(aggregator.summary(), POSITION, 0.0), 0.0)
    lost_ms = eviction_timeout_ms(PAUSE_MS)
    aggregator.evict_expired(lost_ms, PAUSE_MS)
    view.apply_digest(
        aggregator.digest(aggregator.summary(), POSITION, lost_ms), lost_ms
    )
    assert view.recent_load("10.0.0.1", lost_ms) is not None
    assert view.recent_load("10.0.0.1", lost_ms + MAX_UNLISTED_AGE_MS) is None


def test_view_is_taken_from_one_aggregator_until_it_is_lost():
    view = FleetView(own_ip="10.0.0.9")
    view.record_aggregator("10.0.0.2", 0.0)
    view.record_aggregator("10.0.0.1", 0.0)
    assert view.source(1.0) == "10.0.0.1"
    view.record_aggregator("10.0.0.2", AGGREGATOR_TIMEOUT_MS)
    assert view.source(AGGREGATOR_TIMEOUT_MS) == "10.0.0.2"
    view.record_aggregator("10.0.0.9", AGGREGATOR_TIMEOUT_MS)
    assert view.source(AGGREGATOR_TIMEOUT_MS) == "10.0.0.9"


def test_hosts_that_use_another_aggregator_receive_an_empty_digest():
    aggregator = new_aggregator("brno-a")
    assert aggregator.needs_full_digest("10.0.0.1")
    aggregator.record_report("10.0.0.1", new_report(relies=False), 0.0)
    assert not aggregator.needs_full_digest("10.0.0.1")
    assert not empty_digest(POSITION).whole


def test_process_pause_makes_the_view_older():
    """A host is suspended for seconds, which the monotonic clock doesn't count. Without
    correction, reports from before would count as recent.
    """
    view = FleetView(own_ip="10.0.0.9")
    view.record_load("10.0.0.1", ServerLoad(7, 0, 20), 0.0)
    view.apply_digest(empty_digest(POSITION), 0.0)
    view.add_paused_time(MAX_VIEW_AGE_MS)
    assert view.recent_load("10.0.0.1", 1.0) is None
    assert view.age_ms(1.0) > MAX_VIEW_AGE_MS


def test_changed_state_of_a_host_is_reported_as_news():
    """Guards against a lost follower that is noticed only with the next round."""
    aggregator = new_aggregator("brno-a")
    reports = [new_report(), new_report(), new_report(), new_report()]
    reports[2].following = reports[3].following = not reports[0].following
    news = [aggregator.record_report("10.0.0.1", each, 0.0) for each in reports]
    assert news == [True, False, True, False]


def test_rounds_of_large_zones_are_further_apart():
    assert round_pause_ms(5) == PAUSE_MS
    assert round_pause_ms(93) == 93 / MAX_POLLS_PER_S * 1000


def test_contact_that_is_no_aggregator_returns_the_address_of_one():
    contacts = ZoneContacts()
    zones = {"brno-b": ["10.1.0.0", "10.1.0.1", "10.1.0.2"]}
    assert contacts.choose_contacts(zones, 0.0, 250.0) == ["10.1.0.0"]
    contacts.record_reply("brno-b", "10.1.0.0", ["10.1.0.2"], 10.0)
    assert contacts.choose_contacts(zones, 250.0, 250.0) == ["10.1.0.2"]


def test_lost_contact_is_replaced_by_the_next_host():
    """Both aggregators of a zone lose power. The zone must stay in view through any
    host that can be reached, which returns the addresses of the new aggregators.
    """
    contacts = ZoneContacts()
    zones = {"brno-b": ["10.1.0.0", "10.1.0.1", "10.1.0.2"]}
    step_ms = eviction_timeout_ms(250.0) + 1
    chosen = [
        contacts.choose_contacts(zones, number * step_ms, 250.0)[0]
        for number in range(4)
    ]
    assert chosen == ["10.1.0.0", "10.1.0.1", "10.1.0.2", "10.1.0.0"]


class AggregationMachine(RuleBasedStateMachine):
    """Two zones whose hosts fail, come back and duplicate messages in any order.

    Whether messages are lost, duplicated or late, the totals of the digest hold one
    report of each host, none of them older than the eviction time.
    """

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.aggregators = {z: new_aggregator(z) for z in ZONES}
        self.reported = {}
        self.summarised_ms = {}

    @rule(
        zone=st.sampled_from(ZONES),
        host=st.integers(0, 2),
        requests=st.integers(1, 50),
        times=st.integers(1, 3),
    )
    def report(self, zone, host, requests, times):
        ip = IPS[zone][host]
        for _ in range(times):
            self.aggregators[zone].record_report(ip, new_report(requests), self.now_ms)
        self.reported[ip] = (self.now_ms, requests)

    @rule(zone=st.sampled_from(ZONES), times=st.integers(1, 3))
    def exchange(self, zone, times):
        other = ZONES[1 - ZONES.index(zone)]
        self.aggregators[other].evict_expired(self.now_ms, PAUSE_MS)
        summary = self.aggregators[other].summary()
        for _ in range(times):
            self.aggregators[zone].record_summary(summary, self.now_ms)
        self.summarised_ms[zone] = self.now_ms

    @rule(step_ms=st.integers(1, 600))
    def wait(self, step_ms):
        self.now_ms += step_ms

    @invariant()
    def totals_count_each_host_once(self):
        for zone, aggregator in self.aggregators.items():
            aggregator.evict_expired(self.now_ms, PAUSE_MS)
            view = FleetView(own_ip="10.9.9.9")
            view.apply_digest(
                aggregator.digest(aggregator.summary(), POSITION, self.now_ms),
                self.now_ms,
            )
            counts, hosts = view.totals(self.now_ms)
            total = counts["archiv"].requests if counts else 0
            own = self.recent_requests(IPS[zone], self.now_ms)
            assert hosts <= sum(len(ips) for ips in IPS.values())
            assert sum(own) <= total <= sum(own) + 3 * 50
            if (
                self.now_ms - self.summarised_ms.get(zone, -math.inf)
                >= self.eviction_timeout_ms
            ):
                assert (total, hosts) == (sum(own), len(own))

    @property
    def eviction_timeout_ms(self):
        return eviction_timeout_ms(PAUSE_MS)

    def recent_requests(self, ips, now_ms):
        reported = [self.reported[ip] for ip in ips if ip in self.reported]
        return [
            requests
            for at, requests in reported
            if now_ms - at < self.eviction_timeout_ms
        ]


TestAggregation = AggregationMachine.TestCase
TestAggregation.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)


def test_digest_holds_the_notices_of_servers():
    """The limit of a server reaches the hosts of other zones, with its wait."""
    local, remote = (new_aggregator(zone) for zone in ZONES)
    limited_ip, plain_ip, _ = IPS["brno-b"]
    report = new_report()
    notice = NoticeReport(instance_id="i-1", stamp=4, rate_limit_per_s=3.0)
    report.load = ServerLoad(1, 0, 20, notice, 250, 80_000)
    remote.record_report(limited_ip, report, 0.0)
    remote.record_report(plain_ip, new_report(), 0.0)
    local.record_summary(remote.summary(), 0.0)
    received = []
    view = FleetView(
        own_ip="10.9.9.9", on_notice=lambda ip, new, former: received.append((ip, new))
    )
    digest = local.digest(local.summary(), POSITION, 0.0)
    decoded = parse_message(serialize_message(digest)[LENGTH_BYTES:])
    view.apply_digest(decoded, 0.0)
    load = view.load(limited_ip)
    assert (load.rate_limit_of("i-1"), load.rate_wait_ms) == (3.0, 250)
    assert load.mean_hold_ms == 80.0
    assert view.load(plain_ip).notice is None
    assert [(ip, new.rate_limit_per_s) for ip, new in received] == [(limited_ip, 3.0)]
    view.apply_digest(decoded, 100.0)
    assert len(received) == 1
