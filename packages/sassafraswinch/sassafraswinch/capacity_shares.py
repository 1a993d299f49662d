"""Shares of each kind of request that several saturated services admit together.

Load pattern: two services are full at once. Computed service by service, the requests
that one of them blocks still count against the other, which then refuses requests
although it has empty slots. Here a kind uses capacity at a service only for the share
that all services admit.

The more important kinds go first. Among kinds of equal priority each arriving request
is given the same part of the scarce capacity, until a service on which its kind depends
is full; the others continue (progressive filling). So cheaper kinds are admitted more
often, no kind is starved by an equal one, and no usable capacity is left over.
"""

from collections.abc import Callable, Collection, Hashable, Mapping
from dataclasses import dataclass

from sassafraswinch.ranks import ROUTE_PRIORITIES

Worth = Callable[[int], float]
"""Worth of a request, by its priority."""

EPSILON = 1e-9
"""Capacities and shares up to this value are rounding errors and count as zero."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Demand of one kind of request on all services.

    Attributes:
        kind: name of the kind.
        priority: 0 is the most important.
        rate_per_s: arrival rate of its requests.
        costs: cost of one request per second, as capacity used by resource.
        age_ms: time since the costs were last measured; infinite if they never were
            from a completed request.
    """

    kind: str
    priority: int
    rate_per_s: float
    costs: Mapping[Hashable, float]
    age_ms: float = 0.0

    def demand_for(self, resource: Hashable) -> float:
        """Return the capacity of a resource that all its requests would use."""
        return self.rate_per_s * self.costs.get(resource, 0.0)


@dataclass(frozen=True, slots=True)
class Allocation:
    """Admitted share of a kind, from 0 to 1, and the resource that limits it."""

    share: float
    limiting_resource: Hashable


def capacity_shares(
    claims: Collection[Claim],
    capacities: Mapping[Hashable, float],
    worth_of: Worth | None = None,
) -> dict[str, Allocation]:
    """Return the admitted share of each kind that can't be served in full.

    Args:
        claims: all kinds of request, one claim for each kind.
        capacities: capacity by resource; a resource that is not listed is unbounded.
        worth_of: worth of a request by its priority; without it the more important
            kinds go first, however little capacity the others use.
    """
    if not any(
        _is_full(capacity - _total_demand(claims, resource))
        for resource, capacity in capacities.items()
    ):
        return {}
    left = dict(capacities)
    allocations: dict[str, Allocation] = {}
    for tier in _tiers(claims, capacities, worth_of):
        allocations |= _fill(tier, left)
    return allocations


def _tiers(
    claims: Collection[Claim],
    capacities: Mapping[Hashable, float],
    worth_of: Worth | None,
) -> list[list[Claim]]:
    """Return the claims that are filled together, the first ones first.

    Load pattern: a few large important call trees fill a service on which many small,
    less important requests depend. Each such call tree uses the capacity of several of
    them. A less important kind that is worth more for its capacity joins the tier above
    and gets the same share: a more important kind is never refused less often than it.
    """
    priorities = sorted({claim.priority for claim in claims})
    groups = [[c for c in claims if c.priority == each] for each in priorities]
    if worth_of is None:
        return groups
    costs = _scarce_costs(claims, capacities)
    tiers: list[list[Claim]] = []
    for group in groups:
        tier = [claim for claim in group if costs[claim.kind]]
        while tiers and _joins(tier, tiers[-1], costs, worth_of):
            tier = [*tiers.pop(), *tier]
        if tier:
            tiers.append(tier)
    return [[claim for claim in claims if not costs[claim.kind]], *tiers]


def _joins(
    tier: list[Claim],
    above: list[Claim],
    costs: Mapping[str, float],
    worth_of: Worth,
) -> bool:
    """Return whether a tier is worth more for its capacity than the one above it.

    Tiers of different organisation priorities are never joined.
    """
    if not tier or _organisation_priority(tier) != _organisation_priority(above):
        return False
    return _density(tier, costs, worth_of) > _density(above, costs, worth_of)


