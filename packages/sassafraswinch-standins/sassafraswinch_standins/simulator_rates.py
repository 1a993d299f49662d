"""Ways to bound what organisations send, over load patterns on a simulated clock."""

import bisect
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import defopt

from sassafraswinch.organisation_rates import (
    FleetUsage,
    OrganisationRates,
    RateRule,
    total_usage,
)
from sassafraswinch.organisations import Organisation, RateLimit

ZONES = 3
STEP_MS = 125.0
"""Pause between two rounds of reports."""

OWN_ZONE_ROUNDS = 1
OTHER_ZONE_ROUNDS = 3
"""Rounds until hosts hear of each other."""

WINDOW_MS = 5_000.0
SLACK = 20.0
RULE = RateRule(window_ms=WINDOW_MS, slack=SLACK)
EXCESS = 1.25
"""What may be let in within a window: as a multiple of the limit, and on top."""

MAX_VIEW_AGE_MS = 2_000.0
COMES_BACK = 0.5
"""Part of refused callers that come back once."""


class Way(Protocol):
    """One host's decisions."""

    def ask(self, organisation: Organisation, now_ms: float) -> float | None:
        """Let a request in (None), or tell when to come back, in milliseconds."""

    def report(self, now_ms: float) -> FleetUsage:
        """Return what is told to the others."""


@dataclass(slots=True, eq=False)
class Host:
    """One host of the simulated fleet."""

    number: int
    zone: int
    way: Way
    up: bool = True
    told: FleetUsage = field(default_factory=FleetUsage)
    told_ms: float = -MAX_VIEW_AGE_MS
    reports: list[FleetUsage] = field(default_factory=list)


class SumsTold:
    """Lets in by the sums of all hosts' counts."""

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._rates = OrganisationRates(
            rule=RULE,
            now_ms=now_ms,
            max_hosts=lambda: len(fleet.hosts),
            fleet_usage=lambda at_ms: fleet.told(number, at_ms),
            random=fleet.rng.random,
        )

    def ask(self, organisation: Organisation, now_ms: float) -> float | None:
        """Let a request in, or tell when to come back (Way)."""
        decision = self._rates.decide_admission(organisation, now_ms)
        if decision is None or decision.admitted:
            self._rates.spend(organisation, now_ms)
            return None
        return self._rates.wait_ms(decision)

    def report(self, now_ms: float) -> FleetUsage:
        """Return the counts of this host (Way)."""
        return self._rates.report(now_ms)


@dataclass(slots=True)
class TokenBucket:
    """Tokens that come at a rate, up to a depth."""

    tokens: float
    filled_ms: float

    def take(self, rate_per_s: float, depth: float, now_ms: float) -> bool:
        """Take a token if there is one."""
        gained = (now_ms - self.filled_ms) / 1000 * rate_per_s
        self.tokens = min(depth, self.tokens + gained)
        self.filled_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class EvenParts:
    """Gives each host the same part of a limit, whatever the others do."""

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._fleet = fleet
        self._buckets: dict[str, TokenBucket] = {}

    def ask(self, organisation: Organisation, now_ms: float) -> float | None:
        """Let a request in, or tell when to come back (Way)."""
        limit = organisation.limit
        hosts = len(self._fleet.hosts)
        bucket = self._buckets.setdefault(
            organisation.name, TokenBucket(self._fleet.rng.random(), now_ms)
        )
        depth = max(1.0, limit.burst / hosts)
        if bucket.take(limit.rate_per_s / hosts, depth, now_ms):
            return None
        return 1_000.0

    def report(self, now_ms: float) -> FleetUsage:
        """Tell nothing (Way)."""
        return FleetUsage()


