"""Adds up what the hosts of a zone report, and what other zones' sums tell.

A fleet of hundreds can't tell everything to everybody: the messages would grow with the
square of it. So two sidecars of each zone ask the others of their zone and one gatherer
of each other zone, add up, and hand the sums on. A report replaces the former one of
its host, and a sum that of its zone, so nothing is ever added twice, whatever is lost,
doubled or late.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from sassafraswinch.fitting_shares import Claim
from sassafraswinch.organisation_rates import FleetUse, Use, sum_uses
from sassafraswinch_sidecar.entry_admission import merge_claims
from sassafraswinch_sidecar.host_reports import (
    parse_counts,
    parse_demand,
    parse_uses,
    serialize_counts,
    serialize_demand,
    serialize_uses,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    HostLoads,
    HostReport,
    ZoneLoads,
    ZoneSummary,
)
from sassafraswinch_sidecar.relay_wire import position_fields
from sassafraswinch_sidecar.repeat_budget import sum_counts
from sassafraswinch_sidecar.revisions import Position

GATHERERS = 2
"""Sidecars of a zone that gather while they can; with one, its loss would leave the
zone without a view until that is noticed."""

GATHER_STEP_MS = 100.0
"""Time that each further sidecar leaves to those before it, when gatherers are missing:
dialling a zone and telling it who gathers takes tens of milliseconds."""

PAUSE_MS = 125.0
"""Pause between two rounds of a gatherer. News takes three of them at most to cross the
fleet, and entries admit too much until they hear of each other's demand."""

MAX_POLLS_PER_S = 128.0
"""Hosts that a gatherer asks in a second. In large zones the pause grows, so that it
stays near a hundredth of a core."""

LIFE_ROUNDS = 3.5
MIN_LIFE_MS = 800.0
"""Rounds, and time at least, without an answer after which a host, or a zone, no longer
counts: one answer may be lost, and a busy host stand still for a moment."""

LEAVING, FOLLOWING, ISOLATED = 1, 2, 4
"""Bits of a host's state on the wire."""


def life_ms(round_ms: float) -> float:
    """Return the time without an answer after which a host or a zone is forgotten."""
    return max(LIFE_ROUNDS * round_ms, MIN_LIFE_MS)


def pause_ms(hosts: int) -> float:
    """Return the pause between two rounds, for a zone of so many hosts."""
    return max(PAUSE_MS, hosts / MAX_POLLS_PER_S * 1000)


Key = TypeVar("Key")
Content = TypeVar("Content")


@dataclass(frozen=True, slots=True)
class _Told(Generic[Content]):
    at_ms: float
    content: Content

    def age_ms(self, now_ms: float) -> float:
        return now_ms - self.at_ms


