"""Fleet-wide rate limits of organisations, enforced without shared state.

Each host counts the requests that it admits, includes the counts in its periodic report
and receives the totals of all hosts. From the totals it computes the share of an
organisation's requests that all hosts may admit, so an organisation of any size gets
its limit at whichever hosts its requests arrive.

Load patterns: an organisation sends many times its rate to all hosts at once; hosts
that are partitioned from each other are flooded on both sides; all hosts lose their
state.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sassafraswinch.organisations import Organisation, RateLimit

BUCKET_MS = 250.0
"""Time span of one bucket of counts."""

ARRIVAL_WINDOW_MS = 1_000.0
"""Time span over which the arrival rate of an organisation is measured."""

MIN_ARRIVAL_WINDOW_MS = 100.0
"""Minimum of that time span, for a host that has just started."""

CATCH_UP_S = 2.0
"""Time in which unused or overdrawn allowance is compensated. It is several times
longer than totals take to propagate through the fleet, so that the rate doesn't
oscillate."""

TOLERATED_RATE_FACTOR = 1.2
"""Rate, as multiple of the limit, up to which every request is admitted. The rate rule
leaves more slack than that; below it, an organisation whose rate varies around its
limit would be refused at random."""

BURST_SHARE = 0.7
"""Share of the burst that is available in a window on top of the rate."""

SLACK_SHARE = 0.5
"""Share of the slack that is available; the rest covers requests that hosts admit
before they receive each other's counts."""

NEAR_LIMIT_SHARE = 0.7
"""Share of a limit below which an organisation's usage need not be reported: according
to the totals, all of its requests are admitted."""

LOCAL_BURST_TOKENS = 3.0
"""Requests that one host may admit at once beyond its share of a limit. Small
organisations send few requests, to any of the hosts."""

LOCAL_RATE_FACTOR = 2.0
"""Rate, as multiple of a host's share of the limit, above which the host refuses
requests until it receives the next totals."""

MIN_WAIT_SHARE = 0.1
"""Minimum wait of a refused caller, as share of a window."""


class Usage(NamedTuple):
    """Arrived and admitted requests of one organisation.

    Attributes:
        asked_per_s: recent arrival rate of its requests.
        spent: requests that were admitted within the window.
    """

    asked_per_s: float
    spent: int


NO_USAGE = Usage(0.0, 0)


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """Usage as reported by several hosts, added up.

    Attributes:
        uses: usage by organisation.
        hosts: number of hosts that reported.
        unknown_ms: parts of the window before these hosts started, added up.
    """

    uses: Mapping[str, Usage] = field(default_factory=dict)
    hosts: int = 0
    unknown_ms: float = 0.0


