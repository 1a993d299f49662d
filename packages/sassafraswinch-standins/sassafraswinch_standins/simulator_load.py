"""Load patterns of the simulation: call graphs, rates and disturbances."""

from dataclasses import dataclass, field, replace
from types import MappingProxyType

from sassafraswinch_sidecar.routes import Route, Share


@dataclass(frozen=True, slots=True, kw_only=True)
class Calls:
    """Child calls that a running request makes.

    Attributes:
        kind: kind of the child calls.
        times: number of calls.
        in_parallel: whether all calls of the request are made in parallel.
    """

    kind: str
    times: int
    in_parallel: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Kind of request; kinds that are only called by servers have no rate or worth.

    Attributes:
        service: service that runs the request.
        priority: 0 is the most important.
        rate_per_s: arrival rate of requests of callers, summed over all hosts.
        work_ms: mean work time at a server of mean speed, without child calls.
        target_ms: time within which a response earns the full worth.
        timeout_ms: timeout of the route.
        patience_ms: time after which callers no longer retry.
        idempotent: whether the request may run more than once.
        worth: credit of a response in time.
        late_worth: credit of a later response.
        calls: child calls, in order.
    """

    service: str
    priority: int
    rate_per_s: float = 0.0
    work_ms: float
    target_ms: float
    timeout_ms: float
    patience_ms: float
    idempotent: bool = True
    worth: float = 0.0
    late_worth: float = 0.0
    calls: tuple[Calls, ...] = ()


def route_of(name: str, kind: Kind) -> Route:
    """Return the route of a kind of request."""
    return Route(
        name=name,
        host="",
        prefix="/",
        shares=(Share(service=kind.service, weight=1.0),),
        idempotent=kind.idempotent,
        max_attempts=2,
        timeout_ms=kind.timeout_ms,
        target_latency_ms=kind.target_ms,
        priority=kind.priority,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerGroup:
    """Backend servers of one service.

    Attributes:
        servers: number of servers.
        slots: slots of each server.
        speeds: work times as multiples of the mean, assigned to the servers in turn.
    """

    servers: int
    slots: int
    speeds: tuple[float, ...] = (1.0,)


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """Disturbance that is active for a limited time.

    Attributes:
        from_s: start.
        until_s: end.
        load: factor on the arrival rates.
        shed_share: share of requests that the servers refuse without running them.
        work_time_factor: factor on the work times of the service.
        service: affected service; empty if only the load or the callers change.
        unreachable_servers: number of unreachable servers of the service, its first.
        abuse_share: share of callers that ignore Retry-After and retry three times more
            than others, without waiting.
        crashes_per_s: rate of server crashes that no request causes.
        fatal_per_s: rate of copies of one request that crashes each server running it.
        rate_limit_per_s: rate limit that servers of the service name.
        limited_servers: number of servers that name it, the first of the service.
    """

    from_s: float
    until_s: float
    load: float = 1.0
    service: str = ""
    shed_share: float = 0.0
    work_time_factor: float = 1.0
    unreachable_servers: int = 0
    abuse_share: float = 0.0
    crashes_per_s: float = 0.0
    fatal_per_s: float = 0.0
    rate_limit_per_s: float | None = None
    limited_servers: int = 0

    def is_active(self, now_ms: float) -> bool:
        """Return whether the disturbance is active."""
        return self.from_s * 1000 <= now_ms < self.until_s * 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Pattern:
    """Call graph and the load on it.

    Attributes:
        services: servers by service.
        kinds: kinds of request by name.
        load: factor on the arrival rates.
        disturbances: disturbances.
        worths: worth by priority that ingress sidecars admit by; empty for strict
            priority order.
    """

    services: MappingProxyType[str, ServerGroup]
    kinds: MappingProxyType[str, Kind]
    load: float = 1.0
    disturbances: tuple[Disturbance, ...] = field(default=())
    worths: tuple[float, ...] = ()

    def load_at(self, now_ms: float) -> float:
        """Return the current factor on the arrival rates."""
        factor = self.load
        for disturbance in self.disturbances:
            factor *= disturbance.load if disturbance.is_active(now_ms) else 1.0
        return factor

    def of_service(self, service: str, now_ms: float) -> list[Disturbance]:
        """Return the active disturbances of a service."""
        return [
            s for s in self.disturbances if s.service == service and s.is_active(now_ms)
        ]

    def abuse_share(self, now_ms: float) -> float:
        """Return the current share of callers that ignore Retry-After."""
        return max(
            (s.abuse_share for s in self.disturbances if s.is_active(now_ms)),
            default=0.0,
        )


SHARED_LEAF_PATTERN = Pattern(
    services=MappingProxyType(
        {
            "front": ServerGroup(servers=5, slots=120, speeds=(0.5, 1.0, 1.0, 1.5)),
            "plan": ServerGroup(servers=4, slots=150, speeds=(0.6, 1.0, 1.4)),
            "field": ServerGroup(servers=3, slots=200, speeds=(0.5, 1.0, 1.5)),
            "office": ServerGroup(servers=3, slots=37, speeds=(0.6, 1.0, 1.4)),
        }
    ),
    kinds=MappingProxyType(
        {
            "view": Kind(
                service="front",
                priority=2,
                rate_per_s=256.0,
                work_ms=120.0,
                target_ms=1_500.0,
                timeout_ms=800.0,
                patience_ms=5_000.0,
                worth=1.0,
                late_worth=0.1,
                calls=(Calls(kind="stock", times=2, in_parallel=True),),
            ),
            "book": Kind(
                service="plan",
                priority=0,
                rate_per_s=119.0,
                work_ms=160.0,
                target_ms=1_500.0,
                timeout_ms=1_000.0,
                patience_ms=5_000.0,
                idempotent=False,
                worth=3.0,
                late_worth=0.2,
                calls=(Calls(kind="survey", times=2),),
            ),
            "confirm": Kind(
                service="field",
                priority=0,
                rate_per_s=100.0,
                work_ms=84.0,
                target_ms=250.0,
                timeout_ms=1_000.0,
                patience_ms=1_000.0,
                idempotent=False,
                worth=3.0,
                late_worth=0.3,
            ),
            "file": Kind(
                service="office",
                priority=2,
                rate_per_s=36.9,
                work_ms=96.0,
                target_ms=300.0,
                timeout_ms=1_200.0,
                patience_ms=1_200.0,
                idempotent=False,
                worth=1.0,
                late_worth=0.1,
            ),
            "stock": Kind(
                service="plan",
                priority=0,
                work_ms=15.0,
                target_ms=1_000.0,
                timeout_ms=2_500.0,
                patience_ms=2_500.0,
                calls=(Calls(kind="survey", times=1),),
            ),
            "survey": Kind(
                service="field",
                priority=0,
                work_ms=15.0,
                target_ms=800.0,
                timeout_ms=2_000.0,
                patience_ms=2_000.0,
                calls=(Calls(kind="permit", times=4),),
            ),
            "permit": Kind(
                service="office",
                priority=0,
                work_ms=30.0,
                target_ms=300.0,
                timeout_ms=700.0,
                patience_ms=700.0,
            ),
        }
    ),
)
"""Two kinds of call tree fill one small leaf service; a third kind calls only it."""

PRIORITY_LEAF_PATTERN = Pattern(
    worths=(3.0, 2.0, 1.0),
    services=MappingProxyType(
        {
            "archive": ServerGroup(servers=8, slots=41, speeds=(0.6, 1.0, 1.4)),
            "approval": ServerGroup(servers=12, slots=27, speeds=(0.6, 1.0, 1.4)),
            "release": ServerGroup(servers=4, slots=94, speeds=(0.6, 1.0, 1.4)),
            "status": ServerGroup(servers=4, slots=14, speeds=(0.7, 0.7, 1.6)),
        }
    ),
    kinds=MappingProxyType(
        {
            "history": Kind(
                service="archive",
                priority=2,
                rate_per_s=136.0,
                work_ms=93.0,
                target_ms=1_201.0,
                timeout_ms=2_500.0,
                patience_ms=5_002.0,
                worth=1.0,
                late_worth=0.3,
                calls=(Calls(kind="budget", times=1),),
            ),
            "approve": Kind(
                service="approval",
                priority=0,
                rate_per_s=146.0,
                work_ms=120.0,
                target_ms=1_501.0,
                timeout_ms=2_500.0,
                patience_ms=5_002.0,
                idempotent=False,
                worth=3.0,
                late_worth=0.6,
                calls=(Calls(kind="supplier", times=2),),
            ),
            "issue": Kind(
                service="release",
                priority=0,
                rate_per_s=36.0,
                work_ms=65.0,
                target_ms=201.0,
                timeout_ms=800.0,
                patience_ms=805.0,
                idempotent=False,
                worth=3.0,
                late_worth=0.9,
            ),
            "check": Kind(
                service="status",
                priority=1,
                rate_per_s=161.0,
                work_ms=38.4,
                target_ms=155.0,
                timeout_ms=600.0,
                patience_ms=602.0,
                worth=2.0,
                late_worth=0.6,
            ),
            "budget": Kind(
                service="approval",
                priority=0,
                work_ms=15.0,
                target_ms=1_000.0,
                timeout_ms=2_500.0,
                patience_ms=2_500.0,
                calls=(Calls(kind="supplier", times=1),),
            ),
            "supplier": Kind(
                service="release",
                priority=0,
                work_ms=15.0,
                target_ms=800.0,
                timeout_ms=2_000.0,
                patience_ms=2_000.0,
                calls=(Calls(kind="price", times=4),),
            ),
            "price": Kind(
                service="status",
                priority=0,
                work_ms=23.9,
                target_ms=303.0,
                timeout_ms=701.0,
                patience_ms=701.0,
            ),
        }
    ),
)
"""High-priority call trees fill the deepest service; short requests call only it."""

PATTERNS: dict[str, Pattern] = {
    "leading": replace(
        PRIORITY_LEAF_PATTERN,
        disturbances=(Disturbance(from_s=0.3, until_s=14, load=2.1),),
    ),
    "leading-shed": replace(
        PRIORITY_LEAF_PATTERN,
        load=1.6,
        disturbances=(
            Disturbance(from_s=6, until_s=14, service="status", shed_share=0.55),
        ),
    ),
    "surge": replace(
        SHARED_LEAF_PATTERN,
        load=1.35,
        disturbances=(
            Disturbance(from_s=3, until_s=13, load=1.6),
            Disturbance(from_s=5, until_s=9, abuse_share=0.4),
        ),
    ),
    "part-shed": replace(
        SHARED_LEAF_PATTERN,
        load=1.35,
        disturbances=(
            Disturbance(from_s=8, until_s=16, service="office", shed_share=0.55),
        ),
    ),
    "out-of-reach": replace(
        SHARED_LEAF_PATTERN,
        load=1.35,
        disturbances=(
            Disturbance(from_s=5, until_s=11, service="field", unreachable_servers=3),
        ),
    ),
    "slower": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(from_s=5, until_s=11, service="office", work_time_factor=4.0),
        ),
    ),
    "two-full": replace(
        SHARED_LEAF_PATTERN,
        load=1.35,
        disturbances=(
            Disturbance(from_s=4, until_s=14, service="plan", work_time_factor=3.0),
        ),
    ),
    "from-nothing": replace(SHARED_LEAF_PATTERN, load=1.8),
    "power-back": replace(
        SHARED_LEAF_PATTERN,
        load=1.1,
        disturbances=(
            Disturbance(from_s=0, until_s=0.7, load=2.5),
            *(
                Disturbance(from_s=0, until_s=3, service=service, work_time_factor=2.0)
                for service in SHARED_LEAF_PATTERN.services
            ),
        ),
    ),
    "crashes": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(from_s=4, until_s=12, service="front", crashes_per_s=1.5),
        ),
    ),
    "fatal": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(from_s=4, until_s=12, service="front", fatal_per_s=4.0),
        ),
    ),
    "fatal-and-crashes": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(from_s=4, until_s=12, service="front", fatal_per_s=4.0),
            Disturbance(from_s=4, until_s=12, service="front", crashes_per_s=1.0),
        ),
    ),
    "fatal-in-surge": replace(
        SHARED_LEAF_PATTERN,
        load=1.35,
        disturbances=(
            Disturbance(from_s=3, until_s=13, load=1.6),
            Disturbance(from_s=4, until_s=12, service="front", fatal_per_s=4.0),
        ),
    ),
    "limited": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(
                from_s=3,
                until_s=13,
                service="front",
                rate_limit_per_s=12.4,
                limited_servers=2,
            ),
        ),
    ),
    "all-limited": replace(
        SHARED_LEAF_PATTERN,
        disturbances=(
            Disturbance(
                from_s=3,
                until_s=13,
                service="front",
                rate_limit_per_s=20.0,
                limited_servers=5,
            ),
        ),
    ),
    "server-lost": replace(
        SHARED_LEAF_PATTERN,
        load=1.1,
        disturbances=(
            Disturbance(from_s=5, until_s=11, service="office", unreachable_servers=1),
        ),
    ),
}
"""Load patterns by name."""
