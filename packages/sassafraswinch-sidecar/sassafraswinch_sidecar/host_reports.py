"""Host reports of a sidecar, and the wire format of demand, counts and usage."""

from collections.abc import Callable, Iterable, Mapping
from typing import TypedDict

from sassafraswinch.capacity_shares import Claim
from sassafraswinch.organisation_rates import FleetUsage, OrganisationRates, Usage
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.message_checks import MAX_RATE_PER_S, wire_count, wire_total
from sassafraswinch_sidecar.message_codec import position_fields
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HeartbeatReply,
    HostReport,
    OrganisationUses,
    RouteDemand,
    SentCount,
)
from sassafraswinch_sidecar.retry_budget import AttemptCounts, RetryBudget
from sassafraswinch_sidecar.trial_requests import is_outdated

MAX_REPORTED_AGE_MS = 3_600_000.0
"""Greatest age of a cost on the wire; it also stands for a cost that was never measured
from a completed request."""

MAX_TOTALS_AGE_MS = 40.0
"""Time for which the same totals are sent to all aggregators: a part of the pause
between their rounds."""


class _Totals(TypedDict):
    demand: list[RouteDemand]
    counts: list[SentCount]
    uses: OrganisationUses


class HostReports:
    """Builder of the reports on this host: demand, retries, server load and state.

    Args:
        data: copy of the platform's data.
        executor: runs requests at the backend server.
        admission: ingress admission, which knows the demand of arriving requests.
        budget: retry budget, which counts the requests and retries of this sidecar.
        rates: usage of the organisations at this sidecar.
        is_stopping: returns whether this sidecar takes no new work.
        is_isolated: returns whether the server's registration is missing because this
            host can't reach the platform.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        data: PlatformData,
        executor: Executor,
        admission: IngressAdmission,
        budget: RetryBudget,
        rates: OrganisationRates,
        is_stopping: Callable[[], bool],
        is_isolated: Callable[[], bool],
        now_ms: Callable[[], float],
    ):
        self._data = data
        self._executor = executor
        self._admission = admission
        self._budget = budget
        self._rates = rates
        self._is_stopping = is_stopping
        self._is_isolated = is_isolated
        self._now_ms = now_ms
        self._totals: tuple[float, _Totals] | None = None

    def report(self, *, relies: bool) -> HostReport:
        """Return the current report.

        Args:
            relies: whether this sidecar takes its view of the fleet from the receiver.
        """
        return HostReport(
            **position_fields(self._data.position),
            load=self._executor.load(),
            leaving=self._is_stopping(),
            following=self._data.following,
            isolated=self._is_isolated(),
            relies=relies,
            **self._current_totals(),
        )

    def _current_totals(self) -> _Totals:
        """Return the data to be totalled over hosts, built once for all aggregators."""
        now_ms = self._now_ms()
        if self._totals is None or now_ms - self._totals[0] >= MAX_TOTALS_AGE_MS:
            totals = _Totals(
                demand=serialize_demand(self._admission.demand(now_ms)),
                counts=serialize_counts(self._budget.window_counts(now_ms)),
                uses=serialize_usage(self._rates.report(now_ms)),
            )
            self._totals = now_ms, totals
        return self._totals[1]

    def heartbeat_reply(self, sequence: int) -> HeartbeatReply:
        """Return the reply to a heartbeat, or an unsolicited announcement.

        Args:
            sequence: number of the heartbeat; 0 for an announcement.
        """
        return HeartbeatReply(
            sequence=sequence,
            **position_fields(self._data.position),
            load=self._executor.load(),
            leaving=self._is_stopping(),
            isolated=self._is_isolated(),
        )


def serialize_demand(demand: Iterable[Claim]) -> list[RouteDemand]:
    """Serialize the demand by admission class.

    Classes whose cost is unknown are left out. A recent measurement without a cost is
    kept: it replaces the outdated costs of other sidecars.
    """
    return [
        RouteDemand(
            claim.kind,
            claim.priority,
            min(claim.rate_per_s, MAX_RATE_PER_S),
            {
                service: wire_count(slot_s * 1e6)
                for service, slot_s in claim.costs.items()
            },
            round(min(claim.age_ms, MAX_REPORTED_AGE_MS)),
        )
        for claim in demand
        if claim.costs or not is_outdated(claim)
    ]


def parse_demand(received: Iterable[RouteDemand]) -> list[Claim]:
    """Parse the demand by admission class; the age is 0 if the peer didn't send it."""
    return [
        Claim(
            kind=each.route_name,
            priority=each.priority,
            rate_per_s=each.rate_per_s,
            costs={service: us / 1e6 for service, us in each.slot_us.items()},
            age_ms=float(each.age_ms),
        )
        for each in received
    ]


def serialize_counts(counts: Mapping[str, AttemptCounts]) -> list[SentCount]:
    """Serialize the counts of requests and retries by service."""
    return [
        SentCount(service, wire_count(count.requests), wire_count(count.retries))
        for service, count in counts.items()
    ]


def parse_counts(received: Iterable[SentCount]) -> dict[str, AttemptCounts]:
    """Parse the counts of requests and retries by service."""
    return {
        each.service_name: AttemptCounts(each.sent, each.repeated) for each in received
    }


def serialize_usage(usage: FleetUsage) -> OrganisationUses:
    """Serialize the requested and admitted usage of organisations."""
    return OrganisationUses(
        names=list(usage.uses),
        asked_per_ks=[
            wire_total(each.asked_per_s * 1000) for each in usage.uses.values()
        ],
        spent=[wire_count(each.spent) for each in usage.uses.values()],
        hosts=wire_count(usage.hosts),
        unknown_ms=wire_total(usage.unknown_ms),
    )


def parse_usage(received: OrganisationUses | None) -> FleetUsage:
    """Parse the usage of organisations; empty if the peer didn't send it."""
    if received is None:
        return FleetUsage()
    rows = zip(received.names, received.asked_per_ks, received.spent, strict=True)
    uses = {
        name: Usage(asked_per_ks / 1000, spent) for name, asked_per_ks, spent in rows
    }
    return FleetUsage(uses, received.hosts, received.unknown_ms)
