"""Service call graphs for the stand-ins, and the Brno graph scaled to one host."""

from dataclasses import dataclass
from typing import Any

from sassafraswinch_standins.backend_settings import ChildCall, OperationPlan
from sassafraswinch_standins.caller_settings import Traffic

AVAILABILITY_ZONES = ("brno-a", "brno-b", "ostrava-c")

CONNECTIONS_PER_SLOT = 7
"""Connections that a server accepts for each slot, as on the specified hosts."""

RECORD_BYTES = 300
"""Size of an archive record in a response."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlan:
    """A service: its servers, the slots of each server, and its operations."""

    name: str
    servers: int
    slots: int
    operations: tuple[OperationPlan, ...]
    labels: dict[str, dict[str, str]]
    """Labels by operation name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Graph:
    """Services, traffic, callers and priority classes of one fleet."""

    services: tuple[ServicePlan, ...]
    traffic: tuple[Traffic, ...]
    organisations: dict[str, dict[str, str]]
    callers: dict[str, dict[str, Any]]
    classes: tuple[dict[str, Any], ...]
    non_repeatable: tuple[str, ...] = ()
    """Label selectors of operations that must not be retried after they ran."""

    def service(self, name: str) -> ServicePlan:
        """Return a service by name."""
        return next(service for service in self.services if service.name == name)

    def operation(self, service: str, method: str, path: str) -> OperationPlan:
        """Return the operation of a service that matches a method and path."""
        return next(
            plan
            for plan in self.service(service).operations
            if plan.method == method and plan.pattern().fullmatch(path)
        )

    def document(self, *, version: int = 1) -> dict[str, Any]:
        """Return the platform's configuration document for this graph."""
        return {
            "version": version,
            "identity": {
                "caller_header": "x-caller-id",
                "organisation_header": "x-organisation-id",
            },
            "organisations": {
                name: {"labels": labels} for name, labels in self.organisations.items()
            },
            "callers": self.callers,
            "services": {
                s.name: {
                    "slots": s.slots,
                    "connections": CONNECTIONS_PER_SLOT * s.slots,
                }
                for s in self.services
            },
            "operations": [
                {
                    "name": plan.name,
                    "service": service.name,
                    "method": plan.method,
                    "path": plan.path,
                    "labels": service.labels.get(plan.name, {}),
                }
                for service in self.services
                for plan in service.operations
            ],
            "classes": list(self.classes),
            "non_repeatable": list(self.non_repeatable),
            "retry": {"allowance": 3, "caller_share_percent": 10},
        }


READ_RECORD = ChildCall(
    service="archiv", path="/records/{id}", answer_bytes=RECORD_BYTES
)
APPEND_RECORD = ChildCall(
    service="archiv", method="POST", path="/records/{id}", answer_bytes=RECORD_BYTES
)
ORDER_STATE = ChildCall(service="schvaleni", path="/orders/{id}/state")


def probe(service: str) -> OperationPlan:
    """Return the operation that a fleet calls to check that a service is reachable."""
    return OperationPlan(name=f"probe-{service}", path="/probe", service_time_ms=1)


def brno(*, servers: int = 3) -> Graph:
    """Return the Brno graph.

    ``archiv``, the deepest service, is the bottleneck. A lookup makes one call to it
    and an approval or release two, so three servers sustain about 230 requests per
    second of the traffic mix below.

    Args:
        servers: number of servers of each service, assigned to the availability zones
            in turn.
    """
    archiv = ServicePlan(
        name="archiv",
        servers=servers,
        slots=4,
        operations=(
            OperationPlan(
                name="read-record", path="/records/{record}", service_time_ms=40
            ),
            OperationPlan(
                name="append-record",
                method="POST",
                path="/records/{record}",
                service_time_ms=40,
            ),
            probe("archiv"),
        ),
        labels={
            "read-record": {"action": "lookup"},
            "append-record": {"action": "append"},
        },
    )
    schvaleni = ServicePlan(
        name="schvaleni",
        servers=servers,
        slots=8,
        operations=(
            OperationPlan(
                name="approve-order",
                method="POST",
                path="/orders/{order}/approval",
                service_time_ms=20,
                calls=[READ_RECORD, APPEND_RECORD],
            ),
            OperationPlan(
                name="order-state",
                path="/orders/{order}/state",
                service_time_ms=10,
                calls=[READ_RECORD],
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
        servers=servers,
        slots=6,
        operations=(
            OperationPlan(
                name="release-order",
                method="POST",
                path="/orders/{order}/release",
                service_time_ms=20,
                calls=[ORDER_STATE, APPEND_RECORD],
            ),
            probe("vydej"),
        ),
        labels={"release-order": {"action": "release"}},
    )
    prehled = ServicePlan(
        name="prehled",
        servers=servers,
        slots=8,
        operations=(
            OperationPlan(
                name="lookup-order",
                path="/orders/{order}",
                service_time_ms=15,
                calls=[ORDER_STATE],
            ),
            probe("prehled"),
        ),
        labels={"lookup-order": {"action": "lookup"}},
    )
    return Graph(
        services=(archiv, schvaleni, vydej, prehled),
        traffic=_brno_traffic(),
        organisations={
            "distributor": {"tier": "paying"},
            "prospect": {"tier": "trial"},
        },
        callers={
            "approver": {"organisation": "distributor", "labels": {"role": "approver"}},
            "buyer": {"organisation": "distributor", "labels": {"role": "buyer"}},
            "trial-buyer": {"organisation": "prospect", "labels": {"role": "buyer"}},
        },
        classes=(
            {
                "name": "paying-actions",
                "organisations": "tier=paying",
                "operations": "action in (approval, release)",
                "deadline_ms": 4000,
                "objective": {"answered_percent": 99.5, "latency_ms": 1500},
            },
            {
                "name": "paying-lookups",
                "organisations": "tier=paying",
                "deadline_ms": 2000,
                "objective": {"answered_percent": 99.0, "latency_ms": 1000},
            },
            {"name": "trial", "organisations": "tier=trial", "deadline_ms": 2000},
            {"name": "rest", "deadline_ms": 2000},
        ),
        non_repeatable=("action in (approval, release)",),
    )


def _brno_traffic() -> tuple[Traffic, ...]:
    return (
        Traffic(
            name="approve",
            class_name="paying-actions",
            weight=20,
            service="schvaleni",
            method="POST",
            path="/orders/{id}/approval",
            caller_id="approver",
            organisation_id="distributor",
            non_repeatable=True,
        ),
        Traffic(
            name="release",
            class_name="paying-actions",
            weight=10,
            service="vydej",
            method="POST",
            path="/orders/{id}/release",
            caller_id="approver",
            organisation_id="distributor",
            non_repeatable=True,
        ),
        Traffic(
            name="paying-lookup",
            class_name="paying-lookups",
            weight=15,
            service="prehled",
            path="/orders/{id}",
            caller_id="buyer",
            organisation_id="distributor",
            patience_ms=2000,
            objective_ms=1000,
        ),
        Traffic(
            name="trial-lookup",
            class_name="trial",
            weight=55,
            service="prehled",
            path="/orders/{id}",
            caller_id="trial-buyer",
            organisation_id="prospect",
            patience_ms=2000,
            objective_ms=2000,
        ),
    )
