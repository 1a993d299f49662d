"""How the time of calls depends on the calls in flight, within one short round."""

from math import sqrt


class RoundSums:
    """Sums over the calls of one round, for a regression of time on in-flight.

    The start time is a second regressor: a server that becomes slower during
    the round while calls pile up would otherwise look like one that becomes
    slower *because* calls pile up.
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
        """Add one call.

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

    def elasticity(self) -> tuple[float, float]:
        """Return how time follows in-flight, and its standard error.

        0: calls in flight don't slow each other; 1: a call more adds no
        throughput. The error is infinite where the round says nothing.
        """
        k = self.count
        if k < 8:
            return 0.0, float("inf")
        nn = self.nn - self.n * self.n / k
        tt = self.tt - self.t * self.t / k
        ss = self.ss - self.s * self.s / k
        ns = self.ns - self.n * self.s / k
        nt = self.nt - self.n * self.t / k
        st = self.st - self.s * self.t / k
        if tt <= 0 or nn <= 0 or self.s <= 0:
            return 0.0, float("inf")
        spread = nn - nt * nt / tt
        if spread <= 1e-6 * nn:
            return 0.0, float("inf")
        slope = (ns - nt * st / tt) / spread
        residual = max(0.0, ss - st * st / tt - slope * slope * spread)
        error = sqrt(residual / (k - 3) / spread)
        scale = (self.n / k) / (self.s / k)
        return slope * scale, error * scale