class ZoneGatherer:
    """The latest reports of one zone's hosts and sums of the other zones.

    Args:
        availability_zone: the gatherer's zone.
        is_near_limit: returns whether hosts must be told of an organisation's use.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        is_near_limit: Callable[[str, Use], bool],
    ):
        self._zone = availability_zone
        self._is_near_limit = is_near_limit
        self._reports: dict[str, _Told[HostReport]] = {}
        self._zones: dict[str, _Told[ZoneSummary]] = {}

    def heard(self, ip: str, report: HostReport, now_ms: float) -> bool:
        """Take in the report of a host of this zone, in place of its former one.

        Returns:
            Whether the host wasn't known before.
        """
        is_new = ip not in self._reports
        self._reports[ip] = _Told(now_ms, report)
        return is_new

    def heard_zone(self, summary: ZoneSummary, now_ms: float) -> bool:
        """Take in the sum of another zone, in place of its former one.

        Returns:
            Whether it tells of more hosts than the former one.
        """
        zone = summary.loads.availability_zone
        known = self._zones.get(zone)
        self._zones[zone] = _Told(now_ms, summary)
        hosts = len(summary.loads.hosts.ips)
        return known is None or hosts > len(known.content.loads.hosts.ips)

    def relies(self, ip: str) -> bool:
        """Return whether a host wants the whole digest; one that is unknown does."""
        told = self._reports.get(ip)
        return told is None or told.content.relies

    def answering(self) -> Iterable[str]:
        """Return the hosts of this zone that answered in the last rounds."""
        return self._reports.keys()

    def forget(self, now_ms: float, round_ms: float) -> None:
        """Drop the hosts and zones that no longer answer."""
        self._reports = _young(self._reports, now_ms, life_ms(round_ms))
        self._zones = _young(self._zones, now_ms, life_ms(round_ms))

    def summary(self) -> ZoneSummary:
        """Return the sum of this zone."""
        reports = {ip: told.content for ip, told in self._reports.items()}
        demands = [parse_demand(report.demand) for report in reports.values()]
        counts = [parse_counts(report.counts) for report in reports.values()]
        return ZoneSummary(
            loads=ZoneLoads(self._zone, 0, _host_loads(reports)),
            demand=serialize_demand(merge_claims(demands)),
            counts=serialize_counts(sum_counts(counts)),
            uses=serialize_uses(
                sum_uses(parse_uses(report.uses) for report in reports.values())
            ),
        )

    def digest(
        self, own: ZoneSummary, position: Position, now_ms: float
    ) -> FleetDigest:
        """Return what the hosts of this zone are told.

        Args:
            own: the sum of this zone, as made last.
            position: how much this sidecar knows of the platform's data.
            now_ms: monotonic time.
        """
        others = [
            ZoneLoads(
                zone,
                int(told.age_ms(now_ms)) + told.content.loads.age_ms,
                told.content.loads.hosts,
            )
            for zone, told in self._zones.items()
        ]
        summaries = [own, *(told.content for told in self._zones.values())]
        return FleetDigest(
            **position_fields(position),
            whole=True,
            zones=[own.loads, *others],
            demand=serialize_demand(_merged_demand(summaries)),
            counts=serialize_counts(
                sum_counts(parse_counts(each.counts) for each in summaries)
            ),
            uses=serialize_uses(self._near_limits(summaries)),
        )

    def _near_limits(self, summaries: Iterable[ZoneSummary]) -> FleetUse:
        """Return the uses that hosts must hear of; the others have no effect."""
        total = sum_uses(parse_uses(each.uses) for each in summaries)
        near = {
            name: use
            for name, use in total.uses.items()
            if self._is_near_limit(name, use)
        }
        return FleetUse(near, total.hosts, total.unknown_ms)


def bare_digest(position: Position) -> FleetDigest:
    """Return the digest for hosts that take their view from another gatherer."""
    return FleetDigest(
        **position_fields(position), whole=False, zones=[], demand=[], counts=[]
    )


class ZoneContacts:
    """Which sidecar of each other zone is asked for that zone's sum.

    One that gathers is best; one that doesn't tells who does. Whoever doesn't answer
    for some rounds gives way to the next by address, so that a zone stays in view while
    any of its hosts can be reached.
    """

    def __init__(self):
        self._asked: dict[str, str] = {}
        self._answered_ms: dict[str, float] = {}

    def choose(
        self, zones: Mapping[str, list[str]], now_ms: float, round_ms: float
    ) -> list[str]:
        """Return one address for each zone.

        Args:
            zones: addresses of the hosts of the other zones, in order.
            now_ms: monotonic time.
            round_ms: pause between two rounds.
        """
        for zone, ips in zones.items():
            asked = self._asked.get(zone)
            answered_ms = self._answered_ms.setdefault(zone, now_ms)
            if asked not in ips:
                self._ask(zone, ips[0], now_ms)
            elif now_ms - answered_ms > life_ms(round_ms):
                self._ask(zone, ips[(ips.index(asked) + 1) % len(ips)], now_ms)
        return [self._asked[zone] for zone in zones]

    def answered(
        self, zone: str, ip: str, gatherers: Iterable[str], now_ms: float
    ) -> None:
        """Note an answer, and who gathers there."""
        gatherers = sorted(gatherers)
        if not gatherers or self._asked.get(zone) != ip:
            return
        self._answered_ms[zone] = now_ms
        if ip not in gatherers:
            self._ask(zone, gatherers[0], now_ms)

    def zone_of(self, ip: str) -> str | None:
        """Return the zone that a sidecar is asked for."""
        return next((zone for zone, asked in self._asked.items() if asked == ip), None)

    def _ask(self, zone: str, ip: str, now_ms: float) -> None:
        self._asked[zone] = ip
        self._answered_ms[zone] = now_ms


def _young(
    told: Mapping[Key, _Told[Content]], now_ms: float, longest_ms: float
) -> dict[Key, _Told[Content]]:
    return {key: each for key, each in told.items() if each.age_ms(now_ms) < longest_ms}


def _host_loads(reports: Mapping[str, HostReport]) -> HostLoads:
    loads = [report.load for report in reports.values()]
    return HostLoads(
        ips=list(reports),
        in_flight=[load.in_flight for load in loads],
        queued=[load.queued for load in loads],
        limits=[load.limit for load in loads],
        flags=[_flags(report) for report in reports.values()],
    )


def _flags(report: HostReport) -> int:
    return (
        LEAVING * report.leaving
        | FOLLOWING * report.following
        | ISOLATED * report.isolated
    )


def _merged_demand(summaries: Iterable[ZoneSummary]) -> list[Claim]:
    return merge_claims(parse_demand(summary.demand) for summary in summaries)
