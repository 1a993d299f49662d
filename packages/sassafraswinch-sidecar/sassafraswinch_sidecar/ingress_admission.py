"""Which root requests are refused at their entry, before any work is done for them.

A root request leads to a tree of calls, and a refusal deep in it wastes the tree. So
the entry works out what the tree takes at each service, and admits as many root
requests, the most important first, as all services can carry to the end. All entries
see the same demand and capacity and so refuse the same part of the requests.
"""

import itertools
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from sassafraswinch.fitting_shares import Claim, Fit, fitting_shares
from sassafraswinch.ranks import route_priority_of

LEVELS = 1_000
"""A request draws one at random and keeps it down its tree: it is admitted if the
share of its route is greater."""

TARGET_SHARE = 0.97
"""Part of a service's slots that admitted requests may take before the correction.
Arrivals are uneven: the rest keeps the queue short."""

LEARN_GAIN = 0.04
"""Least weight of one answer in the slot time of a route: the last 25."""

LEARN_MS = 1_000.0
"""Age of what was learnt at which the next answer weighs as much as all before it.

Load pattern: a service is several times slower for some seconds, and few requests are
let in. By a number of answers alone it would look slow for seconds more."""

FIRST_GAIN = 0.3
"""Weight of one failed request while no whole one has been answered."""

RATE_GAIN = 0.3
"""Weight of one interval in the arrival rates: with 250 ms, about a second."""

INTERVAL_MS = 250.0
"""Time between two decisions; demand is told about as often."""

MIN_SLOTS = 0.002
"""Slot seconds of a route at a service below which it doesn't need the service."""

AIM_SHARE = 1.0
"""Measured use of the slots, waiting requests included, that the correction aims at:
demand that no entry knows, such as that of running trees, shows in it. Calls wait in
order of their importance, so a few that wait cost less than slots left empty."""

TRIM_GAIN = 0.3
"""Step of the correction in an interval, as share of the distance from the aim. What
is admitted shows in the use up to a second later; a greater gain swings."""

MAX_TRIM_FALL = 0.015
MAX_TRIM_RISE = 0.15
"""Longest steps down and up. A queue after a burst says little of the next seconds: it
empties only as the trees that were let in end, a second or two later. Falls as long as
the rises would leave slots empty in that time."""

BACKLOG_GAIN = 0.4
MIN_BACKLOG_FACTOR = 0.5
"""Part of the room that is taken back for each time that the slots are in use once more
by waiting requests, and what is left at least. It comes and goes with the queue, while
the correction is for lasting errors of the estimates."""

MIN_RATE_PER_S = 1e-4
"""Arrivals below which a route is forgotten: none for half a minute."""

ABSENT_INTERVALS = 1
"""Intervals after which a service without reachable slots refuses all that needs it;
a link that is dialled anew is back within one."""

MIN_TRIM, MAX_TRIM = 0.6, 4.0
"""Bounds of the correction. What requests need is learnt from whole answers, so after a
service was several times slower it is overrated for seconds."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of a service that can be reached, and how many are in use."""

    slots: float
    used: float


NO_CAPACITY = Capacity(0.0, 0.0)
"""Nothing of a service can be reached."""


@dataclass(slots=True)
class _RouteDemand:
    priority: int
    offered: int = 0
    answers: int = 0
    learnt_ms: float = 0.0
    rate_per_s: float | None = None
    slot_s: dict[str, float] = field(default_factory=dict)

    def needs(self) -> dict[str, float]:
        """Return the slot seconds of one request at the services that it needs."""
        return {s: slot_s for s, slot_s in self.slot_s.items() if slot_s > MIN_SLOTS}


