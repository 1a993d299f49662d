"""Owner of the requests received at this host, from arrival to final response."""

import asyncio
import itertools
from collections.abc import Collection

from sassafraswinch.crash_suspects import Restriction, SuspectDecision
from sassafraswinch.organisation_rates import OrganisationRates
from sassafraswinch.request_digest import digest_request, digest_text
from sassafraswinch_node.supervision import run_step
from sassafraswinch_sidecar.admission_levels import AdmissionLevels
from sassafraswinch_sidecar.caller_connection import CallerConnection, HttpRequest
from sassafraswinch_sidecar.caller_responses import (
    MAY_HAVE_RUN_STATUS,
    MIN_RETRY_AFTER_MS,
    NOT_RUN_STATUS,
    TIMEOUT_STATUS,
    CallerResponses,
)
from sassafraswinch_sidecar.executor import (
    INSTANCE_LEAVING,
    RATE_LIMITED,
    SERVER_FAILURE_STATUS,
    Executor,
)
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.graceful_shutdown import ShutdownSchedule
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.instances import NO_INCARNATION, Instance
from sassafraswinch_sidecar.outcome_recorder import OutcomeRecorder
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import PeerLoad, Placement
from sassafraswinch_sidecar.relay_counters import RelayCounters
from sassafraswinch_sidecar.relay_intake import (
    KEY_CHANGED,
    LEAVING,
    Relay,
    RelayIntake,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse, Verdict
from sassafraswinch_sidecar.relay_requests import request_of
from sassafraswinch_sidecar.relay_retry_policy import (
    MIN_RETRY_REMAINING_MS,
    RelayRetryPolicy,
)
from sassafraswinch_sidecar.relay_shutdown import RelayShutdown
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
"""Maximum number of instances that may refuse one request before it reaches a backend
server. Such a refusal uses no retry budget but costs a network round trip."""

FINAL_RESPONSE_MARGIN_MS = 130.0
"""Time past a request's deadline for which the owner still waits for the response of
the executing sidecar, because that response reports whether the request has run."""


SETTLE_MS = 2_000.0
"""Period after start-up in which a request waits for the first links instead of being
refused for lack of them. A killed process is restarted at once, and its callers
reconnect immediately."""

SETTLE_RETRY_INTERVAL_S = 0.03
"""Interval between placement attempts in that period; dialling takes milliseconds."""


class RelayOwner:
    """Accepts callers' requests, places them and sends each exactly one response.

    A request that isn't idempotent is retried only after a proof that it has not run.
    All retries are limited by the retry budget.

    Attributes:
        relays: relays whose current attempt has no response yet, by call id.
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
        levels: AdmissionLevels,
        budget: RetryBudget,
        suspects: SuspectRequests,
        held: HeldBytes,
        counters: RelayCounters,
        log: RequestLog,
    ):
        self.relays: dict[int, Relay] = {}
        self._own_load = own_load
        self._own_ip = own_ip
        self._intake = intake
        self._responses = responses
        self._fleet = fleet
        self._links = links
        self._view = view
        self._executor = executor
        self._placement = placement
        self._rates = rates
        self._admission = admission
        self._levels = levels
        self._suspects = suspects
        self._held = held
        self._counters = counters
        self._log = log
        self._retry_policy = RelayRetryPolicy(budget=budget, now_ms=self._now_ms)
        self._outcomes = OutcomeRecorder(admission=admission, now_ms=self._now_ms)
        self._shutdown = RelayShutdown(
            likely_run_ms=self._outcomes.likely_run_ms, now_ms=self._now_ms
        )
        self._call_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._substitutes = ReportedInstanceIds()
        self._open_by_http: dict[HttpRequest, Relay] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests without a final response."""
        return len(self._open_by_http)

    def handle(self, http: HttpRequest, connection: CallerConnection) -> None:
        """Accept a request (RequestHandler)."""
        received = self._intake.accept_request(
            http, connection, only_child_calls=self._shutdown.refuses_callers
        )
        if not isinstance(received, Relay):
            self._responses.refuse(http, connection, received)
            return
        relay = received
        self._open_by_http[http] = relay
        if relay.parent is None and not self._admit(relay):
            return
        self._intake.add_headers(relay)
        self._place(relay)

    def shut_down(self, schedule: ShutdownSchedule) -> None:
        """Refuse new requests from the scheduled time on, and those that end too late.

        Requests that servers run continue.
        """
        self._shutdown.begin(schedule)
        for relay in list(self.relays.values()):
            wait_ms = self._shutdown.max_wait_ms(relay)
            if relay.ip != self._own_ip and wait_ms is not None:
                self._links.limit_wait(relay.ip, relay.call_id, wait_ms)

    def caller_disconnected(self, http: HttpRequest) -> None:
        """Cancel a request whose caller has disconnected (RequestHandler).

        The executing sidecar lets a started request that isn't idempotent finish.
        """
        relay = self._open_by_http.get(http)
        if relay is None:
            return
        self._counters.record_unserved("caller-left")
        self._log.failed(
            "caller_left",
            relay.request_id,
            instance=relay.instance_id,
            held_ms=self._now_ms() - http.arrived_ms,
        )
        self._cancel(relay)
        self._finish(relay)

    def expire(self, now_ms: float) -> None:
        """Time out the requests that passed their deadline without a response."""
        overdue_ms = now_ms - FINAL_RESPONSE_MARGIN_MS
        overdue = [
            relay
            for relay in self._open_by_http.values()
            if relay.deadline_ms < overdue_ms
        ]
        for relay in overdue:
            run_step("expire_request", self._give_up, relay, "deadline")

    def end_open_requests(self) -> None:
        """Send the requests in flight their final responses before the process ends."""
        for relay in list(self._open_by_http.values()):
            run_step("end_request", self._give_up, relay, "stopped")

    def apply_pause(self, paused_ms: float) -> None:
        """Subtract a process pause that the clock did not count from all deadlines."""
        for relay in self._open_by_http.values():
            relay.deadline_ms -= paused_ms

    def handle_response(self, response: RelayResponse, load: PeerLoad | None) -> None:
        """Process the response of an executing sidecar."""
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
        self._retry_policy.record_downstream_services(relay)
        self._outcomes.record_execution(relay, response, load)
        if response.verdict == Verdict.ANSWERED:
            self._handle_answered(relay, response)
        elif response.verdict == Verdict.NOT_RUN:
            self._handle_not_run(relay, response, load)
        else:
            relay.may_have_run = True
            self._handle_may_have_run(relay, response.reason)

    def handle_link_lost(self, ip: str, unsent: Collection[int]) -> None:
        """Retry or fail all requests that were sent over a lost link.

        Args:
            ip: address of the peer.
            unsent: call ids of those whose bodies were not written completely.
        """
        lost = [
            relay
            for relay in self.relays.values()
            if relay.ip == ip and relay.call_id not in unsent
        ]
        self.place_unsent(unsent)
        for relay in lost:
            self.relays.pop(relay.call_id, None)
            relay.may_have_run = True
            relay.offers += 1
            relay.offered_to.add(relay.identity)
            self._handle_may_have_run(relay, "link-lost")

    def place_unsent(self, call_ids: Collection[int]) -> None:
        """Place requests again that were not written completely to a link."""
        for call_id in call_ids:
            relay = self.relays.pop(call_id, None)
            if relay is not None and not relay.ended:
                self._place(relay)

    def _admit(self, relay: Relay) -> bool:
        if not self._check_rate(relay):
            return False
        relay.level = self._levels.draw(relay.admission_class)
        self._admission.record_arrival(relay.admission_class, relay.priority)
        if not self._held.fits(-len(relay.body)):
            # Its response might have to be buffered for a slow reader.
            self._fail(relay, "no-memory", NOT_RUN_STATUS)
            return False
        overloaded_service = self._admission.find_blocking_service(
            relay.admission_class, relay.level
        )
        if overloaded_service is not None and self._admission.admits_trial(
            relay.admission_class
        ):
            self._log.failed(
                "trial_request",
                relay.request_id,
                admission_class=relay.admission_class,
                service=overloaded_service,
            )
            overloaded_service = None
        if overloaded_service is None:
            self._spend_token(relay)
            return True
        self._set_rate_retry_after(relay, overloaded_service)
        self._responses.refuse_overloaded(
            relay,
            overloaded_service,
            self._admission.limited_classes[relay.admission_class].share,
        )
        self._finish(relay)
        return False

    def _set_rate_retry_after(
        self, relay: Relay, service: str, min_wait_ms: float = 0.0
    ) -> None:
        """Set when a caller may return to a service bound by rate limits, if it is."""
        rate_wait_ms = self._admission.rate_wait_ms(service)
        if rate_wait_ms is not None:
            spread_ms = self._responses.spread_rate_wait_ms(rate_wait_ms)
            relay.retry_after_ms = max(spread_ms, min_wait_ms)
        elif min_wait_ms:
            relay.retry_after_ms = max(min_wait_ms, MIN_RETRY_AFTER_MS)

    def _check_rate(self, relay: Relay) -> bool:
        """Return whether a request is within its rate limit; refuse it if it isn't."""
        if relay.caller is None:
            return True
        decision = self._rates.decide_admission(relay.caller, self._now_ms())
        if decision is None or decision.admitted:
            return True
        relay.retry_after_ms = self._rates.wait_ms(decision)
        self._responses.refuse_over_limit(relay, decision)
        self._finish(relay)
        return False

    def _spend_token(self, relay: Relay) -> None:
        if relay.caller is not None:
            relay.has_token = True
            self._rates.spend(relay.caller, self._now_ms())

    def _place(self, relay: Relay) -> None:
        judgement = self._judge(relay)
        if judgement is None:
            return
        if not self._intake.is_key_still_valid(relay):
            self._conclude(relay, KEY_CHANGED)
            return
        if self._shutdown.refuses(relay):
            self._conclude(relay, LEAVING)
            return
        remaining_ms = relay.deadline_ms - self._now_ms()
        instances = self._fleet.of_service(relay.service)
        instance = None
        refusals = relay.placements - relay.offers
        if remaining_ms >= MIN_RETRY_REMAINING_MS and refusals < MAX_REFUSALS:
            instance = self._choose_instance(relay, instances, judgement)
        if instance is None and not relay.tried and self._is_settling(remaining_ms):
            self._loop.call_later(SETTLE_RETRY_INTERVAL_S, self._retry_placement, relay)
            return
        if instance is None:
            self._fail_placement(relay, instances)
            return
        relay.placements += 1
        relay.tried.add(instance.identity)
        self._send(relay, instance, remaining_ms)

    def _choose_instance(
        self, relay: Relay, instances: list[Instance], judgement: SuspectDecision
    ) -> Instance | None:
        now_ms = self._now_ms()
        if judgement.restriction is not Restriction.FREE:
            return choose_server_for_suspect(
                self._placement, relay, instances, now_ms, judgement
            )
        answer_bytes = self._outcomes.answer_bytes(relay.route.name)
        return choose_server(self._placement, relay, instances, now_ms, answer_bytes)

    def _judge(self, relay: Relay) -> SuspectDecision | None:
        """Return how a request may run; None if it is held back and has failed."""
        judgement = self._suspects.decide(relay)
        if judgement.restriction is not Restriction.HELD:
            return judgement
        self._log.failed(
            "held_back",
            relay.request_id,
            digest=digest_text(judgement.digest),
            ends=len(judgement.crashes),
            wait_ms=judgement.wait_ms,
        )
        relay.retry_after_ms = judgement.wait_ms
        self._conclude(relay, HELD_BACK)
        return None

    def _retry_placement(self, relay: Relay) -> None:
        if not relay.ended:
            self._place(relay)

    def _is_settling(self, remaining_ms: float) -> bool:
        is_starting = self._now_ms() - self._started_ms < SETTLE_MS
        return is_starting and remaining_ms >= MIN_RETRY_REMAINING_MS

    def _send(self, relay: Relay, instance: Instance, remaining_ms: float) -> None:
        relay.call_id = next(self._call_ids)
        relay.ip = instance.ip
        relay.identity = instance.identity
        relay.instance_id = self._substitutes.actual_id(instance, self._now_ms())
        is_leaf = relay.parent is None and self._admission.uses_only(
            relay.admission_class, relay.service
        )
        load = self._view.load(instance.ip)
        is_listed = relay.instance_id == instance.id
        incarnation = instance.incarnation if is_listed else NO_INCARNATION
        request = request_of(
            relay,
            remaining_ms=remaining_ms,
            is_leaf=is_leaf,
            notice=load and load.notice_of(relay.instance_id, incarnation),
        )
        self.relays[relay.call_id] = relay
        self._retry_policy.record_sent(relay)
        if instance.ip == self._own_ip:
            self._own_load.sent_since_report += 1
            self._executor.submit(
                request, self._own_response, self, is_body_counted=True
            )
            return
        if not self._links.send_request(instance.ip, request):
            del self.relays[relay.call_id]
            self._place(relay)
            return
        if load is not None:
            load.sent_since_report += 1

    def _record_actual_instance(self, relay: Relay, actual_id: str) -> None:
        for instance in self._fleet.of_service(relay.service):
            if instance.ip == relay.ip and instance.id != actual_id:
                self._substitutes.record_id(instance, actual_id, self._now_ms())
                relay.tried.discard(instance.identity)

    def _deliver_response(self, relay: Relay, response: RelayResponse) -> None:
        self._outcomes.record_response(relay, response)
        self._responses.deliver(relay, response)
        self._finish(relay)

    def _fail(self, relay: Relay, reason: str, status: int) -> None:
        if status == NOT_RUN_STATUS and relay.has_token:
            self._rates.refund(relay.caller, self._now_ms())
        self._outcomes.record_failure(relay)
        self._responses.fail(relay, reason, status)
        self._finish(relay)

    def _own_response(self, response: RelayResponse) -> None:
        self._loop.call_soon(self.handle_response, response, self._own_load)

    def _handle_answered(self, relay: Relay, response: RelayResponse) -> None:
        server_failed = response.status >= SERVER_FAILURE_STATUS
        if not server_failed:
            # The executing sidecar may not yet know that the request was a suspect.
            self._suspects.record_answer(relay)
        if server_failed and self._retry_policy.allows_retry_of_failed(relay):
            relay.last_error_response = response
            self._retry(relay, f"status-{response.status}")
            return
        self._deliver_response(relay, response)

    def _handle_not_run(
        self, relay: Relay, response: RelayResponse, load: PeerLoad | None
    ) -> None:
        if response.actual_instance_id:
            self._record_actual_instance(relay, response.actual_instance_id)
        if response.reason in (HELD_BACK, COPY_RUNS):
            # No other backend server may run it either.
            self._conclude(relay, response.reason)
            return
        if response.reason == INSTANCE_LEAVING:
            self._outcomes.record_leaving_refusal(load)
        if not response.offered:
            self._place(relay)
        elif self._retry_policy.allows_retry_of_unexecuted(relay):
            self._retry(relay, response.reason)
        else:
            self._conclude(relay, response.reason)

    def _handle_may_have_run(self, relay: Relay, reason: str) -> None:
        if self._retry_policy.allows_retry_of_failed(relay):
            self._retry(relay, reason)
        else:
            self._conclude(relay, reason)

    def _retry(self, relay: Relay, reason: str) -> None:
        if self._judge(relay) is None:
            return
        self._log.failed(
            "repeated",
            relay.request_id,
            service=relay.service,
            reason=reason,
            offers=relay.offers,
        )
        self._counters.record_retry(relay.service)
        relay.begin_retry()
        self._place(relay)

    def _fail_placement(self, relay: Relay, instances: list[Instance]) -> None:
        if relay.last_error_response is not None:
            self._deliver_response(relay, relay.last_error_response)
            return
        reason = "no-instance" if not instances else "no-room"
        wait_ms = self._placement.shortest_rate_wait_ms(instances, self._now_ms())
        if wait_ms is not None:
            reason = RATE_LIMITED
            self._set_rate_retry_after(relay, relay.service, wait_ms)
        if not self._retry_policy.has_time(relay):
            reason = "deadline"
        self._conclude(relay, reason)

    def _conclude(self, relay: Relay, reason: str) -> None:
        """Send the final response of a request that gets no further attempt."""
        if relay.last_error_response is not None:
            self._deliver_response(relay, relay.last_error_response)
        elif not relay.may_have_run:
            self._fail(relay, reason, NOT_RUN_STATUS)
        else:
            in_time = self._retry_policy.has_time(relay)
            status = MAY_HAVE_RUN_STATUS if in_time else TIMEOUT_STATUS
            self._fail(relay, reason, status)

    def _give_up(self, relay: Relay, reason: str) -> None:
        """End a request without waiting for the response to its current attempt."""
        if relay.ended:
            return
        if relay.call_id in self.relays:
            relay.may_have_run = True
        self._cancel(relay)
        self._conclude(relay, reason)

    def _cancel(self, relay: Relay) -> None:
        if self.relays.pop(relay.call_id, None) is None:
            return
        if relay.ip == self._own_ip:
            self._executor.cancel(self, relay.call_id)
            return
        self._links.cancel(relay.ip, relay.call_id)

    def _finish(self, relay: Relay) -> None:
        relay.ended = True
        self._open_by_http.pop(relay.http, None)
        parent = relay.parent
        if parent is not None and not parent.ended:
            parent.calls_done += 1
            parent.repeats_spent = parent.repeats_spent or relay.repeats_spent
            add_slot_times(parent.slot_ms, relay.slot_ms)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
