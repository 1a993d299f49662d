"""The bound on requests that are sent to a backend server once more.

Sidecars share no state, so each spends a part of the fleet's budget that is safe
whatever the others do: a share of the requests that it sends itself, and an even part
of what is free of charge.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

SHARE_OF_RATIO = 0.35
"""Part of the fleet's ratio that one sidecar spends. A repeated request repeats its
calls, which count at the services below as well: with a third, the repeats of three
levels add up to the whole ratio."""

CALM_SHARE_OF_RATIO = 0.9
"""The same while the fleet's repeats, as last told by all, are few."""

CALM_SHARE = 0.4
"""Part of the fleet's bound below which its repeats are few. What all sidecars add
before they hear of each other, a second of a window of ten, stays below the rest."""

DEEPEST_SHARES = (0.8, 0.6, 0.4)
"""The same at a service that calls no other, by the priority of the root request; the
last one is for all that are less important, while more important ones are repeated as
well. Nothing below counts these repeats again.

Load pattern: the deepest service refuses half of what it gets. A tree of eight calls
can only end if each may be offered several times, so repeats that are spread over all
trees save hardly any. Spent on the most important ones, a load of that kind earned
0.706 of its credit in place of 0.636 (simulated, 8 s of 16 with 0.55 refused), and its
most important trees 0.674 in place of 0.500."""

PRESSING_SHARE = 0.1
"""Part of the repeats from which those of more important requests take room from the
others: below it hardly anything important fails."""

STRAINED_SHARE = 0.5
"""Part of the fleet's bound at a service from which no request above it is repeated
any more. Their calls count there as well and can't be refused; what sidecars add before
they hear of each other, and calls repeated for their own sake, stays below the rest."""

TOLD_LIFE_BEATS = 3.0
"""Age at which a peer's counts no longer say anything, in pauses between its
heartbeats."""

BUCKET_MS = 1_000.0
"""Grain of the window: a tenth of it."""


@dataclass(slots=True)
class _Bucket:
    started_at_ms: float
    requests: int = 0
    repeats: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class _Window:
    buckets: deque[_Bucket] = field(default_factory=deque)
    requests: int = 0
    repeats: int = 0
    by_priority: Counter[int] = field(default_factory=Counter)

    def current(self, window_ms: float, now_ms: float) -> _Bucket:
        buckets = self.buckets
        while buckets and now_ms - buckets[0].started_at_ms >= window_ms:
            old = buckets.popleft()
            self.requests -= old.requests
            self.repeats -= old.repeats.total()
            self.by_priority -= old.repeats
        if not buckets or now_ms - buckets[-1].started_at_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]

    def presses_for(self, priority: int) -> bool:
        """Return whether more important requests than these are repeated as well."""
        more_important = sum(
            count for each, count in self.by_priority.items() if each < priority
        )
        return more_important > PRESSING_SHARE * self.repeats


@dataclass(frozen=True, slots=True)
class Counted:
    """Requests and repeats that one sidecar sent to a service in the window."""

    requests: int
    repeats: int


class RepeatBudget:
    """Counts requests and repeats by service over a sliding window.

    Args:
        ratio: repeats for each request that the whole fleet may make.
        slack: repeats of the whole fleet in a window that need no request.
        window_ms: length of the window.
        most_sidecars: returns how many sidecars there may be at the most.
        sidecars: returns how many are known now.
        heartbeat_ms: returns the pause between a peer's heartbeats.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        most_sidecars: Callable[[], int],
        sidecars: Callable[[], int],
        heartbeat_ms: Callable[[], float],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms + BUCKET_MS
        self._most_sidecars = most_sidecars
        self._sidecars = sidecars
        self._heartbeat_ms = heartbeat_ms
        self._windows: dict[str, _Window] = {}
        self._peers: dict[str, tuple[float, Mapping[str, Counted]]] = {}

    def sent(
        self, service: str, *, repeated: bool, now_ms: float, priority: int = 0
    ) -> None:
        """Count a request that goes to a service.

        Args:
            service: name of the service.
            repeated: whether it, or a request above it, was sent before.
            now_ms: monotonic time.
            priority: priority of the root request.
        """
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        bucket = window.current(self._window_ms, now_ms)
        if repeated:
            bucket.repeats[priority] += 1
            window.by_priority[priority] += 1
            window.repeats += 1
        else:
            bucket.requests += 1
            window.requests += 1

    def counted(self, now_ms: float) -> dict[str, Counted]:
        """Return what this sidecar sent in the window, by service."""
        for window in self._windows.values():
            window.current(self._window_ms, now_ms)
        return {
            service: Counted(window.requests, window.repeats)
            for service, window in self._windows.items()
            if window.requests or window.repeats
        }

    def heard(self, peer: str, counted: Mapping[str, Counted], now_ms: float) -> None:
        """Take in what another sidecar sent."""
        self._peers[peer] = (now_ms, counted)

    def allows(
        self,
        service: str,
        now_ms: float,
        *,
        below: Collection[str] = (),
        priority: int = 0,
    ) -> bool:
        """Return whether one more request of this service may be repeated.

        Args:
            service: name of the service.
            now_ms: monotonic time.
            below: services that its requests call, directly or not.
            priority: priority of the root request.
        """
        slack = self._slack / 2 / max(1, self._most_sidecars())
        window = self._windows.get(service)
        if window is None:
            return slack >= 1.0
        window.current(self._window_ms, now_ms)
        if any(self._used_share(each, now_ms) >= STRAINED_SHARE for each in below):
            return False
        share = SHARE_OF_RATIO
        deepest = not below and self._hears_all(now_ms)
        if deepest and window.presses_for(priority):
            share = DEEPEST_SHARES[min(priority, len(DEEPEST_SHARES) - 1)]
        elif self._fleet_is_calm(service, now_ms):
            share = CALM_SHARE_OF_RATIO
        elif deepest:
            share = DEEPEST_SHARES[0]
        ratio = self._ratio * share
        return window.repeats + 1 <= ratio * window.requests + slack

    def _fleet_is_calm(self, service: str, now_ms: float) -> bool:
        """Return whether all others are heard and the fleet repeats little."""
        if not self._hears_all(now_ms):
            return False
        return self._used_share(service, now_ms) < CALM_SHARE

    def _hears_all(self, now_ms: float) -> bool:
        """Return whether all other sidecars have told what they sent."""
        return sum(1 for _ in self._told(now_ms)) + 1 >= self._sidecars()

    def _used_share(self, service: str, now_ms: float) -> float:
        """Return the part of the fleet's bound at a service that is used, as told."""
        counts = [told[service] for told in self._told(now_ms) if service in told]
        window = self._windows.get(service)
        if window is not None:
            window.current(self._window_ms, now_ms)
            counts.append(Counted(window.requests, window.repeats))
        requests = sum(count.requests for count in counts)
        repeats = sum(count.repeats for count in counts)
        return repeats / max(self._ratio * requests + self._slack, 1.0)

    def _told(self, now_ms: float) -> Iterable[Mapping[str, Counted]]:
        life_ms = TOLD_LIFE_BEATS * self._heartbeat_ms()
        return (
            counted
            for told_ms, counted in self._peers.values()
            if now_ms - told_ms < life_ms
        )
