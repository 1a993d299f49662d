"""Ranks of requests: the priority of the organisation first, then that of the route.

Load pattern: a lasting overload. Within an organisation's priority the routes keep
their order, so an organisation that goes first does not put its lookups level with its
approvals, and organisations of one priority are equals.
"""

ROUTE_PRIORITIES = 16
"""Priorities of routes that are told apart within one of organisations."""


def rank_of(organisation_priority: int | None, route_priority: int) -> int:
    """Return the rank of a root request, 0 the first.

    Args:
        organisation_priority: None where the organisation has none, or is unknown.
        route_priority: priority of its route.
    """
    if organisation_priority is None:
        return route_priority
    within = min(route_priority, ROUTE_PRIORITIES - 1)
    return organisation_priority * ROUTE_PRIORITIES + within


def route_priority_of(rank: int) -> int:
    """Return the priority of the route that a rank was made of."""
    return rank % ROUTE_PRIORITIES
