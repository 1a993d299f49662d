"""Graph of a short call chain for tests that run real processes."""

from sassafraswinch_standins.answers import MAX_FILLER_BYTES
from sassafraswinch_standins.backend_settings import ChildCall, OperationPlan
from sassafraswinch_standins.graph import Graph, ServicePlan, probe

SLOTS = 128
"""Slots of each server.

A node limits a cold server to a quarter of its slots, which exceeds the requests that
most tests have in flight."""

PATIENT_DEADLINE_MS = 20_000
"""Deadline of class ``patient``: longer than a silent link or a paused node lasts."""

APPROVE = "/schvaleni/orders/{id}/approval"
RELEASE = "/vydej/orders/{id}/release"
ORDER_STATE = "/schvaleni/orders/{id}/state"
STOCK = "/vydej/stock/{id}"
ARCHIVE = "/prehled/archive/{id}"
LOOKUP = "/prehled/orders/{id}"


def chain(
    *,
    approval_ms: float = 20,
    lookup_ms: float = 10,
    servers: int = 2,
    releases: int = 2,
    overview: bool = False,
    slots: int = SLOTS,
) -> Graph:
    """Return a graph in which approvals call releases, with lookups beside them.

    Args:
        approval_ms: service time of an approval, without its child calls.
        lookup_ms: service time of a lookup or release at each hop.
        servers: number of servers of ``schvaleni`` and of ``prehled``, assigned to the
            availability zones in turn.
        releases: number of servers of ``vydej``.
        overview: whether to add a service ``prehled`` that calls ``schvaleni``.
        slots: slots of each server.
    """
    schvaleni = ServicePlan(
        name="schvaleni",
        servers=servers,
        slots=slots,
        operations=(
            _operation(
                "approve-order",
                "POST",
                "/orders/{order}/approval",
                approval_ms,
                ChildCall(service="vydej", method="POST", path="/orders/{id}/release"),
            ),
            _operation(
                "order-state",
                "GET",
                "/orders/{order}/state",
                lookup_ms,
                ChildCall(service="vydej", path="/stock/{id}"),
            ),
            _operation(
                "archive",
                "GET",
                "/archive/{order}",
                lookup_ms,
                _large_archive_call("vydej"),
            ),
            probe("schvaleni"),
        ),
        labels={
            "approve-order": {"action": "approval"},
            "order-state": {"action": "lookup"},
        },
    )
    vydej = ServicePlan(
        name="vydej",
        servers=releases,
        slots=slots,
        operations=(
            _operation("release-order", "POST", "/orders/{order}/release", lookup_ms),
            _operation("stock", "GET", "/stock/{order}", lookup_ms),
            _operation("deep-archive", "GET", "/archive/{order}", lookup_ms),
            probe("vydej"),
        ),
        labels={
            "release-order": {"action": "release"},
            "stock": {"action": "lookup"},
        },
    )
    return Graph(
        services=(
            schvaleni,
            vydej,
            *([_overview_service(servers, slots)] if overview else []),
        ),
        traffic=(),
        organisations={
            "distributor": {"tier": "paying"},
            "carrier": {"tier": "patient"},
            "prospect": {"tier": "trial"},
        },
        callers={
            "buyer": {"organisation": "distributor", "labels": {"role": "buyer"}},
            "dispatcher": {"organisation": "carrier", "labels": {"role": "buyer"}},
            "trial-buyer": {"organisation": "prospect", "labels": {"role": "buyer"}},
        },
        classes=(
            {
                "name": "patient",
                "organisations": "tier=patient",
                "deadline_ms": PATIENT_DEADLINE_MS,
            },
            {"name": "paying", "organisations": "tier=paying", "deadline_ms": 4000},
            {"name": "trial", "organisations": "tier=trial", "deadline_ms": 2000},
            {"name": "rest", "deadline_ms": 2000},
        ),
        non_repeatable=("action in (approval, release)",),
    )


def _overview_service(servers: int, slots: int) -> ServicePlan:
    return ServicePlan(
        name="prehled",
        servers=servers,
        slots=slots,
        operations=(
            _operation(
                "lookup-order",
                "GET",
                "/orders/{order}",
                10,
                ChildCall(service="schvaleni", path="/orders/{id}/state"),
            ),
            _operation(
                "overview-archive",
                "GET",
                "/archive/{order}",
                10,
                _large_archive_call("schvaleni"),
            ),
            probe("prehled"),
        ),
        labels={"lookup-order": {"action": "lookup"}},
    )


def _operation(
    name: str, method: str, path: str, time_ms: float, *calls: ChildCall
) -> OperationPlan:
    return OperationPlan(
        name=name,
        method=method,
        path=path,
        service_time_ms=time_ms,
        sigma=0,
        calls=list(calls),
    )


def _large_archive_call(service: str) -> ChildCall:
    return ChildCall(
        service=service, path="/archive/{id}", answer_bytes=MAX_FILLER_BYTES
    )
