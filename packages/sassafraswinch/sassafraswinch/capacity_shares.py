"""How large a part of each kind of request several full services carry together.

Load pattern: two services are full at once. Worked out one by one, the requests that
one of them blocks still count against the other, which then refuses work beside empty
slots. Here a kind takes room at a service only for the part that all services admit.

The more important go first. Among equals each arriving request is given the same part
of what is scarce, until a service that its kind needs is full; the others go on. So the
cheaper kinds are admitted more often, no kind is starved by an equal, and no room is
left that anybody could use.
"""

from collections.abc import Callable, Collection, Hashable, Mapping
from dataclasses import dataclass

from sassafraswinch.ranks import ROUTE_PRIORITIES

Worth = Callable[[int], float]
"""Worth of a request, by its priority."""

EPSILON = 1e-9
"""Rounding error of room and shares that counts as none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """What one kind of request asks of all services.

    Attributes:
        kind: names it.
        priority: 0 is the most important.
        rate_per_s: requests that arrive.
        needs: room that one request takes for a second, by resource.
    """

    kind: str
    priority: int
    rate_per_s: float
    needs: Mapping[Hashable, float]

    def wanted(self, resource: Hashable) -> float:
        """Return the room that all its requests would take."""
        return self.rate_per_s * self.needs.get(resource, 0.0)


@dataclass(frozen=True, slots=True)
class Fit:
    """The part of a kind that is carried, from 0 to 1, and what it lacks for more."""

    share: float
    lacks: Hashable


def fitting_shares(
    claims: Collection[Claim],
    rooms: Mapping[Hashable, float],
    worth_of: Worth | None = None,
) -> dict[str, Fit]:
    """Return the kinds that can't be carried in full.

    Args:
        claims: all kinds of request, one for each kind.
        rooms: what the resources carry; one that isn't named has no bound.
        worth_of: worth of a request by its priority; without it the more important
            go first, however little room the others take.
    """
    if all(_wanted(claims, each) < room for each, room in rooms.items()):
        return {}
    left = dict(rooms)
    fits: dict[str, Fit] = {}
    for tier in _tiers(claims, rooms, worth_of):
        fits |= _fill(tier, left)
    return fits


def _tiers(
    claims: Collection[Claim],
    rooms: Mapping[Hashable, float],
    worth_of: Worth | None,
) -> list[list[Claim]]:
    """Return the claims that are filled together, the first ones first.

    Load pattern: a few large important trees fill a service that many small, less
    important requests need. Each such tree takes the room of several of them. A less
    important kind that is worth more for its room joins the tier above and gets the
    same share: it is never refused less often than what is more important.
    """
    priorities = sorted({claim.priority for claim in claims})
    groups = [[c for c in claims if c.priority == each] for each in priorities]
    if worth_of is None:
        return groups
    costs = _scarce_costs(claims, rooms)
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
    """Return whether a tier is worth more for its room than the one above it.

    Organisations of a higher priority keep their place.
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


def _wanted(claims: Collection[Claim], resource: Hashable) -> float:
    return sum(claim.wanted(resource) for claim in claims)


def _fill(claims: list[Claim], left: dict[Hashable, float]) -> dict[str, Fit]:
    """Raise the shares of equals together, and take what they need off ``left``."""
    fits: dict[str, Fit] = {}
    shares = dict.fromkeys((claim.kind for claim in claims), 0.0)
    speeds = _speeds(claims, left)
    growing = claims
    while growing := _carried(growing, left, shares, fits):
        step = min((1.0 - shares[c.kind]) / speeds[c.kind] for c in growing)
        takes = {
            resource: sum(speeds[c.kind] * c.wanted(resource) for c in growing)
            for resource in left
        }
        fitting = (left[resource] / take for resource, take in takes.items() if take)
        step = min([step, *fitting])
        for resource, take in takes.items():
            left[resource] -= step * take
        for claim in growing:
            shares[claim.kind] += step * speeds[claim.kind]
        growing = [c for c in growing if shares[c.kind] < 1.0 - EPSILON]
    return fits


def _scarce_costs(
    claims: Collection[Claim], left: Mapping[Hashable, float]
) -> dict[str, float]:
    """Return the part of a scarce resource that one request a second takes."""
    scarce = {
        resource: max(room, EPSILON)
        for resource, room in left.items()
        if _wanted(claims, resource) > room
    }
    return {
        claim.kind: max(
            (
                claim.needs.get(resource, 0.0) / room
                for resource, room in scarce.items()
            ),
            default=0.0,
        )
        for claim in claims
    }


def _speeds(
    claims: Collection[Claim], left: Mapping[Hashable, float]
) -> dict[str, float]:
    """Return how fast the share of each kind grows, the fastest by 1.

    Each request that arrives is given the same part of what is scarce, so a kind that
    takes half of it is admitted twice as often. That serves more requests, and starves
    no kind. Kinds of several priorities grow alike, so that none overtakes a more
    important one.
    """
    if len({claim.priority for claim in claims}) > 1:
        return dict.fromkeys((claim.kind for claim in claims), 1.0)
    costs = _scarce_costs(claims, left)
    least = min((cost for cost in costs.values() if cost), default=1.0)
    return {kind: least / cost if cost else 1.0 for kind, cost in costs.items()}


def _carried(
    growing: list[Claim],
    left: Mapping[Hashable, float],
    shares: Mapping[str, float],
    fits: dict[str, Fit],
) -> list[Claim]:
    """Return the kinds that no full resource stops, and note the share of the others.

    A kind of which nothing arrives is stopped as well: its next request must be.
    """
    full = [resource for resource, room in left.items() if room <= EPSILON]
    going_on = []
    for claim in growing:
        lacks = [resource for resource in full if claim.needs.get(resource, 0.0)]
        if lacks:
            fits[claim.kind] = Fit(shares[claim.kind], lacks[0])
        else:
            going_on.append(claim)
    return going_on
