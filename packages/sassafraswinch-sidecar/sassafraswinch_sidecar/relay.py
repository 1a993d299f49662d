"""Owns the requests that arrive at this host, from their arrival to their answer."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from sassafraswinch_sidecar.dialect import HeaderNames
from sassafraswinch_sidecar.entry_admission import LEVELS, EntryAdmission
from sassafraswinch_sidecar.executor import Execution, Executor
from sassafraswinch_sidecar.fleet import Fleet, Instance
from sassafraswinch_sidecar.http_fields import (
    HOP_BY_HOP,
    serialize_end_to_end,
)
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import PaceMeter, PeerLoad, Placement
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayCancel,
    RelayRequest,
    RelayResponse,
    Verdict,
)
from sassafraswinch_sidecar.repeat_budget import RepeatBudget
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.routes import Route, ShareChooser
from sassafraswinch_sidecar.sidecar_metrics import RelayCounts

ROOT_WAIT_SHARE = 0.12
"""Part of the target latency that a root request waits for a slot: after that it is
better off elsewhere, or told to come back while there is time."""

INNER_WAIT_SHARE = 0.4
"""Part of its time that a call of a running request waits for a slot. Refusing it
would waste what its root request has taken so far."""

MAX_PLACES = 4
"""Instances that are asked for one request; refusals by their sidecars before the
backend server are free, but each takes a way there and back."""

MIN_RETRY_LEFT_MS = 40.0
"""Time that must be left for one more try: a way across and a short run."""

FINAL_MARGIN_MS = 130.0
"""Time past its limit until which the answer of the executing sidecar is awaited: it
tells whether the request has run."""

RETRY_AFTER_SHARES = (0.15, 0.5)
"""Parts of the target latency between which refused callers are told to come back:
soon enough for an answer of full worth, and spread so that they don't come at once."""

MIN_RETRY_AFTER_MS = 50.0

SUBSTITUTE_MS = 6_000.0
"""Time in which an instance id that a server told stands in for the one that the
platform names at its address: entries of ended servers expire within it."""

SETTLE_MS = 2_000.0
"""Time after its start in which a sidecar waits for its first links rather than refuse
for want of them: a killed process is back at once, and its callers come at once."""

SETTLE_PAUSE_S = 0.03
"""Pause between looks for a link in that time: dialling takes milliseconds."""

UNREADY_RETRY_MS = 500.0
"""Wait told while no routes are known: reading them takes less than a second."""

NOT_OFFERED_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504


@dataclass(slots=True, eq=False)
class Relay:
    """A request that this sidecar owns."""

    http: HttpRequest
    connection: CallerConnection
    route: Route
    service: str
    request_id: str
    header_lines: bytes
    deadline_ms: float
    priority: int
    level: int
    parent: Execution | None
    repeated: bool
    call_id: int = 0
    ip: str = ""
    instance_id: str = ""
    tried: set[str] = field(default_factory=set)
    offers: int = 0
    places: int = 0
    may_have_run: bool = False
    last_answer: RelayResponse | None = None
    ended: bool = False
    slot_ms: dict[str, float] = field(default_factory=dict)


