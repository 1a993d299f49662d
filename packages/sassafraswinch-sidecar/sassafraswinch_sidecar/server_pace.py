"""Pace at which requests start at a backend server that names a rate limit."""

TRIAL_INTERVAL_MS = 5_000.0
"""Longest time between two requests to a server with a limit of zero or nearly zero.
Only a response shows that the limit has changed."""

BURST_S = 0.2
"""Time for which an unused part of the limit is kept, beside one request. Requests
arrive unevenly and timers are late; a longer burst would use up the tolerance that
servers have for requests under way."""


ROUNDING = 1e-6
"""Part of a token that rounding may take away; without it, a timer that is set to the
next start would find that it is too early by less than its resolution."""


def start_interval_ms(limit_per_s: float) -> float:
    """Return the time between two starts at a server with a limit."""
    if limit_per_s <= 0:
        return TRIAL_INTERVAL_MS
    return min(1000 / limit_per_s, TRIAL_INTERVAL_MS)


class ServerPace:
    """Token bucket of the starts at one server; without a limit all starts are allowed.

    Attributes:
        limit_per_s: requests per second that the server accepts; None for no limit.
    """

    def __init__(self):
        self.limit_per_s: float | None = None
        self._tokens = 0.0
        self._refilled_ms = 0.0

    def set_limit(self, limit_per_s: float | None, now_ms: float) -> None:
        """Set the limit. The first request may start after one interval at the soonest,
        since others are under way when a server names its first limit.
        """
        if self.limit_per_s is None:
            self._tokens = 0.0
            self._refilled_ms = now_ms
        else:
            self._refill(now_ms)
        self.limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._tokens = min(self._tokens, self._burst())

    def allows_start(self, now_ms: float) -> bool:
        """Return whether a request may start now."""
        if self.limit_per_s is None:
            return True
        self._refill(now_ms)
        return self._tokens >= 1.0 - ROUNDING

    def record_start(self) -> None:
        """Count a start that was allowed."""
        if self.limit_per_s is not None:
            self._tokens -= 1.0

    def return_start(self) -> None:
        """Return the token of a request that didn't reach the server after all."""
        if self.limit_per_s is not None:
            self._tokens += 1.0

    def wait_ms(self, position: int, now_ms: float) -> float:
        """Return the time until the start of a waiting request.

        Args:
            position: place among the waiting requests; 1 for the next one to start.
            now_ms: monotonic time.
        """
        if self.limit_per_s is None:
            return 0.0
        self._refill(now_ms)
        missing = position - self._tokens
        if missing <= ROUNDING:
            return 0.0
        return missing * start_interval_ms(self.limit_per_s)

    def _burst(self) -> float:
        return 1.0 + BURST_S * 1000 / start_interval_ms(self.limit_per_s)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        refill = elapsed_ms / start_interval_ms(self.limit_per_s)
        self._tokens = min(self._tokens + refill, self._burst())