def total_usage(reports: Iterable[FleetUsage]) -> FleetUsage:
    """Return the total of the usage that hosts, or zones, reported."""
    asked_per_s: dict[str, float] = defaultdict(float)
    spent: dict[str, int] = defaultdict(int)
    hosts = 0
    unknown_ms = 0.0
    for each in reports:
        hosts += each.hosts
        unknown_ms += each.unknown_ms
        for name, (arrived, admitted) in each.uses.items():
            asked_per_s[name] += arrived
            spent[name] += admitted
    usages = {
        name: Usage(arrived, spent[name]) for name, arrived in asked_per_s.items()
    }
    return FleetUsage(usages, hosts, unknown_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class RateRule:
    """Rule by which rate limits are measured.

    Attributes:
        window_ms: time span over which requests are counted.
        slack: requests of an organisation in a window that don't count.
    """

    window_ms: float
    slack: float

    def allowance(self, limit: RateLimit) -> float:
        """Return the target for the requests of all hosts in a window."""
        window = limit.rate_per_s * self.window_ms / 1000
        return window + BURST_SHARE * limit.burst + SLACK_SHARE * self.slack

    def is_near(self, limit: RateLimit, usage: Usage) -> bool:
        """Return whether an organisation's usage is near its limit."""
        return (
            usage.asked_per_s >= NEAR_LIMIT_SHARE * limit.rate_per_s
            or usage.spent >= NEAR_LIMIT_SHARE * self.allowance(limit)
        )


@dataclass(frozen=True, slots=True)
class RateDecision:
    """Rate limit decision on one request, and the figures behind it.

    Attributes:
        admitted: whether the request is within its organisation's limit.
        share: share of the organisation's requests that is admitted.
        asked_per_s: arrival rate of the organisation at all hosts, as last reported.
        spent: requests admitted at all hosts within the window, as last reported.
        limit_share: share of the limit that belongs to the hosts that reported.
    """

    admitted: bool
    share: float
    asked_per_s: float
    spent: float
    limit_share: float


@dataclass(slots=True)
class _Bucket:
    started_ms: float
    arrived: int = 0
    spent: float = 0.0


@dataclass(slots=True)
class _Counts:
    """Counts of one organisation at one host."""

    credit: float
    tokens: float
    refilled_ms: float
    limit: RateLimit
    spent: float = 0.0
    buckets: deque[_Bucket] = field(default_factory=deque)
    reported: Usage = NO_USAGE

    def current(self, window_ms: float, now_ms: float) -> _Bucket:
        buckets = self.buckets
        self.advance(window_ms, now_ms)
        if not buckets or now_ms - buckets[-1].started_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]

    def advance(self, window_ms: float, now_ms: float) -> None:
        """Evict the buckets that lie mostly before the window."""
        buckets = self.buckets
        while buckets and now_ms - buckets[0].started_ms >= window_ms + BUCKET_MS / 2:
            self.spent -= buckets.popleft().spent

    def usage(self, now_ms: float, age_ms: float) -> Usage:
        arrived = 0
        since_ms = now_ms - ARRIVAL_WINDOW_MS
        for bucket in reversed(self.buckets):
            if bucket.started_ms <= since_ms:
                break
            arrived += bucket.arrived
        over_ms = min(ARRIVAL_WINDOW_MS, max(MIN_ARRIVAL_WINDOW_MS, age_ms))
        return Usage(arrived * 1000 / over_ms, max(0, round(self.spent)))

    def update_limit(self, limit: RateLimit) -> None:
        """Apply a changed limit.

        A lower limit applies from now on: requests admitted under the previous limit
        are scaled to the same share of the new one, else all requests would be refused
        for a whole window.
        """
        if limit == self.limit:
            return
        scale = min(1.0, limit.rate_per_s / self.limit.rate_per_s)
        for bucket in self.buckets:
            bucket.spent *= scale
        self.spent *= scale
        self.limit = limit


