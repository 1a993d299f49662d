"""How large a part of each kind of request several full services carry together.

Load pattern: two services are full at once. Worked out one by one, the requests that
one of them blocks still count against the other, which then refuses work beside empty
slots. Here a kind takes room at a service only for the part that all services admit.

The more important go first. Among equals each arriving request is given the same part
of what is scarce, until a service that its kind needs is full; the others go on. So the
cheaper kinds are admitted more often, no kind is starved by an equal, and no room is
left that anybody could use.
"""

from collections.abc import Collection, Hashable, Mapping
from dataclasses import dataclass

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
    claims: Collection[Claim], rooms: Mapping[Hashable, float]
) -> dict[str, Fit]:
    """Return the kinds that can't be carried in full.

    Args:
        claims: all kinds of request, one for each kind.
        rooms: what the resources carry; one that isn't named has no bound.
    """
    if all(_wanted(claims, each) < room for each, room in rooms.items()):
        return {}
    left = dict(rooms)
    fits: dict[str, Fit] = {}
    for priority in sorted({claim.priority for claim in claims}):
        equals = [claim for claim in claims if claim.priority == priority]
        fits |= _fill(equals, left)
    return fits


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


def _speeds(
    claims: Collection[Claim], left: Mapping[Hashable, float]
) -> dict[str, float]:
    """Return how fast the share of each kind grows, the fastest by 1.

    Each request that arrives is given the same part of what is scarce, so a kind that
    takes half of it is admitted twice as often. That serves more requests, and starves
    no kind.
    """
    scarce = {
        resource: max(room, EPSILON)
        for resource, room in left.items()
        if _wanted(claims, resource) > room
    }
    costs = {
        claim.kind: max(
            (
                claim.needs.get(resource, 0.0) / room
                for resource, room in scarce.items()
            ),
            default=0.0,
        )
        for claim in claims
    }
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
