"""How large a part of each kind of request several full services carry together.

Load pattern: two services are full at once. Worked out one by one, the requests that
one of them blocks still count against the other, which then refuses work beside empty
slots. Here a kind takes room at a service only for the part that all services admit.

The more important go first. Among equals every kind is admitted in the same part until
a service that it needs is full; the others go on. So no kind is starved by an equal,
and no room is left that anybody could use.
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
    if all(_wanted(claims, each) <= room for each, room in rooms.items()):
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
    growing = claims
    share = 0.0
    while growing := _carried(growing, left, share, fits):
        speeds = {resource: _wanted(growing, resource) for resource in left}
        step = min(
            (left[resource] / speed for resource, speed in speeds.items() if speed),
            default=1.0,
        )
        step = min(step, 1.0 - share)
        for resource, speed in speeds.items():
            left[resource] -= step * speed
        share += step
        if share >= 1.0 - EPSILON:
            break
    return fits


def _carried(
    growing: list[Claim],
    left: Mapping[Hashable, float],
    share: float,
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
            fits[claim.kind] = Fit(share, lacks[0])
        else:
            going_on.append(claim)
    return going_on
