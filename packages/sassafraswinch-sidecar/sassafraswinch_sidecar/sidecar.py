"""Sidecar process: wires its listeners, links and policies and runs their life cycle.

A sidecar runs beside each backend server. It admits, places, queues and retries the
requests that callers and that server send into the service call graph.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Collection

from sassafraswinch.crash_suspects import CrashSuspects
from sassafraswinch.organisation_rates import OrganisationRates, RateRule, Usage
from sassafraswinch_node.address_wait import bind_optional, bind_when_available
from sassafraswinch_node.addresses import Address
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.supervision import FailureLog, run_step, start_supervised
from sassafraswinch_sidecar.admission_levels import AdmissionLevels
from sassafraswinch_sidecar.body_intake import BodyIntake
from sassafraswinch_sidecar.caller_responses import CallerResponses
from sassafraswinch_sidecar.configuration_events import (
    log_platform_faults,
    log_settings_changes,
)
from sassafraswinch_sidecar.connection_limit import (
    CALLERS_SHARE,
    PAGE_SHARE,
    limit_connections,
)
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.fleet import Decoder, Fleet
from sassafraswinch_sidecar.fleet_exchange import ExchangeMessage, FleetExchange
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.graceful_shutdown import (
    ShutdownSchedule,
    drain_requests,
    schedule_shutdown,
)
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.held_bytes import HeldBytes, max_held_bytes
from sassafraswinch_sidecar.host_reports import HostReports
from sassafraswinch_sidecar.http_client import HttpClient
from sassafraswinch_sidecar.http_server import HttpListener
from sassafraswinch_sidecar.ingress_admission import NO_CAPACITY, IngressAdmission
from sassafraswinch_sidecar.isolation_detector import IsolationDetector
from sassafraswinch_sidecar.local_notices import LocalNotices, log_rate_limit
from sassafraswinch_sidecar.message_codec import Message, parse_position
from sassafraswinch_sidecar.organisations_page import OrganisationsPage
from sassafraswinch_sidecar.pages import MetricsPage, ReadyPage
from sassafraswinch_sidecar.pause_detector import PauseDetector
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import Placement, capacities_of
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.platform_ports import PlatformStore
from sassafraswinch_sidecar.platform_reader import (
    WATCHER_TAKEOVER_STEP_MS,
    WATCHERS_PER_ZONE,
    PlatformReader,
)
from sassafraswinch_sidecar.process_memory import peak_resident_bytes, resident_bytes
from sassafraswinch_sidecar.reachable_loads import ReachableLoads
from sassafraswinch_sidecar.recent_maximum import RecentMaximum
from sassafraswinch_sidecar.relay import RelayOwner
from sassafraswinch_sidecar.relay_counters import RelayCounters
from sassafraswinch_sidecar.relay_intake import RelayIntake
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    Heartbeat,
    HeartbeatReply,
    RelayCancel,
    RelayRequest,
    RelayResponse,
    RelayWaitLimit,
    SuspectNews,
)
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.response_sender import ResponseSender
from sassafraswinch_sidecar.retry_budget import RetryBudget
from sassafraswinch_sidecar.routes import RequestLimits
from sassafraswinch_sidecar.server_limits_page import ServerLimitsPage
from sassafraswinch_sidecar.server_notices import NoticeDecoder, StampedNotice
from sassafraswinch_sidecar.sidecar_settings import SidecarSettings
from sassafraswinch_sidecar.suspect_exchange import SuspectExchange
from sassafraswinch_sidecar.suspect_requests import SuspectRequests
from sassafraswinch_sidecar.suspects_page import SuspectsPage
from sassafraswinch_sidecar.zone_follower import ZoneFollower
from sassafraswinch_sidecar.zone_peers import ZonePeers
from sassafraswinch_sidecar.zone_role import ZoneRole

PERIODIC_TASK_INTERVAL_S = 0.1
"""Interval of the periodic tasks. They also check the time limits of requests: a timer
for each request would cost a twentieth of its processor time."""

UNKNOWN_VIEW_AGE_MS = 1e9
"""View age in the metrics until the first report of the fleet has arrived."""

DEFAULT_LIMITS = RequestLimits()


class Sidecar:
    """Composes and runs the components of one sidecar process.

    Args:
        settings: the validated settings.
        names: header field names of the deployment.
        store: client of the platform's store.
        decoder: decodes the keys and values of that store.
        notice_decoder: decodes what backend servers state in their responses.
        ready_path: path of the platform's readiness probe.
        load_settings: reads the settings file again, for ``compare_settings``.
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        names: HeaderNames,
        store: PlatformStore,
        decoder: Decoder,
        notice_decoder: NoticeDecoder,
        ready_path: bytes,
        load_settings: Callable[[], SidecarSettings],
    ):
        rng = random.Random(f"{settings.ip}/{time.time_ns()}")
        self._settings = settings
        self._load_settings = load_settings
        self._loop = asyncio.get_running_loop()
        self._fleet = Fleet(
            decoder=decoder,
            report_error=log_platform_faults,
            is_isolated=self._is_isolated,
        )
        self._data = PlatformData(
            fleet=self._fleet,
            on_change=self._apply_fleet_change,
            announce=self._announce_platform_data,
            forward=lambda: self._exchange.forward_change(),
        )
        self._view = FleetView(own_ip=settings.ip, on_notice=self._apply_peer_notice)
        self._log = RequestLog(now_ms=self._now_ms)
        self._held = HeldBytes(max_bytes=max_held_bytes(settings.memory_mb))
        self._crash_suspects = CrashSuspects()
        self._suspect_exchange = SuspectExchange(
            suspects=self._crash_suspects,
            now_ms=self._now_ms,
            on_local_change=lambda: self._exchange.publish_change(),
            on_received_change=lambda: self._exchange.forward_change(),
        )
        self._suspects = SuspectRequests(
            suspects=self._crash_suspects,
            now_ms=self._now_ms,
            on_change=self._suspect_exchange.schedule_announcement,
        )
        self._notices = LocalNotices(now_ms=self._now_ms)
        backend = settings.address("backend")
        self._executor = Executor(
            service=settings.service,
            client=HttpClient(ip=backend.ip, port=backend.port, held=self._held),
            names=names,
            notice_decoder=notice_decoder,
            notices=self._notices,
            on_notice=self._apply_own_notice,
            is_leaving=self._fleet.is_leaving,
            incarnation_of=self._fleet.incarnation_of,
            held=self._held,
            suspects=self._suspects,
            log=self._log,
        )
        self._own_entry = IsolationDetector(
            find_missing=lambda: self._fleet.expired_instance_at(settings.ip),
            store=store,
            on_change=self._report_own_state,
        )
        self._links = PeerLinks(
            own_ip=settings.ip,
            availability_zone=settings.availability_zone,
            port=settings.link_port,
            dial_port=settings.dial_port or settings.link_port,
            incarnation=time.time_ns(),
            listener=self,
            held=self._held,
        )
        self._loads = ReachableLoads(
            own_ip=settings.ip,
            executor=self._executor,
            links=self._links,
            view=self._view,
            now_ms=self._now_ms,
        )
        self._admission = IngressAdmission(rng=rng, worths=settings.worth_by_priority)
        self._counts = RelayCounters()
        window_ms = settings.repeat_window_s * 1000
        self._known_hosts: set[str] = set()
        self._max_sidecars = RecentMaximum(window_ms=2 * window_ms)
        self._budget = RetryBudget(
            ratio=settings.repeat_ratio,
            slack=settings.repeat_slack,
            window_ms=window_ms,
            max_sidecars=lambda: self._max_sidecars.value(self._now_ms()),
            sidecars=lambda: len(self._known_hosts),
            totals=self._view.totals,
        )
        self._rate_rule = RateRule(
            window_ms=settings.rate_window_s * 1000, slack=settings.rate_slack
        )
        self._rates = OrganisationRates(
            rule=self._rate_rule,
            now_ms=self._now_ms(),
            max_hosts=lambda: self._max_sidecars.value(self._now_ms()),
            fleet_usage=self._view.usage,
            random=rng.random,
        )
        self._reports = HostReports(
            data=self._data,
            executor=self._executor,
            admission=self._admission,
            budget=self._budget,
            rates=self._rates,
            is_stopping=lambda: self._stopping.is_set(),
            is_isolated=lambda: self._own_entry.is_isolated,
            now_ms=self._now_ms,
        )
        self._exchange = FleetExchange(
            own_ip=settings.ip,
            availability_zone=settings.availability_zone,
            fleet=self._fleet,
            links=self._links,
            view=self._view,
            reports=self._reports,
            data=self._data,
            suspects=self._suspect_exchange,
            is_near_limit=self._is_near_limit,
            on_view=lambda: self._zone_follower.update(),
            now_ms=self._now_ms,
        )
        self._zone_role = ZoneRole(
            own_ip=settings.ip,
            active_sidecars=WATCHERS_PER_ZONE,
            step_ms=WATCHER_TAKEOVER_STEP_MS,
        )
        self._zone_peers = ZonePeers(
            own_ip=settings.ip,
            availability_zone=settings.availability_zone,
            fleet=self._fleet,
            view=self._view,
            load_of=self._loads.load_of,
        )
        self._owner = RelayOwner(
            own_ip=settings.ip,
            own_load=self._loads.own,
            intake=RelayIntake(
                service=settings.service,
                names=names,
                fleet=self._fleet,
                executor=self._executor,
            ),
            responses=CallerResponses(
                names=names, counters=self._counts, log=self._log, rng=rng
            ),
            fleet=self._fleet,
            links=self._links,
            view=self._view,
            executor=self._executor,
            placement=Placement(
                own_ip=settings.ip,
                availability_zone=settings.availability_zone,
                load_of=self._loads.load_of,
                cold_left_ms=self._fleet.cold_left_ms,
                rng=rng,
            ),
            rates=self._rates,
            admission=self._admission,
            levels=AdmissionLevels(rng=rng),
            budget=self._budget,
            suspects=self._suspects,
            held=self._held,
            counters=self._counts,
            log=self._log,
        )
        self._responses = ResponseSender()
        self._body_intake = BodyIntake(
            held=self._held,
            executor=self._executor,
            responses=self._responses,
            is_pending=self.is_pending,
            on_response=self._handle_response,
        )
        self._outbound = HttpListener(
            handler=self._owner,
            limits=self._limits,
            held=self._held,
            connection_limit=limit_connections(CALLERS_SHARE),
        )
        self._ready = HttpListener(
            handler=ReadyPage(path=ready_path, is_ready=lambda: self.is_ready),
            limits=lambda: DEFAULT_LIMITS,
            held=self._held,
            connection_limit=limit_connections(PAGE_SHARE),
        )
        self._metrics = HttpListener(
            handler=SuspectsPage(
                suspects=self._crash_suspects,
                others=OrganisationsPage(
                    table=lambda: self._fleet.table,
                    rates=self._rates,
                    others=ServerLimitsPage(
                        own_ip=settings.ip,
                        loads=self._loads.known_loads,
                        others=MetricsPage(counts=self._counts, gauges=self._gauges),
                        now_ms=self._now_ms,
                    ),
                    now_ms=self._now_ms,
                ),
                now_ms=self._now_ms,
                on_cleared=self._suspect_exchange.schedule_announcement,
            ),
            limits=lambda: DEFAULT_LIMITS,
            held=self._held,
            connection_limit=limit_connections(PAGE_SHARE),
        )
        self._reader = PlatformReader(
            store=store, listener=self._data, role=self._zone_role, rng=rng
        )
        self._zone_follower = ZoneFollower(
            role=self._zone_role,
            following_by_peer=self._zone_peers.following_by_peer,
            on_active=self._reader.wake,
        )
        self._pause_detector = PauseDetector()
        self._stopping = asyncio.Event()
        self._stop_reason = ""
        self._failures = FailureLog()
        self._tasks: list[asyncio.Task] = []

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send callers to this sidecar."""
        return self._fleet.table is not None and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until ``stop`` is called, then drain what is in flight and close.

        Raises:
            UnusableAddressError: an address can't be bound, for a reason that doesn't
                pass.
        """
        self._failures.install(self._loop)
        settings = self._settings
        log_event("starting", level="warning", host=settings.host, ip=settings.ip)
        if not await self._open_listeners():
            await self._close()
            return
        self._tasks = [
            start_supervised("open_metrics", self._open_metrics),
            start_supervised("platform_reader", self._reader.run),
            start_supervised("own_entry", self._own_entry.run),
            start_supervised("exchange", self._exchange.run),
            start_supervised("periodic_tasks", self._run_periodic_tasks),
        ]
        await self._stopping.wait()
        schedule = schedule_shutdown(self._now_ms(), settings.drain_s * 1000)
        await self._drain(schedule)
        await self._close(schedule.write_until_ms)

    def stop(self, reason: str) -> None:
        """Begin a planned stop; further calls change nothing.

        Args:
            reason: name of the signal that stops this sidecar, for the log.
        """
        self._stop_reason = self._stop_reason or reason
        self._stopping.set()

    async def _open_listeners(self) -> bool:
        """Open the listeners that serve; False if the sidecar is stopped before."""
        settings = self._settings
        sockets = await bind_when_available(
            [
                self._links.address,
                settings.address("outbound"),
                settings.address("ready"),
            ],
            stopping=self._stopping,
        )
        if not sockets:
            return False
        listeners = (self._links, self._outbound, self._ready)
        for listener, listening in zip(listeners, sockets, strict=True):
            await listener.serve(listening)
        return True

    async def _open_metrics(self) -> None:
        """Open the metrics listener, without which the sidecar serves as well."""
        settings = self._settings
        address = Address(ip=settings.ip, port=settings.metrics_port)
        listening = await bind_optional(address, stopping=self._stopping)
        if listening is not None:
            await self._metrics.serve(listening)

    def link_opened(self, link: PeerLink) -> None:
        """Send the crash suspects to a newly linked peer (LinkListener)."""
        self._suspect_exchange.send_restricted(link)

    def link_lost(self, ip: str, unsent: Collection[int]) -> None:
        """Retry or end the calls that were sent on a lost link (LinkListener)."""
        self._owner.handle_link_lost(ip, unsent)

    def requests_unsent(self, call_ids: Collection[int]) -> None:
        """Place requests again that were never written (LinkListener)."""
        self._owner.place_unsent(call_ids)

    def is_pending(self, call_id: int) -> bool:
        """Return whether a waiting request is still to be sent (LinkListener)."""
        return call_id in self._owner.relays

    def dialled_message(self, ip: str, message: Message) -> None:
        """Dispatch a message from a peer that this sidecar dialled (LinkListener)."""
        if isinstance(message, RelayResponse) and message.body_bytes:
            self._body_intake.receive_response(self._links.peers[ip].link, message)
        elif isinstance(message, RelayResponse):
            self._handle_response(ip, message)
        elif isinstance(message, ExchangeMessage):
            self._exchange.dialled_message(ip, message)
        elif isinstance(message, SuspectNews):
            self._suspect_exchange.merge_message(message)
        elif isinstance(message, HeartbeatReply):
            load = self._view.record_load(ip, message.load, self._now_ms())
            load.leaving = message.leaving
            load.isolated = message.isolated
            link = self._links.peers[ip].link
            self._data.request_if_behind(parse_position(message), link)
        else:
            self._data.handle_message(self._links.peers[ip].link, message)

    def _handle_response(self, ip: str, response: RelayResponse) -> None:
        self._owner.handle_response(response, self._view.load(ip))

    def accepted_message(self, link: PeerLink, message: Message) -> None:
        """Dispatch a message from a peer that dialled this sidecar (LinkListener)."""
        if isinstance(message, RelayRequest):
            self._body_intake.receive_request(link, message)
        elif isinstance(message, RelayCancel):
            link.cancel_bodies(message.call_id)
            self._executor.cancel(link, message.call_id)
        elif isinstance(message, RelayWaitLimit):
            self._executor.limit_wait(link, message.call_id, message.max_wait_ms)
        elif isinstance(message, ExchangeMessage):
            self._exchange.accepted_message(link, message)
        elif isinstance(message, SuspectNews):
            self._suspect_exchange.merge_message(message)
        elif isinstance(message, Heartbeat):
            link.send(self._reports.heartbeat_reply(message.sequence))
        else:
            self._data.handle_message(link, message)

    def accepted_link_lost(self, link: PeerLink) -> None:
        """Cancel the calls whose outcome can't reach their owner (LinkListener)."""
        self._executor.cancel_owner(link)

    def _announce_platform_data(self) -> None:
        """Announce newly received platform data to the zone."""
        self._exchange.publish_change()

    def _report_own_state(self) -> None:
        """Report this sidecar's state at once to all request senders and the zone."""
        reply = self._reports.heartbeat_reply(0)
        for link in self._links.accepted:
            link.send(reply)
        self._exchange.publish_change()

    def _apply_own_notice(self) -> None:
        """Apply and announce a new limit, or the leaving, of the local server."""
        notices = self._notices
        if notices.leaving:
            self._record_leave_notice(notices.instance_id, notices.incarnation)
        self._report_own_state()

    def _apply_peer_notice(
        self, ip: str, notice: StampedNotice, former: StampedNotice | None
    ) -> None:
        """Apply a notice of another host's server."""
        former_per_s = former.rate_limit_per_s if former else None
        if notice.rate_limit_per_s != former_per_s:
            log_rate_limit(
                instance_id=notice.instance_id,
                limit_per_s=notice.rate_limit_per_s,
                former_per_s=former_per_s,
                source=ip,
                age_ms=(notice.stamp - former.stamp) / 1000 if former else 0.0,
            )
        if notice.leaving:
            self._record_leave_notice(notice.instance_id, notice.incarnation)

    def _record_leave_notice(self, instance_id: str, incarnation: int) -> None:
        """Send no more requests to a lifetime, nor start those that wait for it."""
        self._fleet.record_leave_notice(instance_id, incarnation)
        self._executor.refuse_leaving()

    def _is_isolated(self, ip: str) -> bool:
        """Return whether a host reports that it can't reach the platform."""
        if ip == self._settings.ip:
            return self._own_entry.is_isolated
        load = self._view.recent_load(ip, self._now_ms())
        return load is not None and load.isolated

    def _is_near_limit(self, name: str, usage: Usage) -> bool:
        """Return whether an organisation's usage is near enough its limit to report."""
        table = self._fleet.table
        if table is None or table.organisations is None:
            return False
        organisation = table.organisations.by_name.get(name)
        if organisation is None or organisation.limit is None:
            return False
        return self._rate_rule.is_near(organisation.limit, usage)

    def _apply_fleet_change(self) -> None:
        """Apply changed platform data: known hosts, slots and the zone role."""
        now_ms = self._now_ms()
        listed = itertools.chain.from_iterable(self._fleet.zones().values())
        is_first_update = not self._known_hosts
        self._known_hosts = {*listed, self._settings.ip}
        self._max_sidecars.record_value(len(self._known_hosts), now_ms)
        health_path = self._own_health_path()
        if health_path is not None:
            self._executor.request_notice(health_path)
        for instance in self._fleet.instances_at(self._settings.ip):
            self._executor.record_registration(*instance.identity)
            if not instance.leaving:
                self._executor.set_slots(instance.slots)
        self._executor.refuse_leaving()
        self._zone_follower.update()
        if is_first_update:
            self._exchange.announce_host()

    def _own_health_path(self) -> str | None:
        """Return the health check of the local server, once routes are known."""
        table = self._fleet.table
        return table.health_paths.get(self._settings.service) if table else None

    async def _run_periodic_tasks(self) -> None:
        while True:
            await asyncio.sleep(PERIODIC_TASK_INTERVAL_S)
            run_step("process_pause", self._check_process_pause)
            now_ms = self._now_ms()
            run_step("expire_requests", self._owner.expire, now_ms)
            run_step("expire_executions", self._executor.expire, now_ms)
            run_step("platform_data", self._data.tick, now_ms)
            run_step("unsent_bytes", self._count_unsent_bytes)
            run_step("omitted_lines", self._log.report_omitted)
            if self._admission.is_due(now_ms):
                run_step("zone_role", self._zone_follower.update)
                run_step("admission", self._update_admission, now_ms)
            run_step("expire_suspects", self._suspect_exchange.discard_expired)

    def _count_unsent_bytes(self) -> None:
        self._held.set_unsent(self._links.unsent_bytes())

    def _check_process_pause(self) -> None:
        paused_ms = self._pause_detector.check_pause()
        if not paused_ms:
            return
        log_event("stood_still", level="warning", stood_ms=paused_ms)
        self._owner.apply_pause(paused_ms)
        self._executor.apply_pause(paused_ms)
        self._view.add_paused_time(paused_ms)
        self._crash_suspects.add_paused_time(paused_ms)

    def _update_admission(self, now_ms: float) -> None:
        capacities = capacities_of(self._fleet.serving(), self._loads.load_of)
        self._admission.decide_shares(capacities, now_ms, self._view.demand(now_ms))
        for admission_class, fit in self._admission.limited_classes.items():
            service = fit.limiting_resource
            capacity = capacities.get(service, NO_CAPACITY)
            log_event(
                "admission",
                admission_class=admission_class,
                share=fit.share,
                service=service,
                slots=capacity.slots,
                used=capacity.used,
                trim=self._admission.correction_of(service),
                wanted=self._admission.required_slots[service],
            )

    async def _drain(self, schedule: ShutdownSchedule) -> None:
        """Finish the requests in flight while callers and peers move elsewhere."""
        log_event(
            "stopping",
            level="warning",
            reason=self._stop_reason,
            in_flight=self._in_flight(),
        )
        run_step("leave", self._executor.leave)
        run_step("report_own_state", self._report_own_state)
        run_step("drain_callers", self._outbound.drain)
        run_step("shut_down_owner", self._owner.shut_down, schedule)
        await drain_requests(schedule=schedule, in_flight=self._in_flight)
        run_step("end_requests", self._owner.end_open_requests)

    async def _close(self, write_until_ms: float = 0.0) -> None:
        # Callers still get their responses and refusals while the listeners close.
        listeners = (self._outbound, self._ready, self._metrics)
        closing = (listener.close(write_until_ms) for listener in listeners)
        aborted = await asyncio.gather(*closing)
        log_event(
            "stopped",
            level="warning",
            in_flight=self._in_flight(),
            aborted_connections=sum(aborted),
            peak_resident_bytes=peak_resident_bytes(),
        )
        for task in self._tasks:
            task.cancel()
        self._zone_follower.close()
        await self._links.close()
        self._held.set_unsent(0)
        self._executor.close()

    def _in_flight(self) -> int:
        return self._owner.in_flight + self._executor.in_flight

    def compare_settings(self) -> None:
        """Log which settings have changed in their file since the start."""
        log_settings_changes(self._settings, self._load_settings)

    def _limits(self) -> RequestLimits:
        table = self._fleet.table
        return DEFAULT_LIMITS if table is None else table.limits

    def _gauges(self) -> dict[str, float]:
        load = self._executor.load()
        table = self._fleet.table
        return {
            "backend_in_flight": load.in_flight,
            "backend_queued": load.queued,
            "backend_limit": load.limit,
            "backend_requests": self._executor.sent_requests,
            "backend_rate_refusals": self._executor.rate_refusals,
            **self._notices.gauges(),
            "held_bytes": self._held.total_bytes,
            "held_limit_bytes": self._held.max_bytes,
            "responses_awaiting_memory": self._held.waiting,
            "responses_dropped": self._responses.dropped_responses,
            "resident_bytes": resident_bytes(),
            "task_failures": self._failures.failures,
            "owned_requests": self._owner.in_flight,
            "gathers": self._exchange.is_aggregating,
            "view_age_ms": min(self._view.age_ms(self._now_ms()), UNKNOWN_VIEW_AGE_MS),
            **self._suspect_exchange.gauges(),
            "linked_peers": sum(1 for _ in self._links.linked()),
            "route_table_version": table.version if table else 0,
            "platform_era": self._data.revision.era,
            "platform_revision": self._data.revision.number,
            "platform_restores": self._data.restores,
            **self._reader.gauges(),
        }

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
