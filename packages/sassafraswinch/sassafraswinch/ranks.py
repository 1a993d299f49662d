"""Ranks of requests: by the priority of the organisation, then by that of the route.

Load pattern: a sustained overload. Within an organisation priority the routes keep
their order, so the lookups of a high-priority organisation still rank below its
approvals, and organisations of equal priority are treated alike.
"""

ROUTE_PRIORITIES = 16
"""Number of distinct route priorities within one organisation priority."""

MAX_RANK = 2**31 - 1
"""Largest rank, which messages carry in 32 bits."""

MAX_ORGANISATION_PRIORITY = MAX_RANK // ROUTE_PRIORITIES
"""Organisation priorities from this one on are treated alike."""


def rank_of(organisation_priority: int | None, route_priority: int) -> int:
    """Return the rank of a root request; 0 is the most important.

    Args:
        organisation_priority: priority of its organisation; None if the organisation
            has none, or is unknown.
        route_priority: priority of its route.
    """
    if organisation_priority is None:
        return min(route_priority, MAX_RANK)
    within = min(route_priority, ROUTE_PRIORITIES - 1)
    priority = min(organisation_priority, MAX_ORGANISATION_PRIORITY)
    return priority * ROUTE_PRIORITIES + within


def route_priority_of(rank: int) -> int:
    """Return the route priority that a rank contains."""
    return rank % ROUTE_PRIORITIES
