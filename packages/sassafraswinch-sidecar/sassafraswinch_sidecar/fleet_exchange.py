"""Gathers for the zone when on duty, and takes part in the rounds of those that do."""

import asyncio
import itertools
from collections.abc import Callable, Iterable

from sassafraswinch.organisation_rates import Usage
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.host_reports import HostReports
from sassafraswinch_sidecar.message_codec import (
    Message,
    parse_position,
    position_fields,
    serialize_message,
)
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    HostReport,
    SummaryReply,
    SummaryRequest,
    ZoneSummary,
)
from sassafraswinch_sidecar.suspect_exchange import SuspectExchange
from sassafraswinch_sidecar.zone_aggregator import (
    AGGREGATOR_TAKEOVER_STEP_MS,
    AGGREGATORS_PER_ZONE,
    ZoneAggregator,
    ZoneContacts,
    empty_digest,
    pause_ms,
)
from sassafraswinch_sidecar.zone_role import ZoneRole

MIN_ROUND_PAUSE_S = 0.05
"""Shortest pause between two rounds, when there is news: of the platform, which comes
in bursts, or of hosts and zones that weren't heard before.

Failure: all hosts lose power and are back at once, with their callers. A round makes
the hosts of a zone known to the gatherer, a second one makes them known to each other,
and a third one those of the other zones; at the usual pause callers of a zone wait for
most of a second for servers that are up."""

ExchangeMessage = FleetDigest | HostReport | SummaryReply | SummaryRequest


