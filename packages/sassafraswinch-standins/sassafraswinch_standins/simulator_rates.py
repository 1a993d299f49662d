"""Simulation of rate limiters for organisations, over load patterns."""

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
"""Time between two rounds of reports."""

OWN_ZONE_REPORT_ROUNDS = 1
OTHER_ZONE_REPORT_ROUNDS = 3
"""Rounds after which a host receives reports of its own and of other zones."""

WINDOW_MS = 5_000.0
SLACK = 20.0
RULE = RateRule(window_ms=WINDOW_MS, slack=SLACK)
EXCESS = 1.25
"""Admissions allowed within a window: ``EXCESS`` times the limit plus ``SLACK``."""

MAX_VIEW_AGE_MS = 2_000.0
REFUSED_RETRY_SHARE = 0.5
"""Share of refused callers that retry once."""


class HostRateLimiter(Protocol):
    """Rate limiter of one host."""

    def request_admission(
        self, organisation: Organisation, now_ms: float
    ) -> float | None:
        """Return None to admit a request, or the delay in ms until a retry."""

    def report(self, now_ms: float) -> FleetUsage:
        """Return the usage counts that are reported to other hosts."""


@dataclass(slots=True, eq=False)
class Host:
    """Host of the simulated fleet.

    Attributes:
        number: index of the host in the fleet.
        zone: index of its zone.
        rate_limiter: its rate limiter.
        up: whether it exchanges reports.
        last_reported: usage in the fleet as last received.
        reported_ms: time at which it was received.
        reports: latest reports of the host, oldest first.
    """

    number: int
    zone: int
    rate_limiter: HostRateLimiter
    up: bool = True
    last_reported: FleetUsage = field(default_factory=FleetUsage)
    reported_ms: float = -MAX_VIEW_AGE_MS
    reports: list[FleetUsage] = field(default_factory=list)


class SharedTotalsLimiter:
    """Rate limiter that admits by the total of all hosts' counts."""

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._rates = OrganisationRates(
            rule=RULE,
            now_ms=now_ms,
            max_hosts=lambda: len(fleet.hosts),
            fleet_usage=lambda at_ms: fleet.last_reported_usage(number, at_ms),
            random=fleet.rng.random,
        )

    def request_admission(
        self, organisation: Organisation, now_ms: float
    ) -> float | None:
        """Admit a request or return a retry delay (see ``HostRateLimiter``)."""
        decision = self._rates.decide_admission(organisation, now_ms)
        if decision is None or decision.admitted:
            self._rates.spend(organisation, now_ms)
            return None
        return self._rates.wait_ms(decision)

    def report(self, now_ms: float) -> FleetUsage:
        """Return the counts of this host (see ``HostRateLimiter``)."""
        return self._rates.report(now_ms)


@dataclass(slots=True)
class TokenBucket:
    """Token bucket, refilled at a rate up to a depth."""

    tokens: float
    filled_ms: float

    def take(self, rate_per_s: float, depth: float, now_ms: float) -> bool:
        """Take a token if one is left, and return whether it was."""
        gained = (now_ms - self.filled_ms) / 1000 * rate_per_s
        self.tokens = min(depth, self.tokens + gained)
        self.filled_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class EqualSharesLimiter:
    """Rate limiter that gives each host an equal share of a limit."""

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._fleet = fleet
        self._buckets: dict[str, TokenBucket] = {}

    def request_admission(
        self, organisation: Organisation, now_ms: float
    ) -> float | None:
        """Admit a request or return a retry delay (see ``HostRateLimiter``)."""
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
        """Return no counts (see ``HostRateLimiter``)."""
        return FleetUsage()


