"""Route table: maps requests to services, with the handling rules of each route."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

from sassafraswinch.organisations import Organisations


@dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Handling rules for requests to one host under one path prefix.

    Attributes:
        name: name that stays the same over all versions of the route table.
        host: value of the ``Host`` field, in lower case, without a port.
        prefix: path prefix; begins and ends with a slash.
        shares: services that run the requests, with their weights.
        idempotent: whether a request may run more than once.
        max_attempts: maximum number of backend servers to which one request is sent.
        timeout_ms: maximum time until the response to the caller.
        target_latency_ms: latency up to which a response has its full value.
        priority: priority of the requests; 0 is the most important.
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
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 65_536
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteTable:
    """One version of all routes.

    Attributes:
        version: version number; never decreases.
        routes: all routes.
        limits: limits on callers' requests.
        known_services: services that backend servers may belong to, in addition to
            those of the routes; empty if the platform doesn't list them.
        health_paths: path of the health check, by service.
        organisations: organisations that may send requests; None if requests need no
            key, and ``Authorization`` is left to the backend servers.
    """

    version: int
    routes: tuple[Route, ...]
    limits: RequestLimits = RequestLimits()
    known_services: frozenset[str] = frozenset()
    health_paths: Mapping[str, str] = field(default_factory=dict)
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
            host: value of the ``Host`` field, with or without a port.
            path: path of the request, with or without a query.
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
        """Names of the services of all routes."""
        shares = itertools.chain.from_iterable(route.shares for route in self.routes)
        return frozenset(share.service for share in shares)


class WeightedRoundRobin:
    """Smooth weighted round-robin over the services of a route.

    Each request adds the weight of every service to that service's credit and goes to
    the service with the highest credit. The request count of each service thus stays
    within 1 of its share, even over few requests, where a random choice would sometimes
    be off by a tenth.
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
