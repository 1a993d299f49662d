"""Owns the requests that arrive at this host, from their arrival to their answer."""

import asyncio
import itertools
from collections.abc import Iterable

from sassafraswinch.crash_suspects import Restriction, SuspectDecision
from sassafraswinch.organisation_rates import OrganisationRates
from sassafraswinch.request_digest import digest_request, digest_text
from sassafraswinch_sidecar.caller_responses import (
    MAY_HAVE_RUN_STATUS,
    NOT_RUN_STATUS,
    TIMEOUT_STATUS,
    CallerResponses,
)
from sassafraswinch_sidecar.executor import (
    INSTANCE_LEAVING,
    SERVER_FAILURE_STATUS,
    Executor,
)
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.outcome_recorder import OutcomeRecorder
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import PeerLoad, Placement
from sassafraswinch_sidecar.relay_counters import RelayCounters
from sassafraswinch_sidecar.relay_intake import KEY_CHANGED, Relay, RelayIntake
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayRequest,
    RelayResponse,
    Verdict,
)
from sassafraswinch_sidecar.relay_requests import request_of
from sassafraswinch_sidecar.relay_retry_policy import (
    MIN_RETRY_REMAINING_MS,
    RelayRetryPolicy,
)
from sassafraswinch_sidecar.reported_instance_ids import ReportedInstanceIds
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.retry_budget import RetryBudget
from sassafraswinch_sidecar.server_choice import (
    choose_server,
    choose_server_for_suspect,
)
from sassafraswinch_sidecar.slot_times import add_slot_times, parse_slot_times
from sassafraswinch_sidecar.suspect_requests import (
    COPY_RUNS,
    HELD_BACK,
    SuspectRequests,
)

MAX_REFUSALS = 4
"""Instances that are asked for one request; refusals by their sidecars before the
backend server are free, but each takes a way there and back."""

FINAL_RESPONSE_MARGIN_MS = 130.0
"""Time past its limit until which the answer of the executing sidecar is awaited: it
tells whether the request has run."""


SETTLE_MS = 2_000.0
"""Time after its start in which a sidecar waits for its first links rather than refuse
for want of them: a killed process is back at once, and its callers come at once."""

SETTLE_RETRY_INTERVAL_S = 0.03
"""Pause between looks for a link in that time: dialling takes milliseconds."""