class HomeHost:
    """Asks an organisation's home host for each token.

    The home is drawn by rendezvous hashing among the hosts that can be reached. It
    hands out the part of the limit that these hosts are of all.
    """

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._fleet = fleet
        self._number = number
        self.buckets: dict[str, TokenBucket] = {}

    def ask(self, organisation: Organisation, now_ms: float) -> float | None:
        """Let a request in, or tell when to come back (Way)."""
        reached = self._fleet.reached(self._number)
        home = max(
            reached, key=lambda host: hash((organisation.name, host.number * 7919))
        )
        self._fleet.messages += 0 if home.number == self._number else 2
        limit = organisation.limit
        part = len(reached) / len(self._fleet.hosts)
        bucket = home.way.buckets.setdefault(organisation.name, TokenBucket(0, now_ms))
        depth = max(1.0, limit.burst * part)
        if bucket.take(limit.rate_per_s * part, depth, now_ms):
            return None
        return 1_000.0

    def report(self, now_ms: float) -> FleetUsage:
        """Tell nothing (Way)."""
        return FleetUsage()


WAYS: dict[str, Callable[..., Way]] = {
    "even parts": EvenParts,
    "home host": HomeHost,
    "sums told": SumsTold,
}


class RatesFleet:
    """Hosts in zones, and what they are told of each other.

    Args:
        hosts: how many there are.
        way: their decisions.
        rng: source of chance.
        limits: limits of the organisations; hosts are told of those near theirs.
    """

    def __init__(
        self,
        *,
        hosts: int,
        way: Callable[..., Way],
        rng: random.Random,
        limits: Mapping[str, RateLimit],
    ):
        self.rng = rng
        self.limits = limits
        self.now_ms = 0.0
        self.messages = 0
        self.cut_zone: int | None = None
        self._way = way
        self.hosts: list[Host] = []
        for number in range(hosts):
            made = way(fleet=self, number=number, now_ms=-WINDOW_MS)
            self.hosts.append(Host(number, number % ZONES, made))

    def told(self, number: int, now_ms: float) -> FleetUsage:
        """Return what a host is told."""
        host = self.hosts[number]
        return host.told if now_ms - host.told_ms < MAX_VIEW_AGE_MS else FleetUsage()

    def reached(self, number: int) -> list[Host]:
        """Return the hosts that one reaches."""
        zone = self.hosts[number].zone
        return [h for h in self.hosts if h.up and self._joined(h.zone, zone)]

    def restart(self, hosts: Sequence[Host]) -> None:
        """Start hosts without memory."""
        for host in hosts:
            host.way = self._way(fleet=self, number=host.number, now_ms=self.now_ms)
            host.reports = []
            host.told = FleetUsage()
            host.told_ms = -MAX_VIEW_AGE_MS

    def tell(self) -> None:
        """Do one round of reports."""
        for host in self.hosts:
            host.reports = [*host.reports, host.way.report(self.now_ms)][-4:]
        by_zone = [
            [
                self._zone_sum(zone, rounds)
                for rounds in (OWN_ZONE_ROUNDS, OTHER_ZONE_ROUNDS)
            ]
            for zone in range(ZONES)
        ]
        for zone in range(ZONES):
            told = total_usage(
                by_zone[other][0 if other == zone else 1]
                for other in range(ZONES)
                if self._joined(zone, other)
            )
            told = self._near_limits(told)
            for host in self.hosts:
                if host.zone == zone and host.up and host.reports:
                    host.told, host.told_ms = told, self.now_ms

    def _near_limits(self, told: FleetUsage) -> FleetUsage:
        near = {
            name: use
            for name, use in told.uses.items()
            if RULE.is_near(self.limits[name], use)
        }
        return FleetUsage(near, told.hosts, told.unknown_ms)

    def _zone_sum(self, zone: int, rounds: int) -> FleetUsage:
        return total_usage(
            host.reports[-rounds]
            for host in self.hosts
            if host.zone == zone and host.up and len(host.reports) >= rounds
        )

    def _joined(self, one: int, other: int) -> bool:
        return one == other or self.cut_zone not in (one, other)


