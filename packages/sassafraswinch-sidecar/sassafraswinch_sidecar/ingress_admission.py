"""Ingress admission: refuses root requests that the services below can't complete.

Each root request starts a call tree, and a refusal deep in the tree wastes the work
done for it. The ingress sidecar therefore estimates what a tree costs at each service
and admits as many root requests, the most important first, as all services together
can run to completion. All ingress sidecars work from the same demand and capacity and
so refuse the same part of the requests.
"""

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from sassafraswinch.capacity_shares import Allocation, Claim, capacity_shares
from sassafraswinch.ranks import route_priority_of
from sassafraswinch_sidecar.admission_levels import LEVELS
from sassafraswinch_sidecar.trial_requests import (
    MAX_COST_AGE_MS,
    TrialRequests,
    is_outdated,
)

PLANNED_SLOT_SHARE = 0.97
"""Share of a service's slots that is planned for admitted requests, before correction.
Arrivals are uneven; the remainder keeps the queue short."""

PLANNED_LIMIT_SHARE = 0.93
"""Share of the slots of limited servers that is planned, beside ``PLANNED_SLOT_SHARE``.
Their pace can't catch up with a queue: calls that waited longer than they may fail the
call trees above them."""

MIN_COST_GAIN = 0.04
"""Least weight of one completed request in the cost estimate of its class: the last 25
requests."""

COST_REFRESH_MS = 1_000.0
"""Age of a cost estimate at which the next request weighs as much as all before it.

Load pattern: a service is several times slower for some seconds, and few requests are
admitted. If the estimate depended on the number of requests alone, the service would
still look slow for seconds after it has recovered."""

FAILED_COST_GAIN = 0.3
"""Weight of one failed request while no request of the class has been completed."""

RATE_GAIN = 0.3
"""Weight of one interval in the arrival rates: with 250 ms, about a second."""

INTERVAL_MS = 250.0
"""Time between two admission decisions; demand is reported about as often."""

MIN_COST_SLOT_S = 0.002
"""Cost of a class at a service, in slot seconds, below which it is ignored."""

TARGET_UTILISATION = 1.0
"""Measured slot usage, with queued requests included, that the correction aims for.
Usage includes demand that no ingress sidecar reports, such as that of call trees under
way. Calls are queued in order of importance, so a few queued calls cost less than idle
slots."""

CORRECTION_GAIN = 0.3
"""Step of the correction in an interval, as a share of the distance from the target.
Admitted requests show in the usage up to a second later; a greater gain makes the
correction oscillate."""

MAX_CORRECTION_DECREASE = 0.015
MAX_CORRECTION_INCREASE = 0.15
"""Largest steps down and up in one interval. A queue after a burst says little about
the next seconds: it drains only as the admitted call trees end, one or two seconds
later. Decreases kept up for that long would then leave slots idle."""

BACKLOG_GAIN = 0.4
MIN_BACKLOG_FACTOR = 0.5
"""Share of the slots that is withheld when as many requests are queued as there are
slots, in proportion for other numbers, and the least share that remains. It follows the
queue at once, whereas the correction is for lasting errors of the estimates."""

MIN_RATE_PER_S = 1e-4
"""Arrival rate below which a class is discarded: no arrivals for half a minute."""

UNREACHABLE_INTERVALS = 1
"""Intervals after which the lack of reachable slots of a service refuses all requests
that need it; a link that is reconnected is back within one."""

MIN_CORRECTION, MAX_CORRECTION = 0.6, 4.0
"""Bounds of the correction. Costs are estimated from completed requests, so they are
too high for some seconds after a service was several times slower."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Reachable slots of a service, and how many of them are in use or requested.

    Attributes:
        slots: slots that requests can use at once.
        used: requests that run or wait.
        paced_slots: the part of ``slots`` at servers that name a rate limit: as many as
            their limits keep in use.
    """

    slots: float
    used: float
    paced_slots: float = 0.0

    @property
    def paced_share(self) -> float:
        """Share of the slots that is bound by rate limits."""
        return self.paced_slots / self.slots if self.slots else 0.0


NO_CAPACITY = Capacity(0.0, 0.0)
"""Capacity of a service without reachable instances."""


