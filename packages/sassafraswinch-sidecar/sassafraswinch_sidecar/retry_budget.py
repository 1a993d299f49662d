"""Retry budget of a sidecar: limits retries to a ratio of requests, plus a slack.

The budget holds for the whole fleet, but sidecars share no state. Each one therefore
spends a part that is safe whatever the others do: a share of the ratio, applied to the
requests that it sends itself, and an equal part of the slack.
"""

import itertools
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

SIDECAR_RATIO_SHARE = 0.35
"""Share of the fleet's ratio that one sidecar may spend. A retried request makes its
child calls again, and these count as retries at the downstream services. With about a
third each, the retries of three levels of calls add up to the full ratio."""

FEW_RETRIES_RATIO_SHARE = 0.9
"""Share of the fleet's ratio that one sidecar may spend while the fleet, as last
reported by all sidecars, makes few retries."""

FEW_RETRIES_BUDGET_SHARE = 0.4
"""Share of the fleet's budget below which its retries count as few. The retries that
all sidecars add before the next reports arrive, those of about 1 s in a window of 10 s,
fit into the rest."""

DEEPEST_RATIO_SHARES = (0.8, 0.6, 0.4)
"""Share of the fleet's ratio at a service without downstream services, by the priority
of the root request; the last one is for all lower priorities. Without retries of higher
priority, every priority has the first share. No downstream service counts these retries
again.

Load pattern: the deepest service refuses half of its requests. A call tree of 8 calls
completes only if each call can be retried several times. Retries that are spread over
all call trees complete hardly any of them; retries spent on the call trees of the
highest priority complete those."""

HIGHER_PRIORITY_RETRY_SHARE = 0.1
"""Share of the retries above which those of higher-priority requests reduce the budget
of the others. Below it, hardly any high-priority request fails."""

MAX_DOWNSTREAM_USED_SHARE = 0.5
"""Share of the fleet's budget at a service from which upstream requests are no longer
retried. The child calls of their retries count at this service as well and can't be
refused. The rest of the budget covers the retries that sidecars add before the next
reports arrive, and direct retries of calls to this service."""

MIN_REPORTING_SHARE = 0.9
"""Share of the sidecars that must have reported their counts for the totals to be used.
One silent host among hundreds is usual. Retries of the sidecars missing in the totals
are limited by their own requests, which are missing in the totals as well."""

BUCKET_MS = 1_000.0
"""Resolution of the sliding window: a tenth of its length."""