class FleetExchange:
    """One sidecar's part in what sidecars tell each other.

    A gatherer sends each host of its zone a digest, and gets its report in answer. It
    asks a gatherer of each other zone for that zone's sum. So the messages of a host
    stay the same in a fleet of any size, and those of a gatherer grow with its zone.

    Args:
        own_ip: address of this host.
        availability_zone: where it is.
        fleet: tells the hosts of each zone.
        links: lead to the other sidecars.
        view: takes what is told here.
        reports: tells of this sidecar.
        data: the platform's data, which is handed on by the way.
        suspects: requests that ended servers, which are handed on as well.
        is_near_limit: returns whether hosts must be told of an organisation's use.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        availability_zone: str,
        fleet: Fleet,
        links: PeerLinks,
        view: FleetView,
        reports: HostReports,
        data: PlatformData,
        suspects: SuspectExchange,
        is_near_limit: Callable[[str, Usage], bool],
        now_ms: Callable[[], float],
    ):
        self._own_ip = own_ip
        self._zone = availability_zone
        self._fleet = fleet
        self._links = links
        self._view = view
        self._reports = reports
        self._data = data
        self._suspects = suspects
        self._now_ms = now_ms
        self._duty = ZoneRole(
            own_ip=own_ip,
            active_sidecars=AGGREGATORS_PER_ZONE,
            step_ms=AGGREGATOR_TAKEOVER_STEP_MS,
        )
        self._gatherer = ZoneAggregator(
            availability_zone=availability_zone, is_near_limit=is_near_limit
        )
        self._contacts = ZoneContacts()
        self._summary: ZoneSummary | None = None
        self._gathers = False
        self._news = asyncio.Event()

    @property
    def is_aggregating(self) -> bool:
        """Whether this sidecar gathers for its zone."""
        return self._gathers

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            round_ms = self._step()
            await asyncio.sleep(MIN_ROUND_PAUSE_S)
            try:
                async with asyncio.timeout(round_ms / 1000 - MIN_ROUND_PAUSE_S):
                    await self._news.wait()
            except TimeoutError:
                pass
            self._news.clear()

    def publish_change(self) -> None:
        """Tell of a change of the platform's data, or of this sidecar, at once."""
        if self._gathers:
            self._news.set()
            return
        gatherers = self._view.aggregators(self._now_ms())
        for link in self._links.accepted:
            if link.peer_ip in gatherers:
                self._suspects.send_changes(link)
                link.send(self._report_for(link.peer_ip))

    def forward_suspects(self) -> None:
        """Hand on, when on duty, what a peer told of requests that ended servers."""
        if self._gathers:
            self._news.set()

    def announce_host(self) -> None:
        """Let those that gather, if all is well, hear that this host is up."""
        self._news.set()
        for ip in self._fleet.hosts_of(self._zone)[:AGGREGATORS_PER_ZONE]:
            self._links.dial_once(ip)

    def dialled_message(self, ip: str, message: Message) -> None:
        """Take an answer from a sidecar that this one asked."""
        now_ms = self._now_ms()
        link = self._links.peers[ip].link
        link.record_reply()
        self._data.request_if_behind(parse_position(message), link)
        if isinstance(message, HostReport):
            if self._gatherer.heard(ip, message, now_ms):
                self._news.set()
            return
        zone = self._contacts.zone_of(ip)
        if zone is not None:
            self._contacts.record_reply(zone, ip, message.gatherers, now_ms)
        if message.summary is not None and self._gatherer.record_summary(
            message.summary, now_ms
        ):
            self._news.set()

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """Answer a gatherer of this zone or of another one."""
        self._suspects.send_changes(link)
        if isinstance(message, FleetDigest):
            self._told(link, message)
        else:
            link.send(self._summary_reply())
        self._data.request_if_behind(parse_position(message), link)

    def _told(self, link: PeerLink, digest: FleetDigest) -> None:
        now_ms = self._now_ms()
        self._view.record_aggregator(link.peer_ip, now_ms)
        if digest.whole and self._view.source(now_ms) == link.peer_ip:
            self._view.apply_digest(digest, now_ms)
        link.send(self._report_for(link.peer_ip))

    def _report_for(self, ip: str) -> HostReport:
        return self._reports.report(relies=self._view.source(self._now_ms()) == ip)

    def _summary_reply(self) -> SummaryReply:
        return SummaryReply(
            **position_fields(self._data.position),
            gatherers=self._view.aggregators(self._now_ms()),
            summary=self._summary if self._gathers else None,
        )

    def _step(self) -> float:
        """Do a round if on duty; return the pause until the next one."""
        now_ms = self._now_ms()
        members = self._members()
        round_ms = pause_ms(len(members))
        gatherers = self._view.aggregators(now_ms)
        listed = self._fleet.hosts_of(self._zone)
        peers = {ip: ip in gatherers for ip in {*listed, *gatherers} - {self._own_ip}}
        self._duty.update_role(peers, now_ms)
        self._note_duty(self._duty.is_active and bool(listed))
        if self._gathers:
            self._gather(members, now_ms, round_ms)
        return round_ms

    def _note_duty(self, gathers: bool) -> None:
        if gathers == self._gathers:
            return
        self._gathers = gathers
        log_event("gathering", level="warning", gathers=gathers, zone=self._zone)
        if not gathers:
            self._links.maintain(())
            self._view.remove_aggregator(self._own_ip)

    def _members(self) -> set[str]:
        """Return the other hosts of this zone: listed, or known by their own word."""
        greeted = {
            link.peer_ip
            for link in self._links.accepted
            if link.availability_zone == self._zone
        }
        members = greeted.union(
            self._fleet.hosts_of(self._zone), self._gatherer.answering()
        )
        return members - {self._own_ip}

    def _gather(self, members: set[str], now_ms: float, round_ms: float) -> None:
        zones = self._fleet.zones()
        others = {zone: ips for zone, ips in zones.items() if zone != self._zone}
        contacts = self._contacts.choose_contacts(others, now_ms, round_ms)
        self._links.maintain(itertools.chain(members, contacts))
        self._gatherer.forget(now_ms, round_ms)
        self._gatherer.heard(self._own_ip, self._reports.report(relies=True), now_ms)
        self._summary = self._gatherer.summary()
        position = self._data.position
        digest = self._gatherer.digest(self._summary, position, now_ms)
        self._view.record_aggregator(self._own_ip, now_ms)
        self._view.apply_digest(digest, now_ms)
        self._tell_suspects(itertools.chain(members, contacts))
        whole = serialize_message(digest)
        bare = serialize_message(empty_digest(position))
        for ip in members:
            self._links.poll(ip, whole if self._gatherer.relies(ip) else bare)
        request = serialize_message(SummaryRequest(**position_fields(position)))
        for ip in contacts:
            self._links.poll(ip, request)

    def _tell_suspects(self, ips: Iterable[str]) -> None:
        peers = (self._links.peers.get(ip) for ip in ips)
        for peer in peers:
            if peer is not None and peer.link is not None:
                self._suspects.send_changes(peer.link)