@dataclass(slots=True)
class _ClassDemand:
    priority: int
    arrivals: int = 0
    completions: int = 0
    estimated_ms: float = 0.0
    rate_per_s: float | None = None
    slot_s: dict[str, float] = field(default_factory=dict)

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the latest completed request."""
        return now_ms - self.estimated_ms if self.completions else math.inf

    def cost(self) -> dict[str, float]:
        """Return the slot seconds of one request at each service that it needs."""
        return {
            service: slot_s
            for service, slot_s in self.slot_s.items()
            if slot_s > MIN_COST_SLOT_S
        }


class IngressAdmission:
    """Estimates the cost of admission classes and decides which share is admitted.

    The requests of a class have the same route, service and organisation priority, so
    that they cost the same on average.

    Args:
        rng: spreads the trial requests of the sidecars over time.
        worths: worth of a request by its route's priority, the last one for all less
            important priorities; empty for a strict order of priorities.

    Attributes:
        limited_classes: classes that aren't admitted in full, as of the last decision.
        required_slots: slots that the arrivals of all ingress sidecars require, by
            service, as of the last decision.
    """

    def __init__(self, *, rng: random.Random, worths: Sequence[float] = ()):
        self._worths = worths
        self._trials = TrialRequests(rng=rng)
        self.limited_classes: Mapping[str, Allocation] = {}
        self.required_slots: Mapping[str, float] = {}
        self._classes: dict[str, _ClassDemand] = {}
        self._corrections: dict[str, float] = {}
        self._unreachable: dict[str, int] = {}
        self._decided_at_ms: float | None = None
        self._paced_waits_ms: dict[str, float] = {}

    def rate_wait_ms(self, service: str) -> float | None:
        """Return how long a service's rate limits take for one second's demand.

        None if no server of the service names a limit.
        """
        return self._paced_waits_ms.get(service)

    def correction_of(self, service: str) -> float:
        """Return the factor that currently corrects a service's slots."""
        return self._corrections.get(service, 1.0)

    def record_arrival(self, admission_class: str, priority: int) -> None:
        """Count a root request that arrived."""
        demand = self._classes.get(admission_class)
        if demand is None:
            demand = self._classes[admission_class] = _ClassDemand(priority)
        demand.priority = priority
        demand.arrivals += 1

    def record_completed_cost(
        self, admission_class: str, slot_ms: Mapping[str, float], now_ms: float
    ) -> None:
        """Update a class's cost from the slot times of a completed request."""
        demand = self._classes.get(admission_class)
        if demand is None:
            return
        demand.completions += 1
        age_ms = now_ms - demand.estimated_ms
        demand.estimated_ms = now_ms
        gain = max(
            MIN_COST_GAIN, 1 / demand.completions, age_ms / (age_ms + COST_REFRESH_MS)
        )
        if age_ms >= MAX_COST_AGE_MS:
            gain = 1.0
        estimates = demand.slot_s
        for service in dict.fromkeys([*estimates, *slot_ms]):
            measured_s = slot_ms.get(service, 0.0) / 1000
            before_s = estimates.get(service)
            if before_s is None:
                estimates[service] = measured_s
            else:
                estimates[service] = before_s + gain * (measured_s - before_s)

    def record_partial_cost(
        self, admission_class: str, slot_ms: Mapping[str, float]
    ) -> None:
        """Raise a class's cost to the slot times of a request that failed on its way.

        They are a lower bound of what a completed request costs. In an overload that
        begins before any cost is known, such as after a power failure, nearly all
        requests fail, and the few completed ones would give the cost seconds too late.
        """
        demand = self._classes.get(admission_class)
        if demand is None:
            return
        estimates = demand.slot_s
        for service, measured_ms in slot_ms.items():
            before_s = estimates.get(service, 0.0)
            if measured_ms / 1000 > before_s:
                gain = MIN_COST_GAIN if demand.completions else FAILED_COST_GAIN
                estimates[service] = before_s + gain * (measured_ms / 1000 - before_s)

    def find_blocking_service(self, admission_class: str, level: int) -> str | None:
        """Return the service that lacks slots for a request; None if it is admitted."""
        fit = self.limited_classes.get(admission_class)
        if fit is None or level < fit.share * LEVELS:
            return None
        return fit.limiting_resource

    def admits_trial(self, admission_class: str) -> bool:
        """Return whether a request that lacks slots is admitted as a trial request."""
        return self._trials.admit(admission_class)

    def uses_only(self, admission_class: str, service: str) -> bool:
        """Return whether completed requests of a class used one service only."""
        demand = self._classes.get(admission_class)
        if demand is None or not demand.completions:
            return False
        return demand.cost().keys() <= {service}

    def demand(self, now_ms: float) -> list[Claim]:
        """Return the rate and cost of this sidecar's arrivals, by class."""
        return [
            Claim(
                kind=name,
                priority=demand.priority,
                rate_per_s=demand.rate_per_s or 0.0,
                costs=demand.cost(),
                age_ms=demand.age_ms(now_ms),
            )
            for name, demand in self._classes.items()
        ]

    def is_due(self, now_ms: float) -> bool:
        """Return whether the decision interval has ended."""
        if self._decided_at_ms is None:
            self._decided_at_ms = now_ms
        return now_ms - self._decided_at_ms >= INTERVAL_MS

    def decide_shares(
        self,
        capacities: Mapping[str, Capacity],
        now_ms: float,
        fleet_demand: Collection[Claim] = (),
    ) -> None:
        """End an interval: set the share of each class that is admitted.

        Args:
            capacities: reachable slots of each service.
            now_ms: monotonic time.
            fleet_demand: demand of all ingress sidecars, this one included; if it is
                empty, the demand of this sidecar is used alone.
        """
        self._update_rates(now_ms)
        claims = fleet_demand or self.demand(now_ms)
        self.required_slots = _required_slots(claims)
        available_slots = {
            service: self._available_slots(
                service, capacities.get(service, NO_CAPACITY)
            )
            for service in self.required_slots
        }
        self._paced_waits_ms = {
            service: 1000 * slots / capacities[service].slots
            for service, slots in self.required_slots.items()
            if capacities.get(service, NO_CAPACITY).paced_slots
        }
        self.limited_classes = capacity_shares(
            claims,
            {s: slots for s, slots in available_slots.items() if slots is not None},
            self._worth_of if self._worths else None,
        )
        self._trials.set_outdated(
            claim
            for claim in claims
            if claim.kind in self.limited_classes and is_outdated(claim)
        )

    def _worth_of(self, rank: int) -> float:
        return self._worths[min(route_priority_of(rank), len(self._worths) - 1)]

    def _available_slots(self, service: str, capacity: Capacity) -> float | None:
        """Return the slots that admitted requests may use; None for no bound."""
        if not capacity.slots:
            # Failure: a zone is cut off from all servers of a service deep in the call
            # tree. Requests run, their calls find no server, and all work is wasted.
            intervals = self._unreachable[service] = (
                self._unreachable.get(service, 0) + 1
            )
            return 0.0 if intervals > UNREACHABLE_INTERVALS else None
        self._unreachable.pop(service, None)
        factor = self._update_correction(service, capacity) * _backlog_factor(capacity)
        unused_slots = capacity.paced_slots * (1.0 - PLANNED_LIMIT_SHARE)
        return (capacity.slots * PLANNED_SLOT_SHARE - unused_slots) * factor

    def _update_rates(self, now_ms: float) -> None:
        seconds = max(now_ms - (self._decided_at_ms or 0.0), 1.0) / 1000
        self._decided_at_ms = now_ms
        for name, demand in list(self._classes.items()):
            rate_per_s = demand.arrivals / seconds
            demand.arrivals = 0
            if demand.rate_per_s is None:
                demand.rate_per_s = rate_per_s
            demand.rate_per_s += RATE_GAIN * (rate_per_s - demand.rate_per_s)
            if demand.rate_per_s < MIN_RATE_PER_S:
                del self._classes[name]

    def _update_correction(self, service: str, capacity: Capacity) -> float:
        correction = self._corrections.get(service, 1.0)
        utilisation = capacity.used / capacity.slots
        is_full = any(
            fit.limiting_resource == service for fit in self.limited_classes.values()
        )
        if is_full or utilisation > TARGET_UTILISATION:
            step = CORRECTION_GAIN * (TARGET_UTILISATION - utilisation)
        else:
            step = 1.0 - correction
        correction += min(max(step, -MAX_CORRECTION_DECREASE), MAX_CORRECTION_INCREASE)
        # Rate limits don't depend on the estimated costs: correcting them upwards would
        # admit what no server may start.
        maximum = 1.0 + (MAX_CORRECTION - 1.0) * (1.0 - capacity.paced_share)
        correction = self._corrections[service] = min(
            max(correction, MIN_CORRECTION), maximum
        )
        return correction