@dataclass(slots=True)
class _Bucket:
    started_at_ms: float
    requests: int = 0
    retries: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class _Window:
    buckets: deque[_Bucket] = field(default_factory=deque)
    requests: int = 0
    retries: int = 0
    retries_by_priority: Counter[int] = field(default_factory=Counter)

    def current_bucket(self, window_ms: float, now_ms: float) -> _Bucket:
        buckets = self.buckets
        while buckets and now_ms - buckets[0].started_at_ms >= window_ms:
            old = buckets.popleft()
            self.requests -= old.requests
            self.retries -= old.retries.total()
            self.retries_by_priority -= old.retries
        if not buckets or now_ms - buckets[-1].started_at_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]

    def has_higher_priority_retries(self, priority: int) -> bool:
        """Return whether requests of higher priority make a relevant share of retries.

        Args:
            priority: priority of the root request; 0 is the most important.
        """
        of_higher_priority = sum(
            count for each, count in self.retries_by_priority.items() if each < priority
        )
        return of_higher_priority > HIGHER_PRIORITY_RETRY_SHARE * self.retries


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Requests and retries sent to a service within the window."""

    requests: int
    retries: int


ZERO_COUNTS = AttemptCounts(0, 0)


def sum_counts(
    reports: Iterable[Mapping[str, AttemptCounts]],
) -> dict[str, AttemptCounts]:
    """Return the totals of several sidecars, by service."""
    requests: Counter[str] = Counter()
    retries: Counter[str] = Counter()
    for service, count in itertools.chain.from_iterable(
        report.items() for report in reports
    ):
        requests[service] += count.requests
        retries[service] += count.retries
    return {
        service: AttemptCounts(requests[service], retries[service])
        for service in requests
    }


FleetTotals = tuple[Mapping[str, AttemptCounts], int]
"""Requests and retries of all sidecars by service, and how many sidecars reported."""


class RetryBudget:
    """Counts requests and retries by service over a sliding window.

    Args:
        ratio: retries per request that the whole fleet may make.
        slack: retries of the whole fleet in a window, in addition to the ratio.
        window_ms: length of the window.
        max_sidecars: returns the maximum number of sidecars in the fleet.
        sidecars: returns the number of sidecars known now.
        totals: returns the counts of all sidecars, as last reported.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        max_sidecars: Callable[[], int],
        sidecars: Callable[[], int],
        totals: Callable[[float], FleetTotals],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms + BUCKET_MS
        self._max_sidecars = max_sidecars
        self._sidecars = sidecars
        self._totals = totals
        self._windows: dict[str, _Window] = {}

    def record_sent(
        self, service: str, *, is_retry: bool, now_ms: float, priority: int = 0
    ) -> None:
        """Count a request that is sent to a service.

        Args:
            service: name of the service.
            is_retry: whether the request, or one of its ancestors, is a retry.
            now_ms: monotonic time.
            priority: priority of the root request.
        """
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        bucket = window.current_bucket(self._window_ms, now_ms)
        if is_retry:
            bucket.retries[priority] += 1
            window.retries_by_priority[priority] += 1
            window.retries += 1
        else:
            bucket.requests += 1
            window.requests += 1

    def window_counts(self, now_ms: float) -> dict[str, AttemptCounts]:
        """Return the requests and retries of this sidecar in the window, by service."""
        for window in self._windows.values():
            window.current_bucket(self._window_ms, now_ms)
        return {
            service: AttemptCounts(window.requests, window.retries)
            for service, window in self._windows.items()
            if window.requests or window.retries
        }

    def allows_retry(
        self,
        service: str,
        now_ms: float,
        *,
        downstream: Collection[str] = (),
        priority: int = 0,
    ) -> bool:
        """Return whether one more request to a service may be retried.

        Args:
            service: name of the service.
            now_ms: monotonic time.
            downstream: services that its requests call, directly or indirectly.
            priority: priority of the root request.
        """
        slack = self._slack / 2 / max(1, self._max_sidecars())
        window = self._windows.get(service)
        if window is None:
            return slack >= 1.0
        window.current_bucket(self._window_ms, now_ms)
        counts, reporting = self._totals(now_ms)
        if any(
            self._used_share(each, counts, now_ms) >= MAX_DOWNSTREAM_USED_SHARE
            for each in downstream
        ):
            return False
        has_all_reports = max(1, reporting) >= MIN_REPORTING_SHARE * self._sidecars()
        share = SIDECAR_RATIO_SHARE
        is_deepest = not downstream and has_all_reports
        if is_deepest and window.has_higher_priority_retries(priority):
            share = DEEPEST_RATIO_SHARES[min(priority, len(DEEPEST_RATIO_SHARES) - 1)]
        elif (
            has_all_reports
            and self._used_share(service, counts, now_ms) < FEW_RETRIES_BUDGET_SHARE
        ):
            share = FEW_RETRIES_RATIO_SHARE
        elif is_deepest:
            share = DEEPEST_RATIO_SHARES[0]
        ratio = self._ratio * share
        return window.retries + 1 <= ratio * window.requests + slack

    def _used_share(
        self, service: str, counts: Mapping[str, AttemptCounts], now_ms: float
    ) -> float:
        """Return the used share of the fleet's budget at a service, as last reported.

        The totals include this sidecar's counts, except for its most recent requests.
        """
        reported = counts.get(service, ZERO_COUNTS)
        requests, retries = reported.requests, reported.retries
        window = self._windows.get(service)
        if window is not None:
            window.current_bucket(self._window_ms, now_ms)
            requests = max(requests, window.requests)
            retries = max(retries, window.retries)
        return retries / max(self._ratio * requests + self._slack, 1.0)