class HomeHostLimiter:
    """Rate limiter that requests each token from the organisation's home host.

    The home host is chosen by rendezvous hashing among the reachable hosts. It
    grants the share of the limit that these hosts are of the whole fleet.
    """

    def __init__(self, *, fleet: "RatesFleet", number: int, now_ms: float):
        self._fleet = fleet
        self._number = number
        self.buckets: dict[str, TokenBucket] = {}

    def request_admission(
        self, organisation: Organisation, now_ms: float
    ) -> float | None:
        """Admit a request or return a retry delay (see ``HostRateLimiter``)."""
        reachable = self._fleet.reachable_hosts(self._number)
        home = max(
            reachable, key=lambda host: hash((organisation.name, host.number * 7919))
        )
        self._fleet.messages += 0 if home.number == self._number else 2
        limit = organisation.limit
        share = len(reachable) / len(self._fleet.hosts)
        bucket = home.rate_limiter.buckets.setdefault(
            organisation.name, TokenBucket(0, now_ms)
        )
        depth = max(1.0, limit.burst * share)
        if bucket.take(limit.rate_per_s * share, depth, now_ms):
            return None
        return 1_000.0

    def report(self, now_ms: float) -> FleetUsage:
        """Return no counts (see ``HostRateLimiter``)."""
        return FleetUsage()


RATE_LIMITERS: dict[str, Callable[..., HostRateLimiter]] = {
    "equal shares": EqualSharesLimiter,
    "home host": HomeHostLimiter,
    "shared totals": SharedTotalsLimiter,
}


class RatesFleet:
    """Simulated hosts in zones, which exchange usage reports.

    Args:
        hosts: number of hosts.
        limiter_class: class of their rate limiters.
        rng: source of random choices.
        limits: limits by organisation; hosts receive the usage of those near theirs.
    """

    def __init__(
        self,
        *,
        hosts: int,
        limiter_class: Callable[..., HostRateLimiter],
        rng: random.Random,
        limits: Mapping[str, RateLimit],
    ):
        self.rng = rng
        self.limits = limits
        self.now_ms = 0.0
        self.messages = 0
        self.partitioned_zone: int | None = None
        self._limiter_class = limiter_class
        self.hosts: list[Host] = []
        for number in range(hosts):
            limiter = limiter_class(fleet=self, number=number, now_ms=-WINDOW_MS)
            self.hosts.append(Host(number, number % ZONES, limiter))

    def last_reported_usage(self, number: int, now_ms: float) -> FleetUsage:
        """Return the usage that a host last received; empty if it is outdated."""
        host = self.hosts[number]
        return (
            host.last_reported
            if now_ms - host.reported_ms < MAX_VIEW_AGE_MS
            else FleetUsage()
        )

    def reachable_hosts(self, number: int) -> list[Host]:
        """Return the hosts that a host can reach."""
        zone = self.hosts[number].zone
        return [h for h in self.hosts if h.up and self._are_connected(h.zone, zone)]

    def restart(self, hosts: Sequence[Host]) -> None:
        """Restart hosts with empty state."""
        for host in hosts:
            host.rate_limiter = self._limiter_class(
                fleet=self, number=host.number, now_ms=self.now_ms
            )
            host.reports = []
            host.last_reported = FleetUsage()
            host.reported_ms = -MAX_VIEW_AGE_MS

    def run_report_round(self) -> None:
        """Run one round of reports."""
        for host in self.hosts:
            host.reports = [*host.reports, host.rate_limiter.report(self.now_ms)][-4:]
        zone_totals = [
            [
                self._zone_total(zone, rounds)
                for rounds in (OWN_ZONE_REPORT_ROUNDS, OTHER_ZONE_REPORT_ROUNDS)
            ]
            for zone in range(ZONES)
        ]
        for zone in range(ZONES):
            usage = total_usage(
                zone_totals[other][0 if other == zone else 1]
                for other in range(ZONES)
                if self._are_connected(zone, other)
            )
            usage = self._near_limits(usage)
            for host in self.hosts:
                if host.zone == zone and host.up and host.reports:
                    host.last_reported, host.reported_ms = usage, self.now_ms

    def _near_limits(self, usage: FleetUsage) -> FleetUsage:
        near = {
            name: use
            for name, use in usage.uses.items()
            if RULE.is_near(self.limits[name], use)
        }
        return FleetUsage(near, usage.hosts, usage.unknown_ms)

    def _zone_total(self, zone: int, rounds: int) -> FleetUsage:
        return total_usage(
            host.reports[-rounds]
            for host in self.hosts
            if host.zone == zone and host.up and len(host.reports) >= rounds
        )

    def _are_connected(self, one: int, other: int) -> bool:
        return one == other or self.partitioned_zone not in (one, other)


