"""Routes: which service runs a request, and how it may be handled."""

import itertools
from dataclasses import dataclass, field

from sassafraswinch.organisations import Organisations


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """A service's part of the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests of one host below one path prefix are handled.

    Attributes:
        name: stable name; versions of a route keep it.
        host: value of the ``Host`` field, in lower case, without a port.
        prefix: path prefix; begins and ends with a slash.
        shares: services that the requests are spread over.
        idempotent: whether a request may run more than once.
        max_attempts: backend servers to which one request may be sent.
        timeout_ms: longest time that a caller is kept waiting.
        target_latency_ms: time within which an answer has its full worth.
        priority: rank of the requests; 0 is the most important.
        public: whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    max_attempts: int
    timeout_ms: float
    target_latency_ms: float
    priority: int
    public: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on what callers may send."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One version of all routes.

    Attributes:
        version: never falls.
        routes: all routes.
        limits: bounds on what callers may send.
        known_services: services that servers may belong to, besides those that a
            route leads to; empty where the platform doesn't list them.
        organisations: who may send requests; None where anybody may, and keys are the
            backend servers' own concern.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits = RequestLimits()
    known_services: frozenset[str] = frozenset()
    organisations: Organisations | None = field(default=None, compare=False)
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self):
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Args:
            host: value of the ``Host`` field, perhaps with a port.
            path: path of the request, perhaps with a query.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def server_services(self) -> frozenset[str]:
        """Names of all services that servers may belong to; empty if not listed."""
        return self.known_services and self.known_services | self.services

    @property
    def services(self) -> frozenset[str]:
        """Names of all services that a route leads to."""
        shares = itertools.chain.from_iterable(route.shares for route in self.routes)
        return frozenset(share.service for share in shares)


class WeightedRoundRobin:
    """Spreads the requests of split routes by weight.

    Each request adds every weight to its part's credit and goes to the part with the
    most. So each part's count stays within one of its share, also over few requests,
    where random choice would miss the share by a tenth now and then.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {share.service for share in shares}:
            credits = self._credits[route.name] = {s.service: 0.0 for s in shares}
        total = sum(share.weight for share in shares)
        for share in shares:
            credits[share.service] += share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen
