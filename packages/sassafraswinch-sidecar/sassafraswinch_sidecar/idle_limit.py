"""Idle limit of connections that carry requests which must not run twice."""

DEFAULT_SERVER_IDLE_LIMIT_MS = 1_000.0
"""Idle time up to which a request that must not run twice may use a connection. If the
server has dropped the connection meanwhile, the request is reset, and it isn't known
whether it ran."""

LOST_IDLE_SHARE = 0.5
"""Share of the idle time of a lost connection that is still trusted."""

MIN_ATTRIBUTED_IDLE_MS = 100.0
"""Shortest idle time to which a loss is attributed. Servers also lose connections for
other reasons; if each loss were attributed to the idle time, no connection would be
reused, and more would be open than a server accepts."""

SHORTENED_LIMIT_LIFE_MS = 8_000.0
"""Time for which a shorter limit is kept after a loss: servers that drop connections
early do so for some seconds, and a new connection costs a millisecond."""


class IdleLimit:
    """Adapts the idle limit to lost connections.

    Failure: a server drops connections that were idle for a quarter of a second. Each
    non-repeatable request on such a connection is reset, may have run, and fails for
    good.
    """

    def __init__(self):
        self._limit_ms = DEFAULT_SERVER_IDLE_LIMIT_MS
        self._shortened_until_ms = 0.0

    def limit_ms(self, now_ms: float) -> float:
        """Return the idle time up to which a connection is trusted."""
        if now_ms >= self._shortened_until_ms:
            self._limit_ms = DEFAULT_SERVER_IDLE_LIMIT_MS
        return self._limit_ms

    def record_loss(self, idle_ms: float, now_ms: float) -> None:
        """Record a connection that its first request after an idle time found reset."""
        if idle_ms < MIN_ATTRIBUTED_IDLE_MS:
            return
        trusted_ms = idle_ms * LOST_IDLE_SHARE
        self._limit_ms = min(self.limit_ms(now_ms), trusted_ms)
        self._shortened_until_ms = now_ms + SHORTENED_LIMIT_LIFE_MS