@dataclass(frozen=True, slots=True, kw_only=True)
class RatesPattern:
    """What organisations send, and what happens to the hosts.

    Attributes:
        factor: multiple of the usual that all send.
        flood: multiple that the largest one, and a small one, send on top.
        flood_s: when they do.
        cut_s: when a zone is cut off.
        kill_s: when all hosts are killed and start again.
        fall_s: when all limits fall to a tenth.
    """

    factor: float = 1.0
    flood: float = 1.0
    flood_s: tuple[float, float] = (4.0, 12.0)
    cut_s: tuple[float, float] = (99.0, 99.0)
    kill_s: float = 99.0
    fall_s: float = 99.0


RATE_PATTERNS = {
    "calm": RatesPattern(),
    "burst 1.6": RatesPattern(factor=1.6),
    "all at 1.8": RatesPattern(factor=1.8),
    "flood 8": RatesPattern(flood=8.0),
    "flood 8 in a burst": RatesPattern(factor=1.6, flood=8.0),
    "flood 8, zone cut": RatesPattern(flood=8.0, cut_s=(5.0, 11.0)),
    "flood 8, cut and healed": RatesPattern(flood=8.0, cut_s=(2.0, 7.0)),
    "flood 8, all killed": RatesPattern(flood=8.0, kill_s=7.0),
    "limit falls": RatesPattern(fall_s=6.0),
}


@dataclass(slots=True)
class RatesResult:
    """What a run showed.

    Attributes:
        worst: greatest part of what the rule allows that was let in within a window.
        refused_below: part of the first requests below their limit that were refused.
        messages: messages between hosts for each request.
    """

    worst: float
    refused_below: float
    messages: float


