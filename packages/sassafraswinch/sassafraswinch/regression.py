"""How the time of calls follows the calls in flight, for calls of the same period."""

from math import inf, sqrt

MIN_CALLS = 8
"""Calls of a round below which it says nothing: three sums are fitted to them."""

POOL_KEPT = 0.85
"""Weight of earlier rounds at each new one; about seven rounds count."""


class Round:
    """Sums over the calls that *started* in one round.

    Calls are taken by their start: of those that end in a period, the ones
    that started early are the long ones, which looks like a trend.
    """

    __slots__ = (
        "count",
        "n",
        "nn",
        "ns",
        "nt",
        "origin_ms",
        "s",
        "ss",
        "st",
        "t",
        "tt",
    )

    def __init__(self):
        self.count = 0
        self.origin_ms = 0.0
        self.n = self.s = self.t = 0.0
        self.nn = self.ss = self.tt = 0.0
        self.ns = self.nt = self.st = 0.0

    def add(self, *, in_flight: int, started_at_ms: float, time_ms: float) -> None:
        """Add a call.

        Args:
            in_flight: calls in flight just after its start.
            started_at_ms: when it started.
            time_ms: how long it took.
        """
        if not self.count:
            self.origin_ms = started_at_ms
        t = started_at_ms - self.origin_ms
        self.count += 1
        self.n += in_flight
        self.s += time_ms
        self.t += t
        self.nn += in_flight * in_flight
        self.ss += time_ms * time_ms
        self.tt += t * t
        self.ns += in_flight * time_ms
        self.nt += in_flight * t
        self.st += time_ms * t


class Elasticity:
    """Growth of the time of calls against growth of the calls in flight.

    0: calls in flight don't slow each other; 1: a further call adds no
    throughput. Calls are compared with others of the same round only, and the
    start time is a second regressor: a server that becomes slower as a whole
    while calls pile up would otherwise look like one that is slow *because*
    calls pile up.
    """

    def __init__(self):
        self._covariance = 0.0
        self._variance = 0.0
        self._residual = 0.0
        self._calls = 0.0

    def take(self, sums: Round) -> None:
        """Add a round whose calls have ended."""
        k = sums.count
        if k < MIN_CALLS or sums.s <= 0:
            return
        tt = sums.tt - sums.t * sums.t / k
        nn = sums.nn - sums.n * sums.n / k
        if tt <= 0 or nn <= 0:
            return
        n_mean, s_mean = sums.n / k, sums.s / k
        nt = (sums.nt - sums.n * sums.t / k) / n_mean
        st = (sums.st - sums.s * sums.t / k) / s_mean
        variance = nn / n_mean**2 - nt * nt / tt
        covariance = (sums.ns - sums.n * s_mean) / n_mean / s_mean - nt * st / tt
        residual = (sums.ss - sums.s * s_mean) / s_mean**2 - st * st / tt
        self._variance = self._variance * POOL_KEPT + max(variance, 0.0)
        self._covariance = self._covariance * POOL_KEPT + covariance
        self._residual = self._residual * POOL_KEPT + max(residual, 0.0)
        self._calls = self._calls * POOL_KEPT + k - 3

    def estimate(self) -> tuple[float, float]:
        """Return the elasticity and its standard error; infinite if unknown."""
        if self._variance <= 1e-9 or self._calls < MIN_CALLS:
            return 0.0, inf
        value = self._covariance / self._variance
        left = max(self._residual - value * self._covariance, 0.0)
        return value, sqrt(left / self._calls / self._variance)