@dataclass(frozen=True, slots=True, kw_only=True)
class RatesPattern:
    """Load of organisations and faults of the fleet.

    Attributes:
        factor: factor on the usual rates of all organisations.
        flood: further factor for the largest organisation and a small one.
        flood_s: start and end of the flood.
        partition_s: start and end of the network partition of one zone.
        restart_s: time at which all hosts are killed and restarted.
        limit_drop_s: time from which all limits are a tenth.
    """

    factor: float = 1.0
    flood: float = 1.0
    flood_s: tuple[float, float] = (4.0, 12.0)
    partition_s: tuple[float, float] = (99.0, 99.0)
    restart_s: float = 99.0
    limit_drop_s: float = 99.0


RATE_PATTERNS = {
    "calm": RatesPattern(),
    "burst 1.6": RatesPattern(factor=1.6),
    "all at 1.8": RatesPattern(factor=1.8),
    "flood 8": RatesPattern(flood=8.0),
    "flood 8 in a burst": RatesPattern(factor=1.6, flood=8.0),
    "flood 8, zone cut": RatesPattern(flood=8.0, partition_s=(5.0, 11.0)),
    "flood 8, cut and healed": RatesPattern(flood=8.0, partition_s=(2.0, 7.0)),
    "flood 8, all killed": RatesPattern(flood=8.0, restart_s=7.0),
    "limit falls": RatesPattern(limit_drop_s=6.0),
}


@dataclass(slots=True)
class RatesResult:
    """Result of a run.

    Attributes:
        worst: largest ratio of admitted to allowed requests within a window.
        refused_below_limit: share of first requests below the limit that were refused.
        messages: messages between hosts per request.
    """

    worst: float
    refused_below_limit: float
    messages: float


def organisations_of(count: int, per_s: float) -> list[tuple[Organisation, float]]:
    """Return organisations, a few of them large, with their usual rates."""
    weights = [1.0 / (rank + 1) for rank in range(count)]
    total = sum(weights)
    organisations = []
    for rank, weight in enumerate(weights):
        usual = per_s * weight / total
        limit = RateLimit(rate_per_s=1.6 * usual, burst=1.6 * usual)
        organisations.append((Organisation(name=f"o{rank}", limit=limit), usual))
    return organisations


