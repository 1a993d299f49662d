"""Choice of the host that runs a call."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from sassafraswinch.hosts import HostView
from sassafraswinch.messages import Load, Rank

WAY_ACROSS_MS = 1.5
"""One way between availability zones, from the sizes in the design notes."""

LOAD_FRESH_MS = 1_500.0
"""Age up to which a host's word on its load counts: one heartbeat and a half."""

LATENCY_GAIN = 0.1
"""Weight of a new latency in its moving average: ten calls."""

FIRST_BACKOFF_MS = 200.0
"""Rest of a host after a failure; doubled by each further one."""

MAX_BACKOFF_MS = 5_000.0
"""Longest rest: a host that is back is found within this time."""


@dataclass(slots=True, kw_only=True)
class _HostState:
    """What this node has seen of one host."""

    latency_ms: float | None = None
    outstanding: int = 0
    load: Load | None = None
    load_at_ms: float = 0.0
    sent_since_load: int = 0
    failures: int = 0
    resting_until_ms: float = 0.0
    probing: bool = False

    def fresh_load(self, now_ms: float) -> Load | None:
        """Return the host's word on its load, None if it is too old."""
        fresh = now_ms - self.load_at_ms <= LOAD_FRESH_MS
        return self.load if fresh else None

    def delay_ms(self, now_ms: float) -> float:
        """Return the delay in the host's queue, 0 if unknown."""
        load = self.fresh_load(now_ms)
        return load.queue_delay_ms if load else 0.0

    def cost(self, typical_ms: float, now_ms: float) -> float:
        """Return latency times calls there, as far as this node knows."""
        latency_ms = typical_ms if self.latency_ms is None else self.latency_ms
        load = self.fresh_load(now_ms)
        told = load.in_flight + load.queued + self.sent_since_load if load else 0
        return (latency_ms + 1.0) * (max(self.outstanding, told) + 1)

    def resting(self, now_ms: float) -> bool:
        """Return whether the host is left alone after failures."""
        return self.failures > 0 and (self.probing or now_ms < self.resting_until_ms)


class Router:
    """Chooses between hosts by what this node sees, its availability zone first.

    Two hosts are drawn at random and the better one is taken: taking the best
    of all would send every node to the same host until its load is heard again.
    A host that has not answered yet counts as a typical one: as the fastest of
    all, it would get calls by the hundred before its first answer.
    """

    def __init__(self, *, availability_zone: str, rng: random.Random):
        self._availability_zone = availability_zone
        self._rng = rng
        self._hosts: dict[str, _HostState] = {}
        self._typical_ms: float | None = None

    def choose(
        self, candidates: Sequence[HostView], *, excluded: frozenset[str], now_ms: float
    ) -> HostView | None:
        """Return the host for one call, None if no host may be asked.

        Args:
            candidates: hosts of the service.
            excluded: names of hosts that were tried for this call.
            now_ms: monotonic time.
        """
        usable = [
            host
            for host in candidates
            if host.linked and not host.leaving and host.name not in excluded
        ]
        if not usable:
            return None
        rested = [host for host in usable if not self._of(host).resting(now_ms)]
        if not rested:
            return min(usable, key=lambda host: self._of(host).resting_until_ms)
        own = [h for h in rested if h.availability_zone == self._availability_zone]
        if not own:
            return self._better_of_two(rested, now_ms)
        near = self._better_of_two(own, now_ms)
        near_delay_ms = self._of(near).delay_ms(now_ms)
        if near_delay_ms <= WAY_ACROSS_MS or len(own) == len(rested):
            return near
        others = [h for h in rested if h.availability_zone != self._availability_zone]
        far = self._better_of_two(others, now_ms)
        far_delay_ms = self._of(far).delay_ms(now_ms) + WAY_ACROSS_MS
        return far if far_delay_ms < near_delay_ms else near

    def sent(self, host: str, now_ms: float) -> None:
        """Note that a call went to the host."""
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding += 1
        state.sent_since_load += 1
        if state.failures:
            state.probing = True

    def answered(
        self, host: str, latency_ms: float | None, load: Load | None, now_ms: float
    ) -> None:
        """Note an answer of the host's node.

        Args:
            host: name of the host.
            latency_ms: time to the answer of the backend server; None for a
                refusal, which says nothing about it.
            load: what the answer says of the host's load.
            now_ms: monotonic time.
        """
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding = max(0, state.outstanding - 1)
        state.failures = 0
        state.probing = False
        if latency_ms is not None:
            state.latency_ms = _averaged(state.latency_ms, latency_ms)
            self._typical_ms = _averaged(self._typical_ms, latency_ms)
        self.heard(host, load, now_ms)

    def heard(self, host: str, load: Load | None, now_ms: float) -> None:
        """Note a host's word on its load, from an answer or a heartbeat."""
        if load is None:
            return
        state = self._hosts.setdefault(host, _HostState())
        state.load = load
        state.load_at_ms = now_ms
        state.sent_since_load = 0

    def load(self, host: str) -> Load | None:
        """Return the last that a host said of its load."""
        return self._hosts[host].load if host in self._hosts else None

    def takes_below(self, host: str, rank: Rank, now_ms: float) -> bool:
        """Return whether a host is known to take classes below that of ``rank``."""
        state = self._hosts.get(host)
        load = state.fresh_load(now_ms) if state else None
        if load is None:
            return False
        if load.threshold is None:
            return load.queue_delay_ms <= 0
        return load.threshold.class_order > rank.class_order

    def dropped(self, host: str) -> None:
        """Note that the answer to a call is no longer awaited.

        Were it the probe of a host that rests, none but its answer would end the
        rest, and the host would never get work again.
        """
        state = self._hosts.setdefault(host, _HostState())
        state.outstanding = max(0, state.outstanding - 1)
        state.probing = False

    def failed(self, host: str, now_ms: float) -> None:
        """Note that a host can't be reached; it rests before it is tried again."""
        state = self._hosts.setdefault(host, _HostState())
        state.probing = False
        state.load = None
        state.failures += 1
        backoff_ms = min(FIRST_BACKOFF_MS * 2 ** (state.failures - 1), MAX_BACKOFF_MS)
        jitter = 0.5 + self._rng.random()
        state.resting_until_ms = now_ms + backoff_ms * jitter

    def forget(self, host: str) -> None:
        """Drop what is known of a host that is gone."""
        self._hosts.pop(host, None)

    def _of(self, host: HostView) -> _HostState:
        return self._hosts.get(host.name) or _HostState()

    def _better_of_two(self, hosts: list[HostView], now_ms: float) -> HostView:
        if len(hosts) == 1:
            return hosts[0]
        pair = self._rng.sample(hosts, 2)
        return min(pair, key=lambda host: self._badness(host, now_ms))

    def _badness(self, host: HostView, now_ms: float) -> tuple[bool, float]:
        state = self._of(host)
        cost = state.cost(self._typical_ms or 0.0, now_ms)
        return state.delay_ms(now_ms) > 0, cost


def _averaged(mean: float | None, value: float) -> float:
    return value if mean is None else mean + LATENCY_GAIN * (value - mean)