def organisations_of(count: int, per_s: float) -> list[tuple[Organisation, float]]:
    """Return organisations, a few of them large, and their usual rates."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    total = sum(weights)
    listed = []
    for rank, weight in enumerate(weights):
        usual = per_s * weight / total
        limit = RateLimit(rate_per_s=1.6 * usual, burst=1.6 * usual)
        listed.append((Organisation(name=f"o{rank}", limit=limit), usual))
    return listed


def play_rates(
    *,
    pattern: RatesPattern,
    way: Callable[..., Way],
    hosts: int,
    organisations: int,
    per_s: float,
    seed: int,
    seconds: float = 14.0,
    report_steps: int = 1,
) -> RatesResult:
    """Play a pattern once; hosts report every so many steps."""
    rng = random.Random(seed)
    listed = organisations_of(organisations, per_s)
    fleet = RatesFleet(
        hosts=hosts, way=way, rng=rng, limits={o.name: o.limit for o, _ in listed}
    )
    flooding = {listed[0][0].name, listed[organisations // 3][0].name}
    let_in: dict[str, list[float]] = defaultdict(list)
    owed: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    limits = {o.name: TokenBucket(o.limit.burst, 0.0) for o, _ in listed}
    returns: list[tuple[float, Organisation, int]] = []
    killed = False
    steps = int(seconds * 1000 / STEP_MS)
    requests = 0
    for step in range(steps):
        fleet.now_ms = step * STEP_MS
        second = fleet.now_ms / 1000
        cut = pattern.cut_s[0] <= second < pattern.cut_s[1]
        fleet.cut_zone = 0 if cut else None
        if second >= pattern.fall_s:
            fleet.limits = {o.name: _fallen(o).limit for o, _ in listed}
        if second >= pattern.kill_s and not killed:
            killed = True
            fleet.restart(fleet.hosts)
        if step % report_steps == 0:
            fleet.tell()
        due = [each for each in returns if each[0] < fleet.now_ms + STEP_MS]
        returns = [each for each in returns if each[0] >= fleet.now_ms + STEP_MS]
        arrivals = [(at_ms, o, number, False) for at_ms, o, number in due]
        for organisation, usual in listed:
            rate = usual * pattern.factor
            flooded = pattern.flood_s[0] <= second < pattern.flood_s[1]
            if flooded and organisation.name in flooding:
                rate *= pattern.flood
            arrivals += [
                (
                    fleet.now_ms + rng.random() * STEP_MS,
                    organisation,
                    rng.randrange(hosts),
                    True,
                )
                for _ in range(_poisson(rng, rate * STEP_MS / 1000))
            ]
        for at_ms, asking, number, first in sorted(arrivals, key=lambda each: each[0]):
            organisation = asking
            if second >= pattern.fall_s:
                organisation = _fallen(asking)
            limit = organisation.limit
            below = first and limits[asking.name].take(
                limit.rate_per_s, limit.burst, at_ms
            )
            owed[asking.name] += below
            requests += first
            wait_ms = fleet.hosts[number].way.ask(organisation, at_ms)
            if wait_ms is None:
                let_in[asking.name].append(at_ms)
                continue
            refused[asking.name] += below
            if first and rng.random() < COMES_BACK:
                returns.append((at_ms + wait_ms, asking, number))
    after_ms = pattern.fall_s * 1000
    falls = after_ms < seconds * 1000
    worst = max(
        worst_window(
            let_in[each.name],
            (_fallen(each) if falls else each).limit,
            after_ms if falls else 0.0,
        )
        for each, _ in listed
    )
    return RatesResult(
        worst, refused.total() / max(owed.total(), 1), fleet.messages / max(requests, 1)
    )


def _fallen(organisation: Organisation) -> Organisation:
    limit = organisation.limit
    tenth = RateLimit(rate_per_s=limit.rate_per_s / 10, burst=limit.burst / 10)
    return Organisation(name=organisation.name, limit=tenth)


def worst_window(at_ms: list[float], limit: RateLimit, after_ms: float) -> float:
    """Return the greatest part of what a window allows that was let in.

    A limit that has fallen binds in the windows that begin after it fell.
    """
    allowed = (limit.rate_per_s * WINDOW_MS / 1000 + limit.burst) * EXCESS + SLACK
    times = [at for at in sorted(at_ms) if at >= after_ms]
    counts = (
        bisect.bisect_left(times, at + WINDOW_MS) - index
        for index, at in enumerate(times)
    )
    return max(counts, default=0) / allowed


def _poisson(rng: random.Random, mean: float) -> int:
    if mean > 30:
        return max(0, round(rng.gauss(mean, mean**0.5)))
    count = 0
    passed = rng.expovariate(1.0)
    while passed < mean:
        count += 1
        passed += rng.expovariate(1.0)
    return count


def simulate_rates(
    *,
    hosts: int = 78,
    organisations: int = 81,
    per_s: float = 1_200.0,
    seeds: int = 3,
    report_steps: int = 1,
) -> None:
    """Play all patterns over all ways, and print the worst of all seeds.

    Args:
        hosts: size of the fleet.
        organisations: how many there are.
        per_s: usual requests of all of them.
        seeds: runs of each.
        report_steps: steps of 125 ms between two reports of a host; six in zones of
            94 hosts.
    """
    print("pattern | way | worst part of the rule | refused below | messages a request")
    for (name, pattern), (way_name, way) in itertools.product(
        RATE_PATTERNS.items(), WAYS.items()
    ):
        played = [
            play_rates(
                pattern=pattern,
                way=way,
                hosts=hosts,
                organisations=organisations,
                per_s=per_s,
                seed=seed,
                report_steps=report_steps,
            )
            for seed in range(1, seeds + 1)
        ]
        worst = max(each.worst for each in played)
        below = sum(each.refused_below for each in played) / seeds
        messages = sum(each.messages for each in played) / seeds
        print(f"{name} | {way_name} | {worst:.2f} | {below:.4f} | {messages:.2f}")


if __name__ == "__main__":
    defopt.run(simulate_rates)
