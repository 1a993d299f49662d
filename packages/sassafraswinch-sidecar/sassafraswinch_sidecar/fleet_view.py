"""A sidecar's view of the fleet: server loads, demand, retry counts and usage."""

import math
from collections.abc import Callable, Iterable, Iterator
from functools import partial

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
from sassafraswinch_sidecar.server_notices import StampedNotice
from sassafraswinch_sidecar.zone_aggregator import FOLLOWING, ISOLATED, LEAVING

MAX_VIEW_AGE_MS = 2_000.0
"""Age at which a reported load, or the reported demand, is no longer used. Aggregators
send digests several times a second; a lost aggregator is replaced within a second."""

MAX_UNLISTED_AGE_MS = 500.0
"""Age limit for the load of a host that the digest no longer lists. The host lost power
or is cut off, and the aggregators have already waited for it. An aggregator that has
just become active lists few hosts in its first rounds, which are over by then."""

AGGREGATOR_TIMEOUT_MS = 900.0
"""Time without a digest after which an aggregator counts as lost: three of its rounds,
and longer than a busy host pauses."""


HostNoticeListener = Callable[[str, StampedNotice, StampedNotice | None], None]
"""Receives the address of a host, a newer notice of its server and the one before."""


class FleetView:
    """Loads of all hosts, and the totals over all ingress sidecars.

    The whole view comes from one aggregator at a time: two that reach different hosts
    would make it alternate between two states.

    Args:
        own_ip: address of this host.
        on_notice: called with each newer notice of a server.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        on_notice: HostNoticeListener | None = None,
    ):
        self._own_ip = own_ip
        self._on_notice = on_notice
        self._loads: dict[str, PeerLoad] = {}
        self._listed: set[str] = set()
        self._aggregators: dict[str, float] = {}
        self._demand: list[Claim] = []
        self._totals: FleetTotals = ({}, 0)
        self._usage = FleetUsage()
        self._received_ms = -math.inf

    def record_aggregator(self, ip: str, now_ms: float) -> None:
        """Record a digest from an aggregator of this zone."""
        self._aggregators[ip] = now_ms

    def remove_aggregator(self, ip: str) -> None:
        """Remove an aggregator, so that the view is no longer taken from it."""
        self._aggregators.pop(ip, None)

    def aggregators(self, now_ms: float) -> list[str]:
        """Return the sorted addresses of the active aggregators of this zone."""
        received = self._aggregators.items()
        return sorted(ip for ip, at in received if now_ms - at < AGGREGATOR_TIMEOUT_MS)

    def source(self, now_ms: float) -> str | None:
        """Return the address of the aggregator that the view is taken from."""
        active = self.aggregators(now_ms)
        if self._own_ip in active:
            return self._own_ip
        return active[0] if active else None

    def apply_digest(self, digest: FleetDigest, now_ms: float) -> None:
        """Apply a full digest of the source."""
        for zone in digest.zones:
            self._apply_loads(zone, now_ms - zone.age_ms)
        listed = {ip for zone in digest.zones for ip in zone.hosts.ips}
        for ip in self._listed - listed:
            load = self._loads[ip]
            missing_ms = now_ms - MAX_VIEW_AGE_MS + MAX_UNLISTED_AGE_MS
            load.reported_ms = min(load.reported_ms, missing_ms)
        self._listed = listed
        self._demand = parse_demand(digest.demand)
        hosts = sum(len(zone.hosts.ips) for zone in digest.zones)
        self._totals = parse_counts(digest.counts), hosts
        self._usage = parse_usage(digest.uses)
        self._received_ms = now_ms

    def demand(self, now_ms: float) -> list[Claim]:
        """Return the demand at all ingress sidecars, this one included.

        Empty if no recent digest has reported it.
        """
        return self._demand if now_ms - self._received_ms < MAX_VIEW_AGE_MS else []

    def totals(self, now_ms: float) -> FleetTotals:
        """Return the requests and retries of all sidecars, this one included."""
        return self._totals if now_ms - self._received_ms < MAX_VIEW_AGE_MS else ({}, 0)

    def usage(self, now_ms: float) -> FleetUsage:
        """Return the usage of organisations, as last reported."""
        return (
            self._usage
            if now_ms - self._received_ms < MAX_VIEW_AGE_MS
            else FleetUsage()
        )

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last full digest was applied."""
        return now_ms - self._received_ms

    def loads(self) -> Iterable[tuple[str, PeerLoad]]:
        """Return the last reported load of each host, by address."""
        return self._loads.items()

    def load(self, ip: str) -> PeerLoad | None:
        """Return the last reported load of the server at an address, however old."""
        return self._loads.get(ip)

    def recent_load(self, ip: str, now_ms: float) -> PeerLoad | None:
        """Return the load of the server at an address if the report is recent."""
        load = self._loads.get(ip)
        if load is None or now_ms - load.reported_ms >= MAX_VIEW_AGE_MS:
            return None
        return load

    def record_load(self, ip: str, load: ServerLoad, now_ms: float) -> PeerLoad:
        """Record a load received from the host itself, which is newer than a digest."""
        known = self._known_load(ip)
        known.apply_report(load, now_ms)
        return known

    def add_paused_time(self, paused_ms: float) -> None:
        """Add the length of a process pause, which the clock didn't count, to all ages.

        Args:
            paused_ms: length of the pause.
        """
        self._received_ms -= paused_ms
        for load in self._loads.values():
            load.reported_ms -= paused_ms
        self._aggregators = {ip: at - paused_ms for ip, at in self._aggregators.items()}

    def _known_load(self, ip: str) -> PeerLoad:
        load = self._loads.get(ip)
        if load is None:
            on_notice = partial(self._on_notice, ip) if self._on_notice else None
            load = self._loads[ip] = PeerLoad(on_notice=on_notice)
        return load

    def _apply_loads(self, zone: ZoneLoads, at_ms: float) -> None:
        notices = {each.ip: each for each in zone.hosts.notices or ()}
        for ip, in_flight, queued, limit, flags in _host_states(zone):
            load = self._known_load(ip)
            if load.reported_ms >= at_ms:
                continue
            load.in_flight = in_flight
            load.queued = queued
            load.limit = limit
            load.sent_since_report = 0
            load.rate_wait_ms = 0.0
            if ip in notices:
                load.apply_notice(notices[ip])
            load.leaving = bool(flags & LEAVING)
            load.following = bool(flags & FOLLOWING)
            load.isolated = bool(flags & ISOLATED)
            load.reported_ms = at_ms


def _host_states(zone: ZoneLoads) -> Iterator[tuple[str, int, int, int, int]]:
    """Yield address, requests in flight, queue length, slots and flags of each host."""
    hosts = zone.hosts
    return zip(
        hosts.ips, hosts.in_flight, hosts.queued, hosts.limits, hosts.flags, strict=True
    )