def play_rates(
    *,
    pattern: RatesPattern,
    limiter_class: Callable[..., HostRateLimiter],
    hosts: int,
    organisations: int,
    per_s: float,
    seed: int,
    seconds: float = 14.0,
    report_steps: int = 1,
) -> RatesResult:
    """Run a pattern once; hosts report every ``report_steps`` steps."""
    rng = random.Random(seed)
    listed = organisations_of(organisations, per_s)
    fleet = RatesFleet(
        hosts=hosts,
        limiter_class=limiter_class,
        rng=rng,
        limits={o.name: o.limit for o, _ in listed},
    )
    flooding = {listed[0][0].name, listed[organisations // 3][0].name}
    admitted_ms: dict[str, list[float]] = defaultdict(list)
    below_limit: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    limits = {o.name: TokenBucket(o.limit.burst, 0.0) for o, _ in listed}
    retries: list[tuple[float, Organisation, int]] = []
    was_killed = False
    steps = int(seconds * 1000 / STEP_MS)
    requests = 0
    for step in range(steps):
        fleet.now_ms = step * STEP_MS
        second = fleet.now_ms / 1000
        is_cut = pattern.partition_s[0] <= second < pattern.partition_s[1]
        fleet.partitioned_zone = 0 if is_cut else None
        if second >= pattern.limit_drop_s:
            fleet.limits = {o.name: _lowered(o).limit for o, _ in listed}
        if second >= pattern.restart_s and not was_killed:
            was_killed = True
            fleet.restart(fleet.hosts)
        if step % report_steps == 0:
            fleet.run_report_round()
        due = [each for each in retries if each[0] < fleet.now_ms + STEP_MS]
        retries = [each for each in retries if each[0] >= fleet.now_ms + STEP_MS]
        arrivals = [(at_ms, o, number, False) for at_ms, o, number in due]
        for organisation, usual in listed:
            rate = usual * pattern.factor
            is_flooding = pattern.flood_s[0] <= second < pattern.flood_s[1]
            if is_flooding and organisation.name in flooding:
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
        for at_ms, caller, number, is_first in sorted(
            arrivals, key=lambda each: each[0]
        ):
            organisation = caller
            if second >= pattern.limit_drop_s:
                organisation = _lowered(caller)
            limit = organisation.limit
            is_below = is_first and limits[caller.name].take(
                limit.rate_per_s, limit.burst, at_ms
            )
            below_limit[caller.name] += is_below
            requests += is_first
            wait_ms = fleet.hosts[number].rate_limiter.request_admission(
                organisation, at_ms
            )
            if wait_ms is None:
                admitted_ms[caller.name].append(at_ms)
                continue
            refused[caller.name] += is_below
            if is_first and rng.random() < REFUSED_RETRY_SHARE:
                retries.append((at_ms + wait_ms, caller, number))
    after_ms = pattern.limit_drop_s * 1000
    is_lowered = after_ms < seconds * 1000
    worst = max(
        worst_window(
            admitted_ms[each.name],
            (_lowered(each) if is_lowered else each).limit,
            after_ms if is_lowered else 0.0,
        )
        for each, _ in listed
    )
    return RatesResult(
        worst,
        refused.total() / max(below_limit.total(), 1),
        fleet.messages / max(requests, 1),
    )


def _lowered(organisation: Organisation) -> Organisation:
    limit = organisation.limit
    tenth = RateLimit(rate_per_s=limit.rate_per_s / 10, burst=limit.burst / 10)
    return Organisation(name=organisation.name, limit=tenth)


def worst_window(at_ms: list[float], limit: RateLimit, after_ms: float) -> float:
    """Return the largest ratio of admitted to allowed requests within a window.

    A lowered limit applies to the windows that begin after it was lowered.
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
    """Run all patterns with all rate limiters and print the worst of all seeds.

    Args:
        hosts: number of hosts.
        organisations: number of organisations.
        per_s: usual request rate of all organisations.
        seeds: number of runs of each pattern.
        report_steps: steps of 125 ms between two reports of a host; six in zones of
            94 hosts.
    """
    print(
        "pattern | limiter | worst window / allowed | refused below limit | "
        "messages per request"
    )
    for (name, pattern), (limiter_name, limiter_class) in itertools.product(
        RATE_PATTERNS.items(), RATE_LIMITERS.items()
    ):
        results = [
            play_rates(
                pattern=pattern,
                limiter_class=limiter_class,
                hosts=hosts,
                organisations=organisations,
                per_s=per_s,
                seed=seed,
                report_steps=report_steps,
            )
            for seed in range(1, seeds + 1)
        ]
        worst = max(each.worst for each in results)
        below = sum(each.refused_below_limit for each in results) / seeds
        messages = sum(each.messages for each in results) / seeds
        print(f"{name} | {limiter_name} | {worst:.2f} | {below:.4f} | {messages:.2f}")


if __name__ == "__main__":
    defopt.run(simulate_rates)
