"""Bounds what each organisation may send over all hosts, with no shared state.

Every host counts what it lets in, tells it with its periodic report, and is told the
sums of all. From the sums it works out the part of an organisation's requests that all
hosts may let in, so organisations of any size get their limit wherever they send.

Load patterns: an organisation sends many times its rate at all hosts at once; hosts
that are cut off from each other are flooded on both sides; all hosts lose their memory.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sassafraswinch.organisations import Organisation, RateLimit

BUCKET_MS = 250.0
"""Grain of the counts."""

ASKED_MS = 1_000.0
"""Time over which the arrivals of an organisation are measured."""

MIN_ASKED_MS = 100.0
"""The same for a host that has just started."""

CATCH_UP_S = 2.0
"""Time in which what is left of the limit, or overdrawn, is made up for. It is several
times longer than the sums take to cross the fleet, so that the rate doesn't swing."""

TOLERATED = 1.2
"""Rate, as multiple of the limit, up to which all is let in. The rule leaves more room
than that; whoever wavers about its limit would be refused by chance."""

BURST_SHARE = 0.7
"""Part of the burst that is handed out in a window besides the rate."""

SLACK_SHARE = 0.5
"""Part of the slack that is handed out; the rest is for what hosts let in before they
hear of each other."""

NEAR_SHARE = 0.7
"""Part of a limit below which an organisation needn't be told of: by the sums, all of
its requests are let in."""

UNTOLD_TOKENS = 3.0
"""Requests that one host may let in at once beyond its part of a limit. Small
organisations' requests are few and come at any host."""

UNTOLD_EXCESS = 2.0
"""Rate, as multiple of a host's part, beyond which it waits for the next sums."""

MIN_WAIT_SHARE = 0.1
"""Least part of a window that a refused caller is told to wait."""


class Usage(NamedTuple):
    """What was asked and let in of one organisation.

    Attributes:
        asked_per_s: requests that arrived, of late.
        spent: requests that were let in within the window.
    """

    asked_per_s: float
    spent: int


NOTHING = Usage(0.0, 0)


@dataclass(frozen=True, slots=True)
class FleetUsage:
    """What several hosts tell.

    Attributes:
        uses: by organisation.
        hosts: how many hosts tell it.
        unknown_ms: time of the window before these hosts started, added up.
    """

    uses: Mapping[str, Usage] = field(default_factory=dict)
    hosts: int = 0
    unknown_ms: float = 0.0