class OrganisationRates:
    """Rate limiter of organisations at one host.

    Args:
        rule: rule by which the limits are measured.
        now_ms: monotonic time at which this host started.
        max_hosts: returns the maximum number of hosts. Hosts without a current report
            admit requests as well, so their share of the limits is left to them.
        fleet_usage: returns the usage last reported by all hosts, with 0 hosts if there
            are no reports.
        random: returns a number from 0 to 1.
    """

    def __init__(
        self,
        *,
        rule: RateRule,
        now_ms: float,
        max_hosts: Callable[[], int],
        fleet_usage: Callable[[float], FleetUsage],
        random: Callable[[], float],
    ):
        self._rule = rule
        self._started_ms = now_ms
        self._max_hosts = max_hosts
        self._reported_usage = fleet_usage
        self._random = random
        self._counts: dict[str, _Counts] = {}

    def decide_admission(
        self, organisation: Organisation, now_ms: float
    ) -> RateDecision | None:
        """Count an arrived request, and decide whether it is admitted.

        Returns:
            None for an organisation without a limit.
        """
        limit = organisation.limit
        if limit is None:
            return None
        counts = self._counts_of(organisation.name, limit, now_ms)
        counts.current(self._rule.window_ms, now_ms).arrived += 1
        fleet = self._fleet_usage(now_ms)
        share, usage, limit_share = self._share(
            organisation.name, counts, fleet, now_ms
        )
        self._refill_tokens(counts, usage, now_ms)
        counts.credit += share
        admitted = counts.credit >= 1.0 and counts.tokens >= 1.0
        counts.credit = min(counts.credit, 1.0)
        if admitted:
            counts.credit -= 1.0
        return RateDecision(
            admitted, share, usage.asked_per_s, usage.spent, limit_share
        )

    def preview_decision(
        self, organisation: Organisation, now_ms: float
    ) -> tuple[RateDecision, int]:
        """Return the decision that a request would get now, without counting it.

        Returns:
            The decision, and the requests that this host admitted within the window.
        """
        limit = organisation.limit
        counts = self._counts.get(organisation.name)
        if counts is None:
            counts = _Counts(0.0, LOCAL_BURST_TOKENS, now_ms, limit)
        counts.advance(self._rule.window_ms, now_ms)
        fleet = self._fleet_usage(now_ms)
        share, usage, limit_share = self._share(
            organisation.name, counts, fleet, now_ms
        )
        decision = RateDecision(
            share > 0.0, share, usage.asked_per_s, usage.spent, limit_share
        )
        return decision, counts.usage(now_ms, now_ms - self._started_ms).spent

    def spend(self, organisation: Organisation, now_ms: float) -> None:
        """Count a request that is sent to a backend server."""
        self._add(organisation, 1, now_ms)

    def refund(self, organisation: Organisation, now_ms: float) -> None:
        """Undo ``spend`` for a request that turned out not to have run."""
        self._add(organisation, -1, now_ms)

    def wait_ms(self, decision: RateDecision) -> float:
        """Return the time after which a refused caller may retry.

        Retries are spread over the overdrawn share of the window.
        """
        overdrawn = max(1.0 - decision.share, MIN_WAIT_SHARE)
        return self._rule.window_ms * overdrawn * (0.5 + 0.5 * self._random())

    def report(self, now_ms: float) -> FleetUsage:
        """Return the usage at this host for its host report."""
        window_ms = self._rule.window_ms
        age_ms = now_ms - self._started_ms
        usages = {}
        for name, counts in list(self._counts.items()):
            counts.advance(window_ms, now_ms)
            usage = counts.reported = counts.usage(now_ms, age_ms)
            if usage.spent or usage.asked_per_s:
                usages[name] = usage
            elif not counts.buckets:
                del self._counts[name]
        return FleetUsage(usages, 1, self._unknown_ms(now_ms))

    def _add(self, organisation: Organisation, sign: int, now_ms: float) -> None:
        if organisation.limit is None:
            return
        counts = self._counts_of(organisation.name, organisation.limit, now_ms)
        counts.current(self._rule.window_ms, now_ms).spent += sign
        counts.spent += sign
        counts.tokens -= sign

    def _counts_of(self, name: str, limit: RateLimit, now_ms: float) -> _Counts:
        counts = self._counts.get(name)
        if counts is None:
            # Starts at random: hosts that receive few requests of an organisation
            # would otherwise all refuse the first one, or all admit it.
            counts = self._counts[name] = _Counts(
                self._random(), LOCAL_BURST_TOKENS, now_ms, limit
            )
        counts.update_limit(limit)
        return counts

    def _fleet_usage(self, now_ms: float) -> FleetUsage:
        usage = self._reported_usage(now_ms)
        return usage if usage.hosts else FleetUsage({}, 1, self._unknown_ms(now_ms))

    def _unknown_ms(self, now_ms: float) -> float:
        return max(0.0, self._rule.window_ms - (now_ms - self._started_ms))

    def _share(
        self, name: str, counts: _Counts, fleet: FleetUsage, now_ms: float
    ) -> tuple[float, Usage, float]:
        """Return the share to admit, the known usage, and the share of the limit."""
        limit = counts.limit
        own = counts.usage(now_ms, now_ms - self._started_ms)
        usage = fleet.uses.get(name, NO_USAGE)
        usage = Usage(
            max(usage.asked_per_s, own.asked_per_s), max(usage.spent, own.spent)
        )
        max_hosts = max(self._max_hosts(), fleet.hosts, 1)
        limit_share = fleet.hosts / max_hosts
        # Requests admitted before a host started are unknown; assumes the allowance.
        unknown = fleet.unknown_ms / self._rule.window_ms / max_hosts
        allowance = self._rule.allowance(limit)
        spent = usage.spent + allowance * unknown
        rate_per_s = limit.rate_per_s * limit_share
        if (
            usage.asked_per_s <= TOLERATED_RATE_FACTOR * rate_per_s
            and spent
            <= TOLERATED_RATE_FACTOR * rate_per_s * self._rule.window_ms / 1000
        ):
            return 1.0, usage, limit_share
        target_per_s = rate_per_s + (allowance * limit_share - spent) / CATCH_UP_S
        if target_per_s <= 0.0:
            return 0.0, usage, limit_share
        return (
            min(1.0, target_per_s / max(usage.asked_per_s, 1e-9)),
            usage,
            limit_share,
        )

    def _refill_tokens(self, counts: _Counts, usage: Usage, now_ms: float) -> None:
        """Add the tokens of the elapsed time.

        Tokens bound what one host admits between two totals, however much arrives.
        """
        even = 1.0 / max(self._max_hosts(), 1)
        reported = counts.reported.asked_per_s
        known = usage.asked_per_s
        host_share = max(even, reported / known if known else 0.0)
        limit = counts.limit
        capacity = LOCAL_BURST_TOKENS + host_share * limit.burst
        gained = (now_ms - counts.refilled_ms) / 1000 * limit.rate_per_s * host_share
        counts.tokens = min(capacity, counts.tokens + LOCAL_RATE_FACTOR * gained)
        counts.refilled_ms = now_ms
