"""Exchange of host reports, zone summaries and fleet digests between sidecars."""

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
    round_pause_ms,
)
from sassafraswinch_sidecar.zone_role import ZoneRole

MIN_ROUND_PAUSE_S = 0.05
"""Shortest pause between two rounds, used when there are changes: of the platform's
data, which come in bursts, or of hosts and zones that were unknown before.

Failure: all hosts lose power and come back at once, with their callers. One round makes
the hosts of a zone known to the aggregator, a second one makes them known to each
other, and a third one adds those of the other zones. With the usual pause, callers of a
zone wait for most of a second for servers that are up."""

ExchangeMessage = FleetDigest | HostReport | SummaryReply | SummaryRequest


class FleetExchange:
    """One sidecar's part in the exchange of fleet data.

    An aggregator sends a digest to each host of its zone and receives its host report
    in reply. It requests the zone summary of each other zone from an aggregator there.
    So the number of messages of a host doesn't depend on the size of the fleet, and
    that of an aggregator grows with its zone.

    Args:
        own_ip: address of this host.
        availability_zone: availability zone of this host.
        fleet: provides the hosts of each zone.
        links: links to the other sidecars.
        view: updated with the digests.
        reports: builds the report of this host.
        data: the platform's data; the messages carry its position, so that peers can
            request the changes that they lack.
        suspects: suspect requests, which are forwarded to peers as well.
        is_near_limit: returns whether the usage of an organisation must be published
            to the hosts.
        on_view: called after each update of the view.
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
        on_view: Callable[[], None],
        now_ms: Callable[[], float],
    ):
        self._on_view = on_view
        self._own_ip = own_ip
        self._zone = availability_zone
        self._fleet = fleet
        self._links = links
        self._view = view
        self._reports = reports
        self._data = data
        self._suspects = suspects
        self._now_ms = now_ms
        self._role = ZoneRole(
            own_ip=own_ip,
            active_sidecars=AGGREGATORS_PER_ZONE,
            step_ms=AGGREGATOR_TAKEOVER_STEP_MS,
        )
        self._aggregator = ZoneAggregator(
            availability_zone=availability_zone, is_near_limit=is_near_limit
        )
        self._contacts = ZoneContacts()
        self._summary: ZoneSummary | None = None
        self._is_aggregating = False
        self._changed = asyncio.Event()

    @property
    def is_aggregating(self) -> bool:
        """Whether this sidecar is an active aggregator of its zone."""
        return self._is_aggregating

    async def run(self) -> None:
        """Take part in the exchange until cancelled."""
        while True:
            round_ms = self._run_round()
            await asyncio.sleep(MIN_ROUND_PAUSE_S)
            try:
                async with asyncio.timeout(round_ms / 1000 - MIN_ROUND_PAUSE_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()

    def publish_change(self) -> None:
        """Publish a change of the platform's data, or of this sidecar, at once."""
        if self._is_aggregating:
            self._changed.set()
            return
        aggregators = self._view.aggregators(self._now_ms())
        for link in self._links.accepted:
            if link.peer_ip in aggregators:
                self._suspects.send_changes(link)
                link.send(self._report_for(link.peer_ip))

    def forward_change(self) -> None:
        """Forward what a peer has sent, if this sidecar is an aggregator.

        Applies to changes of the platform's data and to suspect requests.
        """
        if self._is_aggregating:
            self._changed.set()

    def announce_host(self) -> None:
        """Announce this host to the sidecars that are aggregators by default."""
        self._changed.set()
        for ip in self._fleet.hosts_of(self._zone)[:AGGREGATORS_PER_ZONE]:
            self._links.dial_once(ip)

    def dialled_message(self, ip: str, message: Message) -> None:
        """Handle a reply of a sidecar that this one polled."""
        now_ms = self._now_ms()
        link = self._links.peers[ip].link
        link.record_reply()
        self._data.request_if_behind(parse_position(message), link)
        if isinstance(message, HostReport):
            if self._aggregator.record_report(ip, message, now_ms):
                self._changed.set()
            return
        if not isinstance(message, SummaryReply):
            return  # A request, which only the side that dialled sends.
        zone = self._contacts.zone_of(ip)
        if zone is not None:
            self._contacts.record_reply(zone, ip, message.gatherers, now_ms)
        if message.summary is not None and self._aggregator.record_summary(
            message.summary, now_ms
        ):
            self._changed.set()

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """Reply to an aggregator of this zone or of another one."""
        self._suspects.send_changes(link)
        if isinstance(message, FleetDigest):
            self._handle_digest(link, message)
        else:
            link.send(self._summary_reply())
        self._data.request_if_behind(parse_position(message), link)

    def _handle_digest(self, link: PeerLink, digest: FleetDigest) -> None:
        now_ms = self._now_ms()
        self._view.record_aggregator(link.peer_ip, now_ms)
        if digest.whole and self._view.source(now_ms) == link.peer_ip:
            self._view.apply_digest(digest, now_ms)
            self._on_view()
        link.send(self._report_for(link.peer_ip))

    def _report_for(self, ip: str) -> HostReport:
        return self._reports.report(relies=self._view.source(self._now_ms()) == ip)

    def _summary_reply(self) -> SummaryReply:
        return SummaryReply(
            **position_fields(self._data.position),
            gatherers=self._view.aggregators(self._now_ms()),
            summary=self._summary if self._is_aggregating else None,
        )

    def _run_round(self) -> float:
        """Run a round if this is an aggregator; return the time until the next one."""
        now_ms = self._now_ms()
        members = self._members()
        round_ms = round_pause_ms(len(members))
        aggregators = self._view.aggregators(now_ms)
        listed = self._fleet.hosts_of(self._zone)
        peers = {
            ip: ip in aggregators for ip in {*listed, *aggregators} - {self._own_ip}
        }
        self._role.update_role(peers, now_ms)
        self._set_aggregating(self._role.is_active and bool(listed))
        if self._is_aggregating:
            self._poll_members(members, now_ms, round_ms)
        return round_ms

    def _set_aggregating(self, is_aggregating: bool) -> None:
        if is_aggregating == self._is_aggregating:
            return
        self._is_aggregating = is_aggregating
        log_event("gathering", level="warning", gathers=is_aggregating, zone=self._zone)
        if not is_aggregating:
            self._links.maintain(())
            self._view.remove_aggregator(self._own_ip)

    def _members(self) -> set[str]:
        """Return the other hosts of this zone: listed, linked here, or reporting."""
        linked = {
            link.peer_ip
            for link in self._links.accepted
            if link.availability_zone == self._zone
        }
        members = linked.union(
            self._fleet.hosts_of(self._zone), self._aggregator.replying_hosts()
        )
        return members - {self._own_ip}

    def _poll_members(self, members: set[str], now_ms: float, round_ms: float) -> None:
        zones = self._fleet.zones()
        others = {zone: ips for zone, ips in zones.items() if zone != self._zone}
        contacts = self._contacts.choose_contacts(others, now_ms, round_ms)
        self._links.maintain(itertools.chain(members, contacts))
        self._aggregator.evict_expired(now_ms, round_ms)
        self._aggregator.record_report(
            self._own_ip, self._reports.report(relies=True), now_ms
        )
        self._summary = self._aggregator.summary()
        position = self._data.position
        digest = self._aggregator.digest(self._summary, position, now_ms)
        self._view.record_aggregator(self._own_ip, now_ms)
        self._view.apply_digest(digest, now_ms)
        self._on_view()
        self._send_suspects(itertools.chain(members, contacts))
        full = serialize_message(digest)
        empty = serialize_message(empty_digest(position))
        for ip in members:
            self._links.poll(
                ip, full if self._aggregator.needs_full_digest(ip) else empty
            )
        request = serialize_message(SummaryRequest(**position_fields(position)))
        for ip in contacts:
            self._links.poll(ip, request)

    def _send_suspects(self, ips: Iterable[str]) -> None:
        peers = (self._links.peers.get(ip) for ip in ips)
        for peer in peers:
            if peer is not None and peer.link is not None:
                self._suspects.send_changes(peer.link)
