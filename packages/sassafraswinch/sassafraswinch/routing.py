"""Router of a node: chooses the host that executes a call."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from sassafraswinch.hosts import HostView
from sassafraswinch.messages import Load, Rank

CROSS_ZONE_DELAY_MS = 1.5
"""One-way network delay between availability zones."""

MAX_LOAD_AGE_MS = 1_500.0
"""Age up to which a load report of a host is used: 1.5 heartbeat intervals."""

LATENCY_EWMA_WEIGHT = 0.1
"""Weight of a new latency in the exponential moving average (about ten calls)."""

FIRST_BACKOFF_MS = 200.0
"""Back-off of a host after its first failure; each further failure doubles it."""

MAX_BACKOFF_MS = 5_000.0
"""Longest back-off; bounds the time until a recovered host is probed again."""


@dataclass(slots=True, kw_only=True)
class _HostState:
    """Latency, load and failures of one host as observed by this node."""

    latency_ms: float | None = None
    outstanding: int = 0
    load: Load | None = None
    load_at_ms: float = 0.0
    sent_since_load: int = 0
    failures: int = 0
    backoff_until_ms: float = 0.0
    probing: bool = False

    def fresh_load(self, now_ms: float) -> Load | None:
        """Return the load last reported by the host, None if it is too old."""
        fresh = now_ms - self.load_at_ms <= MAX_LOAD_AGE_MS
        return self.load if fresh else None

    def delay_ms(self, now_ms: float) -> float:
        """Return the queue delay at the host, 0 if unknown."""
        load = self.fresh_load(now_ms)
        return load.queue_delay_ms if load else 0.0

    def cost(self, mean_latency_ms: float, now_ms: float) -> float:
        """Return the expected cost of a call: latency times calls at the host."""
        latency_ms = mean_latency_ms if self.latency_ms is None else self.latency_ms
        load = self.fresh_load(now_ms)
        reported = load.in_flight + load.queued + self.sent_since_load if load else 0
        return (latency_ms + 1.0) * (max(self.outstanding, reported) + 1)

    def in_backoff(self, now_ms: float) -> bool:
        """Return whether the host gets no calls because of failures."""
        return self.failures > 0 and (self.probing or now_ms < self.backoff_until_ms)


class Router:
    """Load balancer of a node; prefers hosts of its own availability zone.

    Uses the power of two choices: the better of two random hosts gets the call.
    Choosing the best of all hosts would send the calls of every node to the same
    host until its next load report. A host without an answer so far is assumed to
    have the average latency; assumed to be the fastest, it would get hundreds of
    calls before its first answer.

    Args:
        availability_zone: zone of this node.
        rng: source of the random choices and of the back-off jitter.
    """

    def __init__(self, *, availability_zone: str, rng: random.Random):
        self._availability_zone = availability_zone
        self._rng = rng
        self._hosts: dict[str, _HostState] = {}
        self._mean_latency_ms: float | None = None

    def choose(
        self, candidates: Sequence[HostView], *, excluded: frozenset[str], now_ms: float
    ) -> HostView | None:
        """Return the host for one call, None if no host can be used.

        Args:
            candidates: hosts of the service.
            excluded: names of the hosts already tried for this call.
            now_ms: monotonic milliseconds.
        """
        usable = [
            host
            for host in candidates
            if host.linked and not host.leaving and host.name not in excluded
        ]
        if not usable:
            return None
        ready = [host for host in usable if not self._state_of(host).in_backoff(now_ms)]
        if not ready:
            return min(usable, key=lambda host: self._state_of(host).backoff_until_ms)
        same_zone = [h for h in ready if h.availability_zone == self._availability_zone]
        if not same_zone:
            return self._better_of_two(ready, now_ms)
        local = self._better_of_two(same_zone, now_ms)
        local_delay_ms = self._state_of(local).delay_ms(now_ms)
        if local_delay_ms <= CROSS_ZONE_DELAY_MS or len(same_zone) == len(ready):
            return local
        others = [h for h in ready if h.availability_zone != self._availability_zone]
        remote = self._better_of_two(others, now_ms)
        remote_delay_ms = self._state_of(remote).delay_ms(now_ms) + CROSS_ZONE_DELAY_MS
        return remote if remote_delay_ms < local_delay_ms else local

    def record_sent(self, host: str, now_ms: float) -> None:
        """Record that a call was sent to the host."""
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding += 1
        state.sent_since_load += 1
        if state.failures:
            state.probing = True

    def record_answer(
        self, host: str, latency_ms: float | None, load: Load | None, now_ms: float
    ) -> None:
        """Record an answer of the host's node.

        Args:
            host: name of the host.
            latency_ms: time to the answer of the backend server; None for a
                refusal, which is no measure of the latency.
            load: load reported with the answer.
            now_ms: monotonic milliseconds.
        """
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding = max(0, state.outstanding - 1)
        state.failures = 0
        state.probing = False
        if latency_ms is not None:
            state.latency_ms = _moving_average(state.latency_ms, latency_ms)
            self._mean_latency_ms = _moving_average(self._mean_latency_ms, latency_ms)
        self.record_load(host, load, now_ms)

    def record_load(self, host: str, load: Load | None, now_ms: float) -> None:
        """Record the load that a host reports on an answer or a heartbeat."""
        if load is None:
            return
        state = self._hosts.setdefault(host, _HostState())
        state.load = load
        state.load_at_ms = now_ms
        state.sent_since_load = 0

    def load(self, host: str) -> Load | None:
        """Return the load last reported by a host, of whatever age."""
        return self._hosts[host].load if host in self._hosts else None

    def admits_below(self, host: str, rank: Rank, now_ms: float) -> bool:
        """Return whether a host is known to admit classes below that of ``rank``."""
        state = self._hosts.get(host)
        load = state.fresh_load(now_ms) if state else None
        if load is None:
            return False
        if load.threshold is None:
            return load.queue_delay_ms <= 0
        return load.threshold.class_order > rank.class_order

    def record_abandoned(self, host: str) -> None:
        """Record that the answer to a call is no longer awaited.

        If the call was the probe of a host in back-off, its answer will not end the
        back-off; without this reset the host would never get a call again.
        """
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding = max(0, state.outstanding - 1)
        state.probing = False

    def record_failure(self, host: str, now_ms: float) -> None:
        """Record that a host can't be reached, and start or extend its back-off."""
        state = self._hosts.setdefault(host, _HostState())
        state.probing = False
        state.load = None
        state.failures += 1
        backoff_ms = min(FIRST_BACKOFF_MS * 2 ** (state.failures - 1), MAX_BACKOFF_MS)
        jitter = 0.5 + self._rng.random()
        state.backoff_until_ms = now_ms + backoff_ms * jitter

    def remove_host(self, host: str) -> None:
        """Discard the state of a removed host."""
        self._hosts.pop(host, None)

    def _state_of(self, host: HostView) -> _HostState:
        return self._hosts.get(host.name) or _HostState()

    def _better_of_two(self, hosts: list[HostView], now_ms: float) -> HostView:
        if len(hosts) == 1:
            return hosts[0]
        pair = self._rng.sample(hosts, 2)
        return min(pair, key=lambda host: self._score(host, now_ms))

    def _score(self, host: HostView, now_ms: float) -> tuple[bool, float]:
        """Return the sort key of a host; smaller is better."""
        state = self._state_of(host)
        cost = state.cost(self._mean_latency_ms or 0.0, now_ms)
        return state.delay_ms(now_ms) > 0, cost


def _moving_average(mean: float | None, value: float) -> float:
    return value if mean is None else mean + LATENCY_EWMA_WEIGHT * (value - mean)