class EntryAdmission:
    """Learns what routes need, and refuses what can't be carried to the end.

    Args:
        worths: worth of a request by its route's priority, the last one for all that
            are less important; empty for a strict order of priorities.

    Attributes:
        fits: the routes that aren't admitted in full, as of the last decision.
        wanted: slots that all entries' arrivals need, by service, as of then.
    """

    def __init__(self, *, worths: Sequence[float] = ()):
        self._worths = worths
        self.fits: Mapping[str, Fit] = {}
        self.wanted: Mapping[str, float] = {}
        self._routes: dict[str, _RouteDemand] = {}
        self._trims: dict[str, float] = {}
        self._without: dict[str, int] = {}
        self._decided_at_ms: float | None = None

    def trim_of(self, service: str) -> float:
        """Return the correction to a service's slots that is in force."""
        return self._trims.get(service, 1.0)

    def offered(self, route: str, priority: int) -> None:
        """Count a root request that arrived."""
        demand = self._routes.get(route)
        if demand is None:
            demand = self._routes[route] = _RouteDemand(priority)
        demand.priority = priority
        demand.offered += 1

    def learn(self, route: str, slot_ms: Mapping[str, float], now_ms: float) -> None:
        """Take in the slot time that one answered request took, by service."""
        demand = self._routes.get(route)
        if demand is None:
            return
        demand.answers += 1
        age_ms = now_ms - demand.learnt_ms
        demand.learnt_ms = now_ms
        gain = max(LEARN_GAIN, 1 / demand.answers, age_ms / (age_ms + LEARN_MS))
        known = demand.slot_s
        for service in dict.fromkeys([*known, *slot_ms]):
            taken_s = slot_ms.get(service, 0.0) / 1000
            before_s = known.get(service)
            if before_s is None:
                known[service] = taken_s
            else:
                known[service] = before_s + gain * (taken_s - before_s)

    def learn_at_least(self, route: str, slot_ms: Mapping[str, float]) -> None:
        """Take in the slot time of a request that failed on its way.

        It says the least that a whole one takes. Under an overload that begins before
        anything is known, as after a loss of power, nearly all requests fail, and the
        few whole ones would tell what they need seconds too late.
        """
        demand = self._routes.get(route)
        if demand is None:
            return
        known = demand.slot_s
        for service, taken_ms in slot_ms.items():
            before_s = known.get(service, 0.0)
            if taken_ms / 1000 > before_s:
                gain = LEARN_GAIN if demand.answers else FIRST_GAIN
                known[service] = before_s + gain * (taken_ms / 1000 - before_s)

    def blocking(self, route: str, level: int) -> str | None:
        """Return a service that can't carry the request, None if it may go on."""
        fit = self.fits.get(route)
        if fit is None or level < fit.share * LEVELS:
            return None
        return fit.lacks

    def needs_only(self, route: str, service: str) -> bool:
        """Return whether a route's whole answers took slots of one service alone."""
        demand = self._routes.get(route)
        if demand is None or not demand.answers:
            return False
        return demand.needs().keys() <= {service}

    def demand(self) -> list[Claim]:
        """Return what this entry's arrivals need, by route."""
        return [
            Claim(
                kind=name,
                priority=route.priority,
                rate_per_s=route.rate_per_s or 0.0,
                needs=route.needs(),
            )
            for name, route in self._routes.items()
        ]

    def due(self, now_ms: float) -> bool:
        """Return whether an interval has ended."""
        if self._decided_at_ms is None:
            self._decided_at_ms = now_ms
        return now_ms - self._decided_at_ms >= INTERVAL_MS

    def decide(
        self,
        capacities: Mapping[str, Capacity],
        now_ms: float,
        told: Collection[Claim] = (),
    ) -> None:
        """End an interval: set the share of each route that is admitted.

        Args:
            capacities: slots of each service that can be reached.
            now_ms: monotonic time.
            told: what all entries' arrivals need, this one's included; without it
                those of this entry count alone.
        """
        self._measure(now_ms)
        claims = told or self.demand()
        self.wanted = _wanted(claims)
        rooms = {
            service: self._room(service, capacities.get(service, NO_CAPACITY))
            for service in self.wanted
        }
        self.fits = fitting_shares(
            claims,
            {s: room for s, room in rooms.items() if room is not None},
            self._worth_of if self._worths else None,
        )

    def _worth_of(self, rank: int) -> float:
        return self._worths[min(route_priority_of(rank), len(self._worths) - 1)]

    def _room(self, service: str, capacity: Capacity) -> float | None:
        """Return the slots that admitted requests may take; None for no bound."""
        if not capacity.slots:
            # Failure: a zone is cut off from all servers of a service deep in the
            # tree. Requests run, their calls find no server, and all is wasted.
            intervals = self._without[service] = self._without.get(service, 0) + 1
            return 0.0 if intervals > ABSENT_INTERVALS else None
        self._without.pop(service, None)
        trim = self._trim(service, capacity) * _backlog_factor(capacity)
        return capacity.slots * TARGET_SHARE * trim

    def _measure(self, now_ms: float) -> None:
        seconds = max(now_ms - (self._decided_at_ms or 0.0), 1.0) / 1000
        self._decided_at_ms = now_ms
        for name, route in list(self._routes.items()):
            rate_per_s = route.offered / seconds
            route.offered = 0
            if route.rate_per_s is None:
                route.rate_per_s = rate_per_s
            route.rate_per_s += RATE_GAIN * (rate_per_s - route.rate_per_s)
            if route.rate_per_s < MIN_RATE_PER_S:
                del self._routes[name]

    def _trim(self, service: str, capacity: Capacity) -> float:
        trim = self._trims.get(service, 1.0)
        use = capacity.used / capacity.slots
        is_full = any(fit.lacks == service for fit in self.fits.values())
        if is_full or use > AIM_SHARE:
            step = TRIM_GAIN * (AIM_SHARE - use)
        else:
            step = 1.0 - trim
        trim += min(max(step, -MAX_TRIM_FALL), MAX_TRIM_RISE)
        trim = self._trims[service] = min(max(trim, MIN_TRIM), MAX_TRIM)
        return trim


def _backlog_factor(capacity: Capacity) -> float:
    """Return the part of the room that is left beside the requests that wait."""
    waiting_share = max(0.0, capacity.used / capacity.slots - 1.0)
    return max(MIN_BACKLOG_FACTOR, 1.0 - BACKLOG_GAIN * waiting_share)


def merge_claims(demands: Iterable[Iterable[Claim]]) -> list[Claim]:
    """Return one claim for each kind from those of all entries.

    Entries learn what a kind needs each for itself; the estimate of one where more
    arrive counts for more.
    """
    by_kind: dict[str, list[Claim]] = defaultdict(list)
    for claim in itertools.chain.from_iterable(demands):
        by_kind[claim.kind].append(claim)
    return [_merged(claims) for claims in by_kind.values()]


def _merged(claims: list[Claim]) -> Claim:
    if len(claims) == 1:
        return claims[0]
    rate_per_s = sum(claim.rate_per_s for claim in claims)
    services = dict.fromkeys(service for claim in claims for service in claim.needs)
    return Claim(
        kind=claims[0].kind,
        priority=min(claim.priority for claim in claims),
        rate_per_s=rate_per_s,
        needs={
            service: sum(claim.wanted(service) for claim in claims)
            / max(rate_per_s, MIN_RATE_PER_S)
            for service in services
        },
    )


def _wanted(claims: Iterable[Claim]) -> dict[str, float]:
    wanted: dict[str, float] = defaultdict(float)
    for claim in claims:
        for service in claim.needs:
            wanted[service] += claim.wanted(service)
    return wanted
