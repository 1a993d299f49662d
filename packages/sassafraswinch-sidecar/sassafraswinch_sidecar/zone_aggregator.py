"""Aggregator of an availability zone: merges host reports and other zones' summaries.

If every host sent its report to every other host, the messages would grow with the
square of a fleet of hundreds. So two sidecars of each zone are its aggregators: they
poll the hosts of their zone and one aggregator of each other zone, and distribute the
totals. A host report replaces the former one of that host, and a zone summary that of
its zone, so nothing is counted twice, whether messages are lost, duplicated or late.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from sassafraswinch.capacity_shares import Claim
from sassafraswinch.organisation_rates import FleetUsage, Usage, total_usage
from sassafraswinch_sidecar.host_reports import (
    parse_counts,
    parse_demand,
    parse_usage,
    serialize_counts,
    serialize_demand,
    serialize_usage,
)
from sassafraswinch_sidecar.ingress_admission import merge_claims
from sassafraswinch_sidecar.message_checks import wire_count
from sassafraswinch_sidecar.message_codec import position_fields
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    HostLoads,
    HostNotice,
    HostReport,
    ZoneLoads,
    ZoneSummary,
)
from sassafraswinch_sidecar.retry_budget import sum_counts
from sassafraswinch_sidecar.revisions import Position

AGGREGATORS_PER_ZONE = 2
"""Active aggregators of a zone. With one, its loss would leave the zone without a view
until the loss is noticed."""

AGGREGATOR_TAKEOVER_STEP_MS = 100.0
"""Delay of each further sidecar in taking over when aggregators are missing: dialling
a zone and announcing the new aggregator takes tens of milliseconds."""

PAUSE_MS = 125.0
"""Pause between two rounds of an aggregator. A change needs at most three rounds to
reach the whole fleet, and ingress sidecars admit too much until they receive each
other's demand."""

MAX_POLLS_PER_S = 128.0
"""Hosts that an aggregator polls per second. In large zones the pause grows, so that
the cost stays near a hundredth of a core."""

MAX_SILENT_ROUNDS = 3.5
MIN_EVICTION_TIMEOUT_MS = 800.0
"""Rounds, and minimum time, without a reply after which a host or a zone is evicted:
one reply may be lost, and a busy host may pause for a moment."""

LEAVING, FOLLOWING, ISOLATED = 1, 2, 4
"""Bits of a host's state on the wire."""


def eviction_timeout_ms(round_ms: float) -> float:
    """Return the time without a reply after which a host or a zone is evicted."""
    return max(MAX_SILENT_ROUNDS * round_ms, MIN_EVICTION_TIMEOUT_MS)


def round_pause_ms(hosts: int) -> float:
    """Return the pause between two rounds.

    Args:
        hosts: number of hosts in the zone.
    """
    return max(PAUSE_MS, hosts / MAX_POLLS_PER_S * 1000)


Key = TypeVar("Key")
Content = TypeVar("Content")


@dataclass(frozen=True, slots=True)
class _Received(Generic[Content]):
    at_ms: float
    content: Content

    def age_ms(self, now_ms: float) -> float:
        return now_ms - self.at_ms


