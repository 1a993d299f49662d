"""What the ends of requests tell of backend servers and of routes."""

from collections.abc import Callable

from sassafraswinch_sidecar.entry_admission import EntryAdmission
from sassafraswinch_sidecar.executor import SERVER_FAILURE
from sassafraswinch_sidecar.placement import (
    LEAVING_WORD_MS,
    PaceMeter,
    PeerLoad,
    RunningMeans,
)
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse, Verdict


class RelayOutcomes:
    """Learns how fast and sound servers are, and what routes need.

    Args:
        admission: is told the slot time that a route's requests take.
        now_ms: monotonic clock.
    """

    def __init__(self, *, admission: EntryAdmission, now_ms: Callable[[], float]):
        self._admission = admission
        self._now_ms = now_ms
        self._paces = PaceMeter()
        self._answer_bytes = RunningMeans()

    def answer_bytes(self, route: str) -> float:
        """Return the mean length of a route's answers; 0 before the first."""
        return self._answer_bytes.mean(route)

    def execution_ended(
        self, relay: Relay, response: RelayResponse, load: PeerLoad | None
    ) -> None:
        """Learn from one execution how fast and sound its server is.

        Args:
            relay: the request.
            response: the end of its execution.
            load: what is known of the server; None if its sidecar has gone.
        """
        if load is None or not response.offered:
            return
        now_ms = self._now_ms()
        failed = (
            response.verdict != Verdict.ANSWERED or response.status >= SERVER_FAILURE
        )
        if response.reason != "deadline":
            load.ended(failed=failed, now_ms=now_ms)
        for taken in response.slot_times:
            if not failed and taken.service_name == relay.service:
                kind = (relay.route.name, relay.service)
                load.took(self._paces.measure(kind, taken.slot_ms), now_ms)

    def refused_as_leaving(self, load: PeerLoad | None) -> None:
        """Note that a sidecar refuses requests since its server leaves."""
        if load is not None:
            load.refuses_until_ms = self._now_ms() + LEAVING_WORD_MS

    def answered(self, relay: Relay, response: RelayResponse) -> None:
        """Learn from a request's final answer what its route needs."""
        served = response.status < 300
        if served:
            self._answer_bytes.count(relay.route.name, len(response.body))
        if relay.parent is None and served:
            self._admission.learn(relay.kind, relay.slot_ms, self._now_ms())
        elif relay.parent is None:
            self._admission.learn_at_least(relay.kind, relay.slot_ms)

    def failed(self, relay: Relay) -> None:
        """Learn from a request that ends without an answer what it took at least."""
        if relay.parent is None and relay.slot_ms:
            self._admission.learn_at_least(relay.kind, relay.slot_ms)