def _backlog_factor(capacity: Capacity) -> float:
    """Return the share of the slots that remains beside the queued requests."""
    queued_share = max(0.0, capacity.used / capacity.slots - 1.0)
    return max(MIN_BACKLOG_FACTOR, 1.0 - BACKLOG_GAIN * queued_share)


def merge_claims(demands: Iterable[Iterable[Claim]]) -> list[Claim]:
    """Merge the demand of all ingress sidecars into one claim for each kind.

    Each sidecar estimates the cost of a kind by itself; an estimate is weighted by the
    sidecar's arrival rate. Outdated ones count only if there is no recent one.
    """
    by_kind: dict[str, list[Claim]] = defaultdict(list)
    for claim in itertools.chain.from_iterable(demands):
        by_kind[claim.kind].append(claim)
    return [_merge_kind(claims) for claims in by_kind.values()]


def _merge_kind(claims: list[Claim]) -> Claim:
    if len(claims) == 1:
        return claims[0]
    measured = [claim for claim in claims if not is_outdated(claim)] or claims
    measured_per_s = sum(claim.rate_per_s for claim in measured)
    services = dict.fromkeys(service for claim in measured for service in claim.costs)
    return Claim(
        kind=claims[0].kind,
        priority=min(claim.priority for claim in claims),
        rate_per_s=sum(claim.rate_per_s for claim in claims),
        costs={
            service: sum(claim.demand_for(service) for claim in measured)
            / max(measured_per_s, MIN_RATE_PER_S)
            for service in services
        },
        age_ms=min(claim.age_ms for claim in claims),
    )


def _required_slots(claims: Iterable[Claim]) -> dict[str, float]:
    required_slots: dict[str, float] = defaultdict(float)
    for claim in claims:
        for service in claim.costs:
            required_slots[service] += claim.demand_for(service)
    return required_slots