class RelayOwner:
    """Takes callers' requests, places them, and gives each its one answer.

    A request that must not run twice is sent again only after a proof that it hasn't
    run; others within the repeat budget.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        service: str,
        names: HeaderNames,
        fleet: Fleet,
        links: PeerLinks,
        executor: Executor,
        placement: Placement,
        admission: EntryAdmission,
        budget: RepeatBudget,
        counts: RelayCounts,
        log: RequestLog,
        rng: random.Random,
    ):
        self.relays: dict[int, Relay] = {}
        self.own_load = PeerLoad()
        self.refuse_new = False
        self._own_ip = own_ip
        self._caller_line = b"%b: %b\r\n" % (names.caller_service, service.encode())
        self._id_name = names.request_id.lower()
        self._time_left_name = names.time_left_ms.lower()
        self._names = names
        self._own_names = HOP_BY_HOP | {
            names.time_left_ms.lower(),
            names.expected_instance.lower(),
            names.caller_service.lower(),
        }
        self._fleet = fleet
        self._links = links
        self._executor = executor
        self._placement = placement
        self._admission = admission
        self._budget = budget
        self._counts = counts
        self._log = log
        self._rng = rng
        self._shares = ShareChooser()
        self._paces = PaceMeter()
        self._call_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._substitutes: dict[str, tuple[str, float]] = {}
        self._by_http: dict[HttpRequest, Relay] = {}

    @property
    def in_flight(self) -> int:
        """Requests that have no answer yet."""
        return len(self._by_http)

    def handle(self, http: HttpRequest, connection: CallerConnection) -> None:
        """Take a request (RequestHandler)."""
        relay = self._accept(http, connection)
        if relay is None:
            return
        self._by_http[http] = relay
        if relay.parent is None and not self._admit(relay):
            return
        self._place(relay)

    def gone(self, http: HttpRequest) -> None:
        """The caller has left: stop what is idempotent (RequestHandler)."""
        relay = self._by_http.get(http)
        if relay is None:
            return
        self._counts.ended("caller-left")
        self._log.failed(
            "caller_left",
            relay.request_id,
            instance=relay.instance_id,
            held_ms=self._now_ms() - http.arrived_ms,
        )
        self._cancel(relay)
        self._finish(relay)

    def expire(self, now_ms: float) -> None:
        """End the requests whose time has passed without an answer."""
        overdue_ms = now_ms - FINAL_MARGIN_MS
        late = [
            relay for relay in self._by_http.values() if relay.deadline_ms < overdue_ms
        ]
        for relay in late:
            self._timed_out(relay)

    def response(self, response: RelayResponse, load: PeerLoad | None) -> None:
        """Take the end of a call from the executing sidecar."""
        if load is not None:
            load.outstanding = max(0, load.outstanding - 1)
            told = response.load
            load.report(
                in_flight=told.in_flight,
                queued=told.queued,
                limit=told.limit,
                queue_delay_ms=told.queue_delay_ms,
            )
        relay = self.relays.pop(response.call_id, None)
        if relay is None or relay.ended:
            return
        for taken in response.slot_times:
            known_ms = relay.slot_ms.get(taken.service_name, 0.0)
            relay.slot_ms[taken.service_name] = known_ms + taken.slot_ms
        if response.offered:
            relay.offers += 1
        self._learn(relay, response, load)
        if response.verdict == Verdict.ANSWERED:
            self._answered(relay, response)
        elif response.verdict == Verdict.NOT_RUN:
            self._not_run(relay, response)
        else:
            relay.may_have_run = True
            self._may_have_run(relay, response.reason)

    def link_lost(self, ip: str) -> None:
        """Decide anew on all calls that a lost link carried."""
        for relay in [found for found in self.relays.values() if found.ip == ip]:
            self.relays.pop(relay.call_id, None)
            relay.may_have_run = True
            relay.offers += 1
            self._may_have_run(relay, "link-lost")

    def _accept(self, http: HttpRequest, connection: CallerConnection) -> Relay | None:
        host = request_id = ""
        left_ms: float | None = None
        for lowered, _, value in http.fields:
            if lowered == b"host":
                host = value.decode("latin-1")
            elif lowered == self._id_name:
                request_id = value.decode("latin-1")
            elif lowered == self._time_left_name:
                left_ms = float(value) if value.isdigit() else None
        table = self._fleet.table
        if table is None or self.refuse_new:
            reason = "no-routes" if table is None else "leaving"
            self._refuse(http, connection, request_id, reason, UNREADY_RETRY_MS)
            return None
        route = table.find(host, http.target.decode("latin-1"))
        if route is None:
            self._counts.ended("no-route")
            self._log.failed("no_route", request_id, host=host, version=table.version)
            connection.respond(http, status=404, header_lines=b"")
            return None
        deadline_ms = http.arrived_ms + min(left_ms or 1e9, route.timeout_ms)
        parent = self._executor.running.get(request_id.rpartition(".")[0])
        level = self._rng.randrange(LEVELS)
        if parent is not None:
            deadline_ms = min(deadline_ms, parent.deadline_ms)
            level = parent.request.level
        return Relay(
            http=http,
            connection=connection,
            route=route,
            service=self._shares.choose(route),
            request_id=request_id,
            header_lines=self._header_lines(http),
            deadline_ms=deadline_ms,
            priority=parent.request.priority if parent else route.priority,
            level=level,
            parent=parent,
            repeated=parent is not None and parent.request.repeated,
        )

    def _header_lines(self, http: HttpRequest) -> bytes:
        return serialize_end_to_end(http.fields, self._own_names) + self._caller_line

    def _admit(self, relay: Relay) -> bool:
        route = relay.route
        self._admission.offered(route.name, route.priority)
        blocking = self._admission.blocking(route.name, route.priority, relay.level)
        if blocking is None:
            return True
        self._log.failed(
            "refused_at_entry",
            relay.request_id,
            route=route.name,
            blocked_by=blocking,
            place=self._admission.places[blocking],
            level_of_request=relay.level,
        )
        self._end_not_run(relay, "overloaded")
        return False

    def _place(self, relay: Relay) -> None:
        now_ms = self._now_ms()
        left_ms = relay.deadline_ms - now_ms
        instances = self._fleet.of_service(relay.service)
        instance = None
        if left_ms >= MIN_RETRY_LEFT_MS and relay.places < MAX_PLACES:
            instance = self._placement.choose(instances, relay.tried, now_ms)
        if instance is None and not relay.tried and self._settling(left_ms):
            self._loop.call_later(SETTLE_PAUSE_S, self._place_again, relay)
            return
        if instance is None:
            self._no_place(relay, len(instances))
            return
        relay.places += 1
        relay.tried.add(instance.id)
        self._send(relay, instance, left_ms)

    def _place_again(self, relay: Relay) -> None:
        if not relay.ended:
            self._place(relay)

    def _settling(self, left_ms: float) -> bool:
        young = self._now_ms() - self._started_ms < SETTLE_MS
        return young and left_ms >= MIN_RETRY_LEFT_MS

    def _send(self, relay: Relay, instance: Instance, left_ms: float) -> None:
        inner = relay.parent is not None
        call_id = relay.call_id = next(self._call_ids)
        relay.ip = instance.ip
        relay.instance_id = self._actual_id(instance.id)
        share = INNER_WAIT_SHARE if inner else ROOT_WAIT_SHARE
        span_ms = left_ms if inner else relay.route.target_latency_ms
        request = RelayRequest(
            call_id=call_id,
            instance_id=relay.instance_id,
            service_name=relay.service,
            request_id=relay.request_id,
            method=relay.http.method.decode("latin-1"),
            target=relay.http.target,
            headers=relay.header_lines,
            body=relay.http.body,
            remaining_ms=int(left_ms),
            max_wait_ms=int(span_ms * share),
            priority=relay.priority,
            level=relay.level,
            inner=inner,
            idempotent=relay.route.idempotent,
            repeated=relay.repeated,
        )
        self.relays[call_id] = relay
        if relay.repeated or relay.places == 1:
            self._budget.sent(
                relay.service, repeated=relay.repeated, now_ms=self._now_ms()
            )
        if instance.ip == self._own_ip:
            self.own_load.sent_since += 1
            self._executor.submit(request, self._own_response, self)
            return
        load = self._links.load_of(instance.ip)
        if not self._links.send(instance.ip, request):
            del self.relays[call_id]
            self._place(relay)
        elif load is not None:
            load.sent_since += 1
            load.outstanding += 1

    def _actual_id(self, instance_id: str) -> str:
        """Return the id by which the server at an instance's address answers."""
        actual_id, told_ms = self._substitutes.get(instance_id, (instance_id, 0.0))
        if told_ms and self._now_ms() - told_ms > SUBSTITUTE_MS:
            del self._substitutes[instance_id]
            return instance_id
        return actual_id

    def _note_instance(self, relay: Relay, actual_id: str) -> None:
        """Ask a restarted server by its new id, before the platform knows it.

        Failure: after a loss of power all servers have new ids, and the platform tells
        the old ones for seconds, in which every request is refused.
        """
        for instance in self._fleet.of_service(relay.service):
            if instance.ip == relay.ip and instance.id != actual_id:
                self._substitutes[instance.id] = (actual_id, self._now_ms())
                relay.tried.discard(instance.id)

    def _own_response(self, response: RelayResponse) -> None:
        self._loop.call_soon(self.response, response, self.own_load)

    def _learn(
        self, relay: Relay, response: RelayResponse, load: PeerLoad | None
    ) -> None:
        """Learn from the end of a request how fast and sound its instance is."""
        if load is None or not response.offered:
            return
        now_ms = self._now_ms()
        failed = response.verdict != Verdict.ANSWERED or response.status >= 500
        if response.reason != "deadline":
            load.ended(failed=failed, now_ms=now_ms)
        for taken in response.slot_times:
            if not failed and taken.service_name == relay.service:
                pace = self._paces.measure(
                    (relay.route.name, relay.service), taken.slot_ms
                )
                load.took(pace, now_ms)

    def _answered(self, relay: Relay, response: RelayResponse) -> None:
        server_failed = response.status >= 500
        if server_failed and self._may_repeat(relay):
            relay.last_answer = response
            self._repeat(relay, f"status-{response.status}")
            return
        self._deliver(relay, response)

    def _deliver(self, relay: Relay, response: RelayResponse) -> None:
        if relay.parent is None and response.status < 300:
            self._admission.learn(relay.route.name, relay.slot_ms)
        self._counts.answered(
            relay.route.name, self._now_ms() - relay.http.arrived_ms, response.status
        )
        told = self._log.served if response.status < 400 else self._log.failed
        told(
            "answered",
            relay.request_id,
            status=response.status,
            route=relay.route.name,
            instance=relay.instance_id,
            offers=relay.offers,
            held_ms=self._now_ms() - relay.http.arrived_ms,
            version=self._fleet.table.version,
        )
        relay.connection.respond(
            relay.http,
            status=response.status,
            header_lines=response.headers,
            body=response.body,
        )
        self._finish(relay)

    def _not_run(self, relay: Relay, response: RelayResponse) -> None:
        if response.actual_instance_id:
            self._note_instance(relay, response.actual_instance_id)
        if not response.offered:
            self._place(relay)
        elif relay.offers < relay.route.max_attempts and self._budget.allows(
            relay.service, self._now_ms()
        ):
            self._repeat(relay, response.reason)
        else:
            self._end(relay, response.reason)

    def _may_have_run(self, relay: Relay, reason: str) -> None:
        if self._may_repeat(relay):
            self._repeat(relay, reason)
        else:
            self._end(relay, reason)

    def _may_repeat(self, relay: Relay) -> bool:
        now_ms = self._now_ms()
        return (
            relay.route.idempotent
            and relay.offers < relay.route.max_attempts
            and relay.deadline_ms - now_ms >= MIN_RETRY_LEFT_MS
            and self._budget.allows(relay.service, now_ms)
        )

    def _repeat(self, relay: Relay, reason: str) -> None:
        self._log.failed(
            "repeated",
            relay.request_id,
            service=relay.service,
            reason=reason,
            offers=relay.offers,
        )
        self._counts.repeated(relay.service)
        relay.repeated = True
        self._place(relay)

    def _no_place(self, relay: Relay, known: int) -> None:
        if relay.last_answer is not None:
            self._deliver(relay, relay.last_answer)
            return
        reason = "no-instance" if not known else "no-room"
        if relay.deadline_ms - self._now_ms() < MIN_RETRY_LEFT_MS:
            reason = "deadline"
        self._end(relay, reason)

    def _end(self, relay: Relay, reason: str) -> None:
        """Give the final answer to a request that has none of a server."""
        if relay.last_answer is not None:
            self._deliver(relay, relay.last_answer)
        elif not relay.may_have_run:
            self._end_not_run(relay, reason)
        else:
            late = relay.deadline_ms - self._now_ms() < MIN_RETRY_LEFT_MS
            status = TIMEOUT_STATUS if late else MAY_HAVE_RUN_STATUS
            self._fail(relay, reason, status, b"")

    def _end_not_run(self, relay: Relay, reason: str) -> None:
        self._fail(relay, reason, NOT_OFFERED_STATUS, self._retry_after(relay))

    def _fail(
        self, relay: Relay, reason: str, status: int, header_lines: bytes
    ) -> None:
        self._counts.ended(reason)
        self._log.failed(
            "not_served",
            relay.request_id,
            route=relay.route.name,
            status=status,
            reason=reason,
            offers=relay.offers,
            places=relay.places,
            instance=relay.instance_id,
            held_ms=self._now_ms() - relay.http.arrived_ms,
            inner=relay.parent is not None,
        )
        name = self._names.request_id
        lines = b"%b: %b\r\n" % (name, relay.request_id.encode("latin-1"))
        relay.connection.respond(
            relay.http, status=status, header_lines=lines + header_lines
        )
        self._finish(relay)

    def _retry_after(self, relay: Relay) -> bytes:
        span_ms = relay.route.target_latency_ms
        low, high = RETRY_AFTER_SHARES
        wait_ms = max(span_ms * self._rng.uniform(low, high), MIN_RETRY_AFTER_MS)
        return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)

    def _refuse(
        self,
        http: HttpRequest,
        connection: CallerConnection,
        request_id: str,
        reason: str,
        wait_ms: float,
    ) -> None:
        self._counts.ended(reason)
        self._log.failed("refused", request_id, reason=reason)
        connection.respond(
            http,
            status=NOT_OFFERED_STATUS,
            header_lines=b"Retry-After: %.3f\r\n" % (wait_ms / 1000),
        )

    def _timed_out(self, relay: Relay) -> None:
        if relay.ended:
            return
        if relay.call_id in self.relays:
            relay.may_have_run = True
        self._cancel(relay)
        self._end(relay, "deadline")

    def _cancel(self, relay: Relay) -> None:
        if self.relays.pop(relay.call_id, None) is None:
            return
        if relay.ip == self._own_ip:
            self._executor.cancel(self, relay.call_id)
            return
        self._links.send(relay.ip, RelayCancel(call_id=relay.call_id))
        load = self._links.load_of(relay.ip)
        if load is not None:
            load.outstanding = max(0, load.outstanding - 1)

    def _finish(self, relay: Relay) -> None:
        relay.ended = True
        self._by_http.pop(relay.http, None)
        parent = relay.parent
        if parent is not None and not parent.ended:
            for service, taken_ms in relay.slot_ms.items():
                known_ms = parent.slot_ms.get(service, 0.0)
                parent.slot_ms[service] = known_ms + taken_ms

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
