"""Regression of call time on the number of calls in flight, by period."""

from math import inf, sqrt

MIN_CALLS = 8
"""Minimum number of calls in a round that is used: three sums are fitted to them."""

POOL_DECAY = 0.85
"""Decay of the weight of earlier rounds at each new round; about seven rounds count."""


class Round:
    """Sums over the calls that *started* in one round.

    Calls are grouped by their start: among the calls that end in a period, those that
    started early are the long ones, which would look like a trend.
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
            started_at_ms: time at which it started.
            time_ms: duration of the call.
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
    """Elasticity of call time with respect to the calls in flight.

    At 0, calls in flight don't slow each other down; at 1, a further call adds no
    throughput. Calls are compared only with calls of the same round, and the start time
    is a second regressor: otherwise a server that becomes slower as a whole while calls
    accumulate would look like one that is slow *because* calls accumulate.
    """

    def __init__(self):
        self._covariance = 0.0
        self._variance = 0.0
        self._residual = 0.0
        self._calls = 0.0

    def add_round(self, sums: Round) -> None:
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
        self._variance = self._variance * POOL_DECAY + max(variance, 0.0)
        self._covariance = self._covariance * POOL_DECAY + covariance
        self._residual = self._residual * POOL_DECAY + max(residual, 0.0)
        self._calls = self._calls * POOL_DECAY + k - 3

    def estimate(self) -> tuple[float, float]:
        """Return the elasticity and its standard error, which is ``inf`` if unknown."""
        if self._variance <= 1e-9 or self._calls < MIN_CALLS:
            return 0.0, inf
        value = self._covariance / self._variance
        left = max(self._residual - value * self._covariance, 0.0)
        return value, sqrt(left / self._calls / self._variance)
