"""What this sidecar was last told of the fleet: loads, demand and repeats."""

import math
from collections.abc import Iterator

from sassafraswinch.capacity_shares import Claim
from sassafraswinch.organisation_rates import FleetUsage
from sassafraswinch_sidecar.host_reports import (
    parse_counts,
    parse_demand,
    parse_usage,
)
from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    ServerLoad,
    ZoneLoads,
)
from sassafraswinch_sidecar.retry_budget import FleetTotals
from sassafraswinch_sidecar.zone_aggregator import FOLLOWING, ISOLATED, LEAVING

MAX_VIEW_AGE_MS = 2_000.0
"""Age at which what was told of a host, or of demand, says nothing any more. Gatherers
tell several times a second; one that is lost is replaced within a second."""

MAX_UNLISTED_AGE_MS = 500.0
"""The same for a host that the gatherer no longer names: it lost power, or is cut off,
and gatherers have already waited for it. A gatherer that has just stepped in names few
hosts in its first rounds, which are over by then."""

AGGREGATOR_TIMEOUT_MS = 900.0
"""Time without a word after which a gatherer counts as lost: three of its rounds, and
more than a busy host stands still."""


class FleetView:
    """Loads of all hosts, and the sums over all entries.

    The whole view is taken from one gatherer at a time: two that hear different hosts
    would make it jump to and fro.

    Args:
        own_ip: address of this host.
    """

    def __init__(self, *, own_ip: str):
        self._own_ip = own_ip
        self._loads: dict[str, PeerLoad] = {}
        self._named: set[str] = set()
        self._gatherers: dict[str, float] = {}
        self._demand: list[Claim] = []
        self._totals: FleetTotals = ({}, 0)
        self._uses = FleetUsage()
        self._told_ms = -math.inf

    def record_aggregator(self, ip: str, now_ms: float) -> None:
        """Note a word of a gatherer of this zone."""
        self._gatherers[ip] = now_ms

    def remove_aggregator(self, ip: str) -> None:
        """Take nothing from a gatherer any more."""
        self._gatherers.pop(ip, None)

    def aggregators(self, now_ms: float) -> list[str]:
        """Return the gatherers of this zone that are heard, in order of address."""
        heard = self._gatherers.items()
        return sorted(ip for ip, at in heard if now_ms - at < AGGREGATOR_TIMEOUT_MS)

    def source(self, now_ms: float) -> str | None:
        """Return the gatherer that the view is taken from."""
        heard = self.aggregators(now_ms)
        if self._own_ip in heard:
            return self._own_ip
        return heard[0] if heard else None

    def apply_digest(self, digest: FleetDigest, now_ms: float) -> None:
        """Take in the whole digest of the source."""
        for zone in digest.zones:
            self._take_loads(zone, now_ms - zone.age_ms)
        named = {ip for zone in digest.zones for ip in zone.hosts.ips}
        for ip in self._named - named:
            load = self._loads[ip]
            missing_ms = now_ms - MAX_VIEW_AGE_MS + MAX_UNLISTED_AGE_MS
            load.reported_ms = min(load.reported_ms, missing_ms)
        self._named = named
        self._demand = parse_demand(digest.demand)
        hosts = sum(len(zone.hosts.ips) for zone in digest.zones)
        self._totals = parse_counts(digest.counts), hosts
        self._uses = parse_usage(digest.uses)
        self._told_ms = now_ms

    def demand(self, now_ms: float) -> list[Claim]:
        """Return what all entries' arrivals need, this one's included, as last told.

        Empty where nobody has told it lately.
        """
        return self._demand if now_ms - self._told_ms < MAX_VIEW_AGE_MS else []

    def totals(self, now_ms: float) -> FleetTotals:
        """Return how much all sidecars sent, this one included, as last told."""
        return self._totals if now_ms - self._told_ms < MAX_VIEW_AGE_MS else ({}, 0)

    def usage(self, now_ms: float) -> FleetUsage:
        """Return what was asked and let in of organisations, as last told."""
        return self._uses if now_ms - self._told_ms < MAX_VIEW_AGE_MS else FleetUsage()

    def age_ms(self, now_ms: float) -> float:
        """Return the time since a whole digest was taken."""
        return now_ms - self._told_ms

    def load(self, ip: str) -> PeerLoad | None:
        """Return what was ever told of the server at an address."""
        return self._loads.get(ip)

    def recent_load(self, ip: str, now_ms: float) -> PeerLoad | None:
        """Return what was lately told of the server at an address."""
        load = self._loads.get(ip)
        if load is None or now_ms - load.reported_ms >= MAX_VIEW_AGE_MS:
            return None
        return load

    def record_load(self, ip: str, load: ServerLoad, now_ms: float) -> PeerLoad:
        """Take in what a host says of itself, which is newer than any digest."""
        known = self._loads.get(ip)
        if known is None:
            known = self._loads[ip] = PeerLoad()
        known.apply_report(load, now_ms)
        return known

    def add_paused_time(self, paused_ms: float) -> None:
        """Add time that passed unknown to the clock to all ages."""
        self._told_ms -= paused_ms
        for load in self._loads.values():
            load.reported_ms -= paused_ms
        self._gatherers = {ip: at - paused_ms for ip, at in self._gatherers.items()}

    def _take_loads(self, zone: ZoneLoads, at_ms: float) -> None:
        for ip, in_flight, queued, limit, flags in _host_states(zone):
            load = self._loads.get(ip)
            if load is None:
                load = self._loads[ip] = PeerLoad()
            if load.reported_ms >= at_ms:
                continue
            load.in_flight = in_flight
            load.queued = queued
            load.limit = limit
            load.sent_since_report = 0
            load.leaving = bool(flags & LEAVING)
            load.following = bool(flags & FOLLOWING)
            load.isolated = bool(flags & ISOLATED)
            load.reported_ms = at_ms


def _host_states(zone: ZoneLoads) -> Iterator[tuple[str, int, int, int, int]]:
    """Yield address, requests that run, that wait, slots and flags of each host."""
    hosts = zone.hosts
    return zip(
        hosts.ips, hosts.in_flight, hosts.queued, hosts.limits, hosts.flags, strict=True
    )