def total_usage(told: Iterable[FleetUsage]) -> FleetUsage:
    """Return the sum of what hosts, or zones, tell."""
    asked_per_s: dict[str, float] = defaultdict(float)
    spent: dict[str, int] = defaultdict(int)
    hosts = 0
    unknown_ms = 0.0
    for each in told:
        hosts += each.hosts
        unknown_ms += each.unknown_ms
        for name, (asked, let_in) in each.uses.items():
            asked_per_s[name] += asked
            spent[name] += let_in
    uses = {name: Usage(asked, spent[name]) for name, asked in asked_per_s.items()}
    return FleetUsage(uses, hosts, unknown_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class RateRule:
    """How the limits are measured.

    Attributes:
        window_ms: span over which requests are counted.
        slack: requests of an organisation in a window that are free.
    """

    window_ms: float
    slack: float

    def allowance(self, limit: RateLimit) -> float:
        """Return the requests of all hosts in a window that are aimed at, at most."""
        window = limit.rate_per_s * self.window_ms / 1000
        return window + BURST_SHARE * limit.burst + SLACK_SHARE * self.slack

    def is_near(self, limit: RateLimit, use: Usage) -> bool:
        """Return whether an organisation comes near its limit."""
        return (
            use.asked_per_s >= NEAR_SHARE * limit.rate_per_s
            or use.spent >= NEAR_SHARE * self.allowance(limit)
        )


@dataclass(frozen=True, slots=True)
class RateDecision:
    """Whether a request is within its organisation's limit, and why.

    Attributes:
        admitted: whether it is.
        share: part of the organisation's requests that is let in.
        asked_per_s: requests of the organisation at all hosts, as told.
        spent: requests let in at all hosts within the window, as told.
        limit_share: part of the limit that the hosts in view share.
    """

    admitted: bool
    share: float
    asked_per_s: float
    spent: float
    limit_share: float


@dataclass(slots=True)
class _Bucket:
    began_ms: float
    asked: int = 0
    spent: float = 0.0


@dataclass(slots=True)
class _Counts:
    """What one host counted of one organisation."""

    credit: float
    tokens: float
    filled_ms: float
    limit: RateLimit
    spent: float = 0.0
    buckets: deque[_Bucket] = field(default_factory=deque)
    reported: Usage = NOTHING

    def current(self, window_ms: float, now_ms: float) -> _Bucket:
        buckets = self.buckets
        self.advance(window_ms, now_ms)
        if not buckets or now_ms - buckets[-1].began_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]

    def advance(self, window_ms: float, now_ms: float) -> None:
        """Drop the buckets of which most was before the window."""
        buckets = self.buckets
        while buckets and now_ms - buckets[0].began_ms >= window_ms + BUCKET_MS / 2:
            self.spent -= buckets.popleft().spent

    def use(self, now_ms: float, age_ms: float) -> Usage:
        asked = 0
        since_ms = now_ms - ASKED_MS
        for bucket in reversed(self.buckets):
            if bucket.began_ms <= since_ms:
                break
            asked += bucket.asked
        over_ms = min(ASKED_MS, max(MIN_ASKED_MS, age_ms))
        return Usage(asked * 1000 / over_ms, max(0, round(self.spent)))

    def take_over(self, limit: RateLimit) -> None:
        """Follow a changed limit.

        A limit that falls binds from now on: what was let in by the former one counts
        as the same part of the new one, else all would be refused for a whole window.
        """
        if limit == self.limit:
            return
        scale = min(1.0, limit.rate_per_s / self.limit.rate_per_s)
        for bucket in self.buckets:
            bucket.spent *= scale
        self.spent *= scale
        self.limit = limit