def _organisation_priority(tier: list[Claim]) -> int:
    return tier[-1].priority // ROUTE_PRIORITIES


def _density(tier: list[Claim], costs: Mapping[str, float], worth_of: Worth) -> float:
    worth = sum(claim.rate_per_s * worth_of(claim.priority) for claim in tier)
    cost = sum(claim.rate_per_s * costs[claim.kind] for claim in tier)
    return worth / cost if cost else 0.0


def _is_full(left: float) -> bool:
    """Return whether a resource of which so much is left admits no further request.

    A kind without arrivals uses nothing, and is refused where nothing is left. So the
    answer must not depend on whether other kinds need a resource that is full.
    """
    return left <= EPSILON


def _total_demand(claims: Collection[Claim], resource: Hashable) -> float:
    return sum(claim.demand_for(resource) for claim in claims)


def _fill(claims: list[Claim], left: dict[Hashable, float]) -> dict[str, Allocation]:
    """Raise the shares of the claims together, and deduct their usage from ``left``."""
    allocations: dict[str, Allocation] = {}
    shares = dict.fromkeys((claim.kind for claim in claims), 0.0)
    speeds = _growth_rates(claims, left)
    growing = claims
    while growing := _unblocked(growing, left, shares, allocations):
        step = min((1.0 - shares[c.kind]) / speeds[c.kind] for c in growing)
        usage = {
            resource: sum(speeds[c.kind] * c.demand_for(resource) for c in growing)
            for resource in left
        }
        fitting = (left[resource] / used for resource, used in usage.items() if used)
        step = min([step, *fitting])
        for resource, used in usage.items():
            left[resource] -= step * used
        for claim in growing:
            shares[claim.kind] += step * speeds[claim.kind]
        growing = [c for c in growing if shares[c.kind] < 1.0 - EPSILON]
    return allocations


def _scarce_costs(
    claims: Collection[Claim], left: Mapping[Hashable, float]
) -> dict[str, float]:
    """Return the largest share of a scarce resource that one request/s of a kind uses.

    A resource is scarce if it is full with all that the claims demand of it.
    """
    scarce = {
        resource: max(capacity, EPSILON)
        for resource, capacity in left.items()
        if _is_full(capacity - _total_demand(claims, resource))
    }
    return {
        claim.kind: max(
            (
                claim.costs.get(resource, 0.0) / capacity
                for resource, capacity in scarce.items()
            ),
            default=0.0,
        )
        for claim in claims
    }


def _growth_rates(
    claims: Collection[Claim], left: Mapping[Hashable, float]
) -> dict[str, float]:
    """Return the rate at which the share of each kind grows, 1 for the fastest.

    Each arriving request is given the same part of the scarce capacity, so a kind that
    costs half as much is admitted twice as often. That serves more requests and starves
    no kind. In a tier of several priorities all kinds grow at the same rate, so that
    none overtakes a more important one.
    """
    if len({claim.priority for claim in claims}) > 1:
        return dict.fromkeys((claim.kind for claim in claims), 1.0)
    costs = _scarce_costs(claims, left)
    least = min((cost for cost in costs.values() if cost), default=1.0)
    return {kind: least / cost if cost else 1.0 for kind, cost in costs.items()}


def _unblocked(
    growing: list[Claim],
    left: Mapping[Hashable, float],
    shares: Mapping[str, float],
    allocations: dict[str, Allocation],
) -> list[Claim]:
    """Return the kinds that no full resource blocks; record the share of the others.

    A kind with no arrivals is blocked as well: its next request must be refused.
    """
    full = [resource for resource, capacity in left.items() if _is_full(capacity)]
    unblocked = []
    for claim in growing:
        blocking = [resource for resource in full if claim.costs.get(resource, 0.0)]
        if blocking:
            allocations[claim.kind] = Allocation(shares[claim.kind], blocking[0])
        else:
            unblocked.append(claim)
    return unblocked
