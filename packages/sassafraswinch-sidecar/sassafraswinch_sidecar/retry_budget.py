"""The bound on requests that are sent to a backend server once more.

Sidecars share no state, so each spends a part of the fleet's budget that is safe
whatever the others do: a share of the requests that it sends itself, and an even part
of what is free of charge.
"""

import itertools
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
trees save hardly any; spent on the most important ones, they save those."""

PRESSING_SHARE = 0.1
"""Part of the repeats from which those of more important requests take room from the
others: below it hardly anything important fails."""

STRAINED_SHARE = 0.5
"""Part of the fleet's bound at a service from which no request above it is repeated
any more. Their calls count there as well and can't be refused; what sidecars add before
they hear of each other, and calls repeated for their own sake, stays below the rest."""

HEARD_SHARE = 0.9
"""Part of the sidecars that must have told their counts for the sum to say how much the
fleet repeats. One silent host in hundreds is usual. What the others may repeat in vain
stays bounded by their own requests, which are missing in the sum as well."""

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


NOTHING_COUNTED = Counted(0, 0)


def sum_counts(told: Iterable[Mapping[str, Counted]]) -> dict[str, Counted]:
    """Return the sums by service of what several sidecars sent."""
    requests: Counter[str] = Counter()
    repeats: Counter[str] = Counter()
    for service, count in itertools.chain.from_iterable(each.items() for each in told):
        requests[service] += count.requests
        repeats[service] += count.repeats
    return {
        service: Counted(requests[service], repeats[service]) for service in requests
    }


Totals = tuple[Mapping[str, Counted], int]
"""Requests and repeats of all sidecars by service, and how many sidecars told them."""


class RepeatBudget:
    """Counts requests and repeats by service over a sliding window.

    Args:
        ratio: repeats for each request that the whole fleet may make.
        slack: repeats of the whole fleet in a window that need no request.
        window_ms: length of the window.
        most_sidecars: returns how many sidecars there may be at the most.
        sidecars: returns how many are known now.
        totals: returns what all sidecars sent, as last told.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        most_sidecars: Callable[[], int],
        sidecars: Callable[[], int],
        totals: Callable[[float], Totals],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms + BUCKET_MS
        self._most_sidecars = most_sidecars
        self._sidecars = sidecars
        self._totals = totals
        self._windows: dict[str, _Window] = {}

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
        counts, tellers = self._totals(now_ms)
        if any(
            self._used_share(each, counts, now_ms) >= STRAINED_SHARE for each in below
        ):
            return False
        hears_all = max(1, tellers) >= HEARD_SHARE * self._sidecars()
        share = SHARE_OF_RATIO
        deepest = not below and hears_all
        if deepest and window.presses_for(priority):
            share = DEEPEST_SHARES[min(priority, len(DEEPEST_SHARES) - 1)]
        elif hears_all and self._used_share(service, counts, now_ms) < CALM_SHARE:
            share = CALM_SHARE_OF_RATIO
        elif deepest:
            share = DEEPEST_SHARES[0]
        ratio = self._ratio * share
        return window.repeats + 1 <= ratio * window.requests + slack

    def _used_share(
        self, service: str, counts: Mapping[str, Counted], now_ms: float
    ) -> float:
        """Return the part of the fleet's bound at a service that is used, as told.

        What this sidecar sent is in the sums, but for that of the last moment.
        """
        told = counts.get(service, NOTHING_COUNTED)
        requests, repeats = told.requests, told.repeats
        window = self._windows.get(service)
        if window is not None:
            window.current(self._window_ms, now_ms)
            requests = max(requests, window.requests)
            repeats = max(repeats, window.repeats)
        return repeats / max(self._ratio * requests + self._slack, 1.0)