class OrganisationRates:
    """One host's part in bounding what organisations send.

    Args:
        rule: how the limits are measured.
        now_ms: monotonic time at which this host started.
        max_hosts: returns how many hosts there may be at the most. Those that aren't
            in view let in requests as well, so their part is left to them.
        fleet_usage: returns what all hosts in view tell; no hosts where nothing is told.
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
        self._most_hosts = max_hosts
        self._told = fleet_usage
        self._random = random
        self._counts: dict[str, _Counts] = {}

    def decide_admission(
        self, organisation: Organisation, now_ms: float
    ) -> RateDecision | None:
        """Count a request that arrived, and decide on it.

        Returns:
            None for an organisation without a limit.
        """
        limit = organisation.limit
        if limit is None:
            return None
        counts = self._counts_of(organisation.name, limit, now_ms)
        counts.current(self._rule.window_ms, now_ms).asked += 1
        told = self._view(now_ms)
        share, use, part = self._share(organisation.name, counts, told, now_ms)
        self._fill(counts, use, now_ms)
        counts.credit += share
        admitted = counts.credit >= 1.0 and counts.tokens >= 1.0
        counts.credit = min(counts.credit, 1.0)
        if admitted:
            counts.credit -= 1.0
        return RateDecision(admitted, share, use.asked_per_s, use.spent, part)

    def preview_decision(
        self, organisation: Organisation, now_ms: float
    ) -> tuple[RateDecision, int]:
        """Return what a request would meet now, and what this host let in lately."""
        limit = organisation.limit
        counts = self._counts.get(organisation.name)
        if counts is None:
            counts = _Counts(0.0, UNTOLD_TOKENS, now_ms, limit)
        counts.advance(self._rule.window_ms, now_ms)
        view = self._view(now_ms)
        share, use, part = self._share(organisation.name, counts, view, now_ms)
        seen = RateDecision(share > 0.0, share, use.asked_per_s, use.spent, part)
        return seen, counts.use(now_ms, now_ms - self._started_ms).spent

    def spend(self, organisation: Organisation, now_ms: float) -> None:
        """Count a request that is sent to a backend server."""
        self._add(organisation, 1, now_ms)

    def refund(self, organisation: Organisation, now_ms: float) -> None:
        """Take back what was spent on a request that proved not to have run."""
        self._add(organisation, -1, now_ms)

    def wait_ms(self, decision: RateDecision) -> float:
        """Return when a refused caller may come back: spread over what is overdrawn."""
        overdrawn = max(1.0 - decision.share, MIN_WAIT_SHARE)
        return self._rule.window_ms * overdrawn * (0.5 + 0.5 * self._random())

    def report(self, now_ms: float) -> FleetUsage:
        """Return what this host tells."""
        window_ms = self._rule.window_ms
        age_ms = now_ms - self._started_ms
        uses = {}
        for name, counts in list(self._counts.items()):
            counts.advance(window_ms, now_ms)
            use = counts.reported = counts.use(now_ms, age_ms)
            if use.spent or use.asked_per_s:
                uses[name] = use
            elif not counts.buckets:
                del self._counts[name]
        return FleetUsage(uses, 1, self._unknown_ms(now_ms))

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
            # Hosts that see few requests of an organisation would otherwise all
            # refuse the first one, or all let it in.
            counts = self._counts[name] = _Counts(
                self._random(), UNTOLD_TOKENS, now_ms, limit
            )
        counts.take_over(limit)
        return counts

    def _view(self, now_ms: float) -> FleetUsage:
        told = self._told(now_ms)
        return told if told.hosts else FleetUsage({}, 1, self._unknown_ms(now_ms))

    def _unknown_ms(self, now_ms: float) -> float:
        return max(0.0, self._rule.window_ms - (now_ms - self._started_ms))

    def _share(
        self, name: str, counts: _Counts, told: FleetUsage, now_ms: float
    ) -> tuple[float, Usage, float]:
        """Return the part to let in, what is known of its use, and of its limit."""
        limit = counts.limit
        own = counts.use(now_ms, now_ms - self._started_ms)
        use = told.uses.get(name, NOTHING)
        use = Usage(max(use.asked_per_s, own.asked_per_s), max(use.spent, own.spent))
        most_hosts = max(self._most_hosts(), told.hosts, 1)
        part = told.hosts / most_hosts
        # What hosts let in before they started isn't known: as much as they may.
        unknown = told.unknown_ms / self._rule.window_ms / most_hosts
        allowance = self._rule.allowance(limit)
        spent = use.spent + allowance * unknown
        rate_per_s = limit.rate_per_s * part
        if (
            use.asked_per_s <= TOLERATED * rate_per_s
            and spent <= TOLERATED * rate_per_s * self._rule.window_ms / 1000
        ):
            return 1.0, use, part
        target_per_s = rate_per_s + (allowance * part - spent) / CATCH_UP_S
        if target_per_s <= 0.0:
            return 0.0, use, part
        return min(1.0, target_per_s / max(use.asked_per_s, 1e-9)), use, part

    def _fill(self, counts: _Counts, use: Usage, now_ms: float) -> None:
        """Add the tokens of the time that passed.

        They bound what one host lets in between two sums, however much it is sent.
        """
        even = 1.0 / max(self._most_hosts(), 1)
        reported = counts.reported.asked_per_s
        known = use.asked_per_s
        part = max(even, reported / known if known else 0.0)
        limit = counts.limit
        most = UNTOLD_TOKENS + part * limit.burst
        gained = (now_ms - counts.filled_ms) / 1000 * limit.rate_per_s * part
        counts.tokens = min(most, counts.tokens + UNTOLD_EXCESS * gained)
        counts.filled_ms = now_ms