class RelayOwner:
    """Takes callers' requests, places them, and gives each its one answer.

    A request that must not run twice is sent again only after a proof that it hasn't
    run; others within the repeat budget.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        own_load: PeerLoad,
        intake: RelayIntake,
        responses: CallerResponses,
        fleet: Fleet,
        links: PeerLinks,
        view: FleetView,
        executor: Executor,
        placement: Placement,
        rates: OrganisationRates,
        admission: IngressAdmission,
        budget: RetryBudget,
        suspects: SuspectRequests,
        held: HeldBytes,
        counters: RelayCounters,
        log: RequestLog,
    ):
        self.relays: dict[int, Relay] = {}
        self._own_load = own_load
        self._closed = False
        self._own_ip = own_ip
        self._intake = intake
        self._answers = responses
        self._fleet = fleet
        self._links = links
        self._view = view
        self._executor = executor
        self._placement = placement
        self._rates = rates
        self._admission = admission
        self._suspects = suspects
        self._held = held
        self._counts = counters
        self._log = log
        self._repeats = RelayRetryPolicy(budget=budget, now_ms=self._now_ms)
        self._outcomes = OutcomeRecorder(admission=admission, now_ms=self._now_ms)
        self._call_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._substitutes = ReportedInstanceIds()
        self._by_http: dict[HttpRequest, Relay] = {}

    @property
    def in_flight(self) -> int:
        """Requests that have no answer yet."""
        return len(self._by_http)

    def handle(self, http: HttpRequest, connection: CallerConnection) -> None:
        """Take a request (RequestHandler)."""
        taken = self._intake.accept_request(http, connection, closed=self._closed)
        if not isinstance(taken, Relay):
            self._answers.refuse(http, connection, taken)
            return
        relay = taken
        self._by_http[http] = relay
        if relay.parent is None and not self._admit(relay):
            return
        self._intake.add_headers(relay)
        self._place(relay)

    def close(self) -> None:
        """Take no requests any more; those under way go on."""
        self._closed = True

    def caller_disconnected(self, http: HttpRequest) -> None:
        """The caller has left: stop what is idempotent (RequestHandler)."""
        relay = self._by_http.get(http)
        if relay is None:
            return
        self._counts.record_unserved("caller-left")
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
        overdue_ms = now_ms - FINAL_RESPONSE_MARGIN_MS
        late = [
            relay for relay in self._by_http.values() if relay.deadline_ms < overdue_ms
        ]
        for relay in late:
            self._timed_out(relay)

    def apply_pause(self, stood_ms: float) -> None:
        """Take the time that callers waited, unknown to the clock, off their limits."""
        for relay in self._by_http.values():
            relay.deadline_ms -= stood_ms

    def handle_response(self, response: RelayResponse, load: PeerLoad | None) -> None:
        """Take the end of a call from the executing sidecar."""
        if load is not None:
            load.apply_report(response.load, self._now_ms())
        relay = self.relays.pop(response.call_id, None)
        if relay is None or relay.ended:
            return
        add_slot_times(relay.slot_ms, parse_slot_times(response.slot_times))
        if response.offered:
            relay.offers += 1
            relay.offered_to.add(relay.identity)
        relay.repeats_spent = relay.repeats_spent or response.repeats_spent
        if response.server_end:
            self._suspects.record_crash(digest_request(relay), response.server_end)
        self._repeats.learn(relay)
        self._outcomes.record_execution(relay, response, load)
        if response.verdict == Verdict.ANSWERED:
            self._answered(relay, response)
        elif response.verdict == Verdict.NOT_RUN:
            self._not_run(relay, response, load)
        else:
            relay.may_have_run = True
            self._may_have_run(relay, response.reason)

    def handle_link_lost(self, ip: str) -> None:
        """Decide anew on all calls that a lost link carried."""
        for relay in [found for found in self.relays.values() if found.ip == ip]:
            self.relays.pop(relay.call_id, None)
            relay.may_have_run = True
            relay.offers += 1
            relay.offered_to.add(relay.identity)
            self._may_have_run(relay, "link-lost")

    def place_unsent(self, requests: Iterable[RelayRequest]) -> None:
        """Place requests anew that waited for a link and weren't written to it."""
        for request in requests:
            relay = self.relays.pop(request.call_id, None)
            if relay is not None and not relay.ended:
                self._place(relay)

    def _admit(self, relay: Relay) -> bool:
        if not self._is_within_rate(relay):
            return False
        self._admission.record_arrival(relay.admission_class, relay.priority)
        if not self._held.fits():
            # Its answer would be one more that is held for a slow reader.
            self._fail(relay, "no-memory", NOT_RUN_STATUS)
            return False
        blocking = self._admission.find_blocking_service(
            relay.admission_class, relay.level
        )
        if blocking is None:
            self._spend(relay)
            return True
        self._answers.refuse_overloaded(
            relay, blocking, self._admission.limited_routes[relay.admission_class].share
        )
        self._finish(relay)
        return False

    def _is_within_rate(self, relay: Relay) -> bool:
        """Return whether a request is within its organisation's rate."""
        if relay.caller is None:
            return True
        decision = self._rates.decide_admission(relay.caller, self._now_ms())
        if decision is None or decision.admitted:
            return True
        relay.retry_after_ms = self._rates.wait_ms(decision)
        self._answers.refuse_over_limit(relay, decision)
        self._finish(relay)
        return False

    def _spend(self, relay: Relay) -> None:
        if relay.caller is not None:
            relay.has_token = True
            self._rates.spend(relay.caller, self._now_ms())

    def _place(self, relay: Relay) -> None:
        judged = self._judge(relay)
        if judged is None:
            return
        if not self._intake.is_key_still_valid(relay):
            self._end(relay, KEY_CHANGED)
            return
        left_ms = relay.deadline_ms - self._now_ms()
        instances = self._fleet.of_service(relay.service)
        instance = None
        refusals = relay.placements - relay.offers
        if left_ms >= MIN_RETRY_REMAINING_MS and refusals < MAX_REFUSALS:
            instance = self._choose(relay, instances, judged)
        if instance is None and not relay.tried and self._settling(left_ms):
            self._loop.call_later(SETTLE_RETRY_INTERVAL_S, self._place_again, relay)
            return
        if instance is None:
            self._no_place(relay, len(instances))
            return
        relay.placements += 1
        relay.tried.add(instance.identity)
        self._send(relay, instance, left_ms)

    def _choose(
        self, relay: Relay, instances: list[Instance], judged: SuspectDecision
    ) -> Instance | None:
        now_ms = self._now_ms()
        if judged.restriction is not Restriction.FREE:
            return choose_server_for_suspect(
                self._placement, relay, instances, now_ms, judged
            )
        answer_bytes = self._outcomes.answer_bytes(relay.route.name)
        return choose_server(self._placement, relay, instances, now_ms, answer_bytes)

    def _judge(self, relay: Relay) -> SuspectDecision | None:
        """Return what a request may do; None where it is held back, and given up."""
        judged = self._suspects.decide(relay)
        if judged.restriction is not Restriction.HELD:
            return judged
        self._log.failed(
            "held_back",
            relay.request_id,
            digest=digest_text(judged.digest),
            ends=len(judged.crashes),
            wait_ms=judged.wait_ms,
        )
        relay.retry_after_ms = judged.wait_ms
        self._end(relay, HELD_BACK)
        return None

    def _place_again(self, relay: Relay) -> None:
        if not relay.ended:
            self._place(relay)

    def _settling(self, left_ms: float) -> bool:
        young = self._now_ms() - self._started_ms < SETTLE_MS
        return young and left_ms >= MIN_RETRY_REMAINING_MS

    def _send(self, relay: Relay, instance: Instance, left_ms: float) -> None:
        relay.call_id = next(self._call_ids)
        relay.ip = instance.ip
        relay.identity = instance.identity
        relay.instance_id = self._substitutes.actual_id(instance, self._now_ms())
        last = relay.parent is None and self._admission.uses_only(
            relay.admission_class, relay.service
        )
        request = request_of(relay, left_ms=left_ms, last=last)
        self.relays[relay.call_id] = relay
        self._repeats.sent(relay)
        if instance.ip == self._own_ip:
            self._own_load.sent_since_report += 1
            self._executor.submit(request, self._own_response, self)
            return
        if not self._links.send_request(instance.ip, request):
            del self.relays[relay.call_id]
            self._place(relay)
            return
        load = self._view.load(instance.ip)
        if load is not None:
            load.sent_since_report += 1

    def _note_instance(self, relay: Relay, actual_id: str) -> None:
        for instance in self._fleet.of_service(relay.service):
            if instance.ip == relay.ip and instance.id != actual_id:
                self._substitutes.record_id(instance, actual_id, self._now_ms())
                relay.tried.discard(instance.identity)

    def _deliver(self, relay: Relay, response: RelayResponse) -> None:
        self._outcomes.record_response(relay, response)
        self._answers.deliver(relay, response)
        self._finish(relay)

    def _fail(self, relay: Relay, reason: str, status: int) -> None:
        if status == NOT_RUN_STATUS and relay.has_token:
            self._rates.refund(relay.caller, self._now_ms())
        self._outcomes.record_failure(relay)
        self._answers.fail(relay, reason, status)
        self._finish(relay)

    def _own_response(self, response: RelayResponse) -> None:
        self._loop.call_soon(self.handle_response, response, self._own_load)

    def _answered(self, relay: Relay, response: RelayResponse) -> None:
        server_failed = response.status >= SERVER_FAILURE_STATUS
        if not server_failed:
            # The sidecar beside the server may not know yet that it was a suspect.
            self._suspects.record_answer(relay)
        if server_failed and self._repeats.allows_retry_of_failed(relay):
            relay.last_error_response = response
            self._repeat(relay, f"status-{response.status}")
            return
        self._deliver(relay, response)

    def _not_run(
        self, relay: Relay, response: RelayResponse, load: PeerLoad | None
    ) -> None:
        if response.actual_instance_id:
            self._note_instance(relay, response.actual_instance_id)
        if response.reason in (HELD_BACK, COPY_RUNS):
            # No other server may run it either.
            self._end(relay, response.reason)
            return
        if response.reason == INSTANCE_LEAVING:
            self._outcomes.record_leaving_refusal(load)
        if not response.offered:
            self._place(relay)
        elif self._repeats.allows_retry_of_unexecuted(relay):
            self._repeat(relay, response.reason)
        else:
            self._end(relay, response.reason)

    def _may_have_run(self, relay: Relay, reason: str) -> None:
        if self._repeats.allows_retry_of_failed(relay):
            self._repeat(relay, reason)
        else:
            self._end(relay, reason)

    def _repeat(self, relay: Relay, reason: str) -> None:
        if self._judge(relay) is None:
            return
        self._log.failed(
            "repeated",
            relay.request_id,
            service=relay.service,
            reason=reason,
            offers=relay.offers,
        )
        self._counts.record_retry(relay.service)
        relay.is_retry = True
        self._place(relay)

    def _no_place(self, relay: Relay, known: int) -> None:
        if relay.last_error_response is not None:
            self._deliver(relay, relay.last_error_response)
            return
        reason = "no-instance" if not known else "no-room"
        if not self._repeats.has_time(relay):
            reason = "deadline"
        self._end(relay, reason)

    def _end(self, relay: Relay, reason: str) -> None:
        """Give the final answer to a request that has none of a server."""
        if relay.last_error_response is not None:
            self._deliver(relay, relay.last_error_response)
        elif not relay.may_have_run:
            self._fail(relay, reason, NOT_RUN_STATUS)
        else:
            in_time = self._repeats.has_time(relay)
            status = MAY_HAVE_RUN_STATUS if in_time else TIMEOUT_STATUS
            self._fail(relay, reason, status)

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
        self._links.cancel(relay.ip, relay.call_id)

    def _finish(self, relay: Relay) -> None:
        relay.ended = True
        self._by_http.pop(relay.http, None)
        parent = relay.parent
        if parent is not None and not parent.ended:
            parent.calls_done += 1
            parent.repeats_spent = parent.repeats_spent or relay.repeats_spent
            add_slot_times(parent.slot_ms, relay.slot_ms)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
