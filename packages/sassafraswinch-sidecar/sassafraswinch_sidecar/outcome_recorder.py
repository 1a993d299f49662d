"""Recorder of request outcomes: server health and speed, and the cost of routes."""

from collections.abc import Callable

from sassafraswinch_sidecar.executor import SERVER_FAILURE_STATUS
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.placement import (
    LEAVING_REFUSAL_MS,
    PeerLoad,
    RelativeLatencyMeter,
    RunningMeans,
)
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse, Verdict
from sassafraswinch_sidecar.run_times import RunTimes


class OutcomeRecorder:
    """Updates the load records of instances and the cost of routes from outcomes.

    Args:
        admission: gets the slot time of each admission class.
        now_ms: monotonic clock.
    """

    def __init__(self, *, admission: IngressAdmission, now_ms: Callable[[], float]):
        self._admission = admission
        self._now_ms = now_ms
        self._paces = RelativeLatencyMeter()
        self._answer_bytes = RunningMeans()
        self._run_times = RunTimes()

    def answer_bytes(self, route: str) -> float:
        """Return the mean response size of a route in bytes; 0 before the first one."""
        return self._answer_bytes.mean(route)

    def likely_run_ms(self, relay: Relay) -> float:
        """Return the time within which a request is likely to end at its server."""
        return self._run_times.likely_ms((relay.route.name, relay.service))

    def record_execution(
        self, relay: Relay, response: RelayResponse, load: PeerLoad | None
    ) -> None:
        """Record the speed and failure of one execution for its instance.

        Args:
            relay: the request.
            response: result of the execution.
            load: load record of the instance; None if its sidecar is gone.
        """
        if load is None or not response.offered:
            return
        now_ms = self._now_ms()
        failed = (
            response.verdict != Verdict.ANSWERED
            or response.status >= SERVER_FAILURE_STATUS
        )
        if response.reason != "deadline":
            load.record_result(failed=failed, now_ms=now_ms)
        for slot_time in response.slot_times:
            if not failed and slot_time.service_name == relay.service:
                kind = (relay.route.name, relay.service)
                self._run_times.record(kind, slot_time.slot_ms)
                load.record_latency(
                    self._paces.measure(kind, slot_time.slot_ms), now_ms
                )

    def record_leaving_refusal(self, load: PeerLoad | None) -> None:
        """Record that a sidecar refuses requests because its server is leaving."""
        if load is not None:
            load.refuses_until_ms = self._now_ms() + LEAVING_REFUSAL_MS

    def record_response(self, relay: Relay, response: RelayResponse) -> None:
        """Record the cost and response size of a request with a final response."""
        succeeded = response.status < 300
        if succeeded:
            self._answer_bytes.add_value(relay.route.name, len(response.body))
        if relay.parent is None and succeeded:
            self._admission.record_completed_cost(
                relay.admission_class, relay.slot_ms, self._now_ms()
            )
        elif relay.parent is None:
            self._admission.record_partial_cost(relay.admission_class, relay.slot_ms)

    def record_failure(self, relay: Relay) -> None:
        """Record the slot time of a failed request as a lower bound of its cost."""
        if relay.parent is None and relay.slot_ms:
            self._admission.record_partial_cost(relay.admission_class, relay.slot_ms)