class ZoneAggregator:
    """Latest reports of one zone's hosts and summaries of the other zones.

    Args:
        availability_zone: zone of the aggregator.
        is_near_limit: returns whether the usage of an organisation must be published
            to the hosts.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        is_near_limit: Callable[[str, Usage], bool],
    ):
        self._zone = availability_zone
        self._is_near_limit = is_near_limit
        self._reports: dict[str, _Received[HostReport]] = {}
        self._summaries: dict[str, _Received[ZoneSummary]] = {}

    def record_report(self, ip: str, report: HostReport, now_ms: float) -> bool:
        """Record the report of a host of this zone, replacing its former one.

        Returns:
            Whether the host was unknown before or its state has changed, so that the
            other hosts must receive it at once.
        """
        known = self._reports.get(ip)
        self._reports[ip] = _Received(now_ms, report)
        return known is None or _flags(known.content) != _flags(report)

    def record_summary(self, summary: ZoneSummary, now_ms: float) -> bool:
        """Record the summary of another zone, replacing its former one.

        Returns:
            Whether it lists more hosts than the former one.
        """
        zone = summary.loads.availability_zone
        known = self._summaries.get(zone)
        self._summaries[zone] = _Received(now_ms, summary)
        hosts = len(summary.loads.hosts.ips)
        return known is None or hosts > len(known.content.loads.hosts.ips)

    def needs_full_digest(self, ip: str) -> bool:
        """Return whether a host needs the full digest; an unknown host does."""
        received = self._reports.get(ip)
        return received is None or received.content.relies

    def replying_hosts(self) -> Iterable[str]:
        """Return the hosts of this zone that replied in the last rounds."""
        return self._reports.keys()

    def evict_expired(self, now_ms: float, round_ms: float) -> None:
        """Evict the hosts and zones that no longer reply."""
        self._reports = _recent(self._reports, now_ms, eviction_timeout_ms(round_ms))
        self._summaries = _recent(
            self._summaries, now_ms, eviction_timeout_ms(round_ms)
        )

    def summary(self) -> ZoneSummary:
        """Return the summary of this zone."""
        reports = {ip: received.content for ip, received in self._reports.items()}
        demands = [parse_demand(report.demand) for report in reports.values()]
        counts = [parse_counts(report.counts) for report in reports.values()]
        return ZoneSummary(
            loads=ZoneLoads(self._zone, 0, _host_loads(reports)),
            demand=serialize_demand(merge_claims(demands)),
            counts=serialize_counts(sum_counts(counts)),
            uses=serialize_usage(
                total_usage(parse_usage(report.uses) for report in reports.values())
            ),
        )

    def digest(
        self, own: ZoneSummary, position: Position, now_ms: float
    ) -> FleetDigest:
        """Return the digest for the hosts of this zone.

        Args:
            own: latest summary of this zone.
            position: position of this sidecar's copy of the platform's data.
            now_ms: monotonic time.
        """
        others = [
            ZoneLoads(
                zone,
                wire_count(received.age_ms(now_ms) + received.content.loads.age_ms),
                received.content.loads.hosts,
            )
            for zone, received in self._summaries.items()
        ]
        summaries = [own, *(received.content for received in self._summaries.values())]
        return FleetDigest(
            **position_fields(position),
            whole=True,
            zones=[own.loads, *others],
            demand=serialize_demand(_merged_demand(summaries)),
            counts=serialize_counts(
                sum_counts(parse_counts(each.counts) for each in summaries)
            ),
            uses=serialize_usage(self._usage_near_limits(summaries)),
        )

    def _usage_near_limits(self, summaries: Iterable[ZoneSummary]) -> FleetUsage:
        """Return the usage of organisations near their limit; others have no effect."""
        total = total_usage(parse_usage(each.uses) for each in summaries)
        near = {
            name: usage
            for name, usage in total.uses.items()
            if self._is_near_limit(name, usage)
        }
        return FleetUsage(near, total.hosts, total.unknown_ms)


def empty_digest(position: Position) -> FleetDigest:
    """Return the digest for hosts that take their view from another aggregator."""
    return FleetDigest(
        **position_fields(position), whole=False, zones=[], demand=[], counts=[]
    )


class ZoneContacts:
    """Selection of the sidecar that is polled for the summary of each other zone.

    An aggregator is preferred; a sidecar that isn't one returns the addresses of those
    that are. A sidecar that doesn't reply for some rounds is replaced by the next by
    address, so that a zone stays in view while any of its hosts can be reached.
    """

    def __init__(self):
        self._contacts: dict[str, str] = {}
        self._replied_ms: dict[str, float] = {}

    def choose_contacts(
        self, zones: Mapping[str, list[str]], now_ms: float, round_ms: float
    ) -> list[str]:
        """Return the address to poll for each zone.

        Args:
            zones: sorted host addresses of the other zones.
            now_ms: monotonic time.
            round_ms: pause between two rounds.
        """
        for zone, ips in zones.items():
            contact = self._contacts.get(zone)
            replied_ms = self._replied_ms.setdefault(zone, now_ms)
            if contact not in ips:
                self._set_contact(zone, ips[0], now_ms)
            elif now_ms - replied_ms > eviction_timeout_ms(round_ms):
                self._set_contact(
                    zone, ips[(ips.index(contact) + 1) % len(ips)], now_ms
                )
        return [self._contacts[zone] for zone in zones]

    def record_reply(
        self, zone: str, ip: str, aggregators: Iterable[str], now_ms: float
    ) -> None:
        """Record a reply, and switch to an aggregator of the zone.

        Args:
            zone: polled zone.
            ip: address of the sidecar that replied.
            aggregators: addresses of the zone's aggregators, as listed in the reply.
            now_ms: monotonic time.
        """
        aggregators = sorted(aggregators)
        if not aggregators or self._contacts.get(zone) != ip:
            return
        self._replied_ms[zone] = now_ms
        if ip not in aggregators:
            self._set_contact(zone, aggregators[0], now_ms)

    def zone_of(self, ip: str) -> str | None:
        """Return the zone for which a sidecar is polled."""
        return next(
            (zone for zone, contact in self._contacts.items() if contact == ip), None
        )

    def _set_contact(self, zone: str, ip: str, now_ms: float) -> None:
        self._contacts[zone] = ip
        self._replied_ms[zone] = now_ms


def _recent(
    received: Mapping[Key, _Received[Content]], now_ms: float, max_age_ms: float
) -> dict[Key, _Received[Content]]:
    return {
        key: each for key, each in received.items() if each.age_ms(now_ms) < max_age_ms
    }


def _host_loads(reports: Mapping[str, HostReport]) -> HostLoads:
    loads = [report.load for report in reports.values()]
    return HostLoads(
        ips=list(reports),
        in_flight=[load.in_flight for load in loads],
        queued=[load.queued for load in loads],
        limits=[load.limit for load in loads],
        flags=[_flags(report) for report in reports.values()],
        notices=[
            HostNotice(ip, load.notice, load.rate_wait_ms, load.mean_hold_us)
            for ip, load in zip(reports, loads, strict=True)
            if load.notice is not None
        ]
        or None,
    )


def _flags(report: HostReport) -> int:
    return (
        LEAVING * report.leaving
        | FOLLOWING * report.following
        | ISOLATED * report.isolated
    )


def _merged_demand(summaries: Iterable[ZoneSummary]) -> list[Claim]:
    return merge_claims(parse_demand(summary.demand) for summary in summaries)
