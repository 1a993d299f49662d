"""What one sidecar tells of itself, and the coding of demand and counts."""

from collections.abc import Callable, Iterable, Mapping
from typing import TypedDict

from sassafraswinch.capacity_shares import Claim
from sassafraswinch.organisation_rates import FleetUsage, OrganisationRates, Usage
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
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

MAX_TOTALS_AGE_MS = 40.0
"""Time in which the same sums are told to each gatherer: a part of their pause."""


class _Sums(TypedDict):
    demand: list[RouteDemand]
    counts: list[SentCount]
    uses: OrganisationUses


class HostReports:
    """Demand and repeats of this entry, load of its backend server, and its state.

    Args:
        data: what is known of the platform.
        executor: runs requests at the backend server.
        admission: knows what this entry's arrivals need.
        budget: knows how much this sidecar repeats.
        rates: knows what organisations sent here.
        is_stopping: whether this sidecar takes no new work.
        is_isolated: whether this host can't reach the platform, which therefore
            doesn't list the server.
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
        self._sums: tuple[float, _Sums] | None = None

    def report(self, *, relies: bool) -> HostReport:
        """Return the report of the moment.

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
            **self._current_sums(),
        )

    def _current_sums(self) -> _Sums:
        """Return what is added up over hosts, made once for all gatherers."""
        now_ms = self._now_ms()
        if self._sums is None or now_ms - self._sums[0] >= MAX_TOTALS_AGE_MS:
            sums = _Sums(
                demand=serialize_demand(self._admission.demand()),
                counts=serialize_counts(self._budget.window_counts(now_ms)),
                uses=serialize_usage(self._rates.report(now_ms)),
            )
            self._sums = now_ms, sums
        return self._sums[1]

    def heartbeat_reply(self, sequence: int) -> HeartbeatReply:
        """Return the reply to a heartbeat; 0 where it answers none, as an announcement.

        Args:
            sequence: number of the heartbeat.
        """
        return HeartbeatReply(
            sequence=sequence,
            **position_fields(self._data.position),
            load=self._executor.load(),
            leaving=self._is_stopping(),
            isolated=self._is_isolated(),
        )


def serialize_demand(demand: Iterable[Claim]) -> list[RouteDemand]:
    """Write what requests need, by route; routes without known needs tell nothing."""
    return [
        RouteDemand(
            claim.kind,
            claim.priority,
            claim.rate_per_s,
            {service: round(slot_s * 1e6) for service, slot_s in claim.costs.items()},
        )
        for claim in demand
        if claim.costs
    ]


def parse_demand(told: Iterable[RouteDemand]) -> list[Claim]:
    """Read what requests need, by route."""
    return [
        Claim(
            kind=each.route_name,
            priority=each.priority,
            rate_per_s=each.rate_per_s,
            costs={service: us / 1e6 for service, us in each.slot_us.items()},
        )
        for each in told
    ]


def serialize_counts(counts: Mapping[str, AttemptCounts]) -> list[SentCount]:
    """Write requests and repeats by service."""
    return [
        SentCount(service, count.requests, count.retries)
        for service, count in counts.items()
    ]


def parse_counts(told: Iterable[SentCount]) -> dict[str, AttemptCounts]:
    """Read requests and repeats by service."""
    return {each.service_name: AttemptCounts(each.sent, each.repeated) for each in told}


def serialize_usage(told: FleetUsage) -> OrganisationUses:
    """Write what was asked and let in of organisations."""
    return OrganisationUses(
        names=list(told.uses),
        asked_per_ks=[round(use.asked_per_s * 1000) for use in told.uses.values()],
        spent=[use.spent for use in told.uses.values()],
        hosts=told.hosts,
        unknown_ms=round(told.unknown_ms),
    )


def parse_usage(told: OrganisationUses | None) -> FleetUsage:
    """Read what was asked and let in of organisations; peers may not tell it."""
    if told is None:
        return FleetUsage()
    columns = zip(told.names, told.asked_per_ks, told.spent, strict=True)
    uses = {
        name: Usage(asked_per_ks / 1000, spent) for name, asked_per_ks, spent in columns
    }
    return FleetUsage(uses, told.hosts, told.unknown_ms)
