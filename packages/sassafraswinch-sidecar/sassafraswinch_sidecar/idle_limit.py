"""How long a connection may rest before a request that must not run twice takes it."""

DEFAULT_SERVER_IDLE_LIMIT_MS = 1_000.0
"""Idle time up to which such a request may use a connection. One that its server
dropped meanwhile resets it, and nobody knows whether it ran."""

SHORTENED_SHARE = 0.5
"""Part of the idle time after which a connection was lost that is still trusted."""

MIN_ATTRIBUTED_IDLE_MS = 100.0
"""Shortest rest that a loss is put down to. Servers also lose connections for other
reasons; with each of them taken for a rest, no connection would be used twice, and
more would be open than a server accepts."""

SHORTENED_LIMIT_LIFE_MS = 8_000.0
"""Time for which a shorter limit is kept after a loss: servers that drop connections
early do so for some seconds, and a new connection costs a millisecond."""


class IdleLimit:
    """Learns from lost connections how soon a server drops idle ones.

    Failure: a server forgets connections that rested for a quarter of a second. Every
    approval that takes such a one is reset, may have run, and fails for good.
    """

    def __init__(self):
        self._short_ms = DEFAULT_SERVER_IDLE_LIMIT_MS
        self._short_until_ms = 0.0

    def limit_ms(self, now_ms: float) -> float:
        """Return the idle time up to which a connection is trusted."""
        if now_ms >= self._short_until_ms:
            self._short_ms = DEFAULT_SERVER_IDLE_LIMIT_MS
        return self._short_ms

    def record_loss(self, idle_ms: float, now_ms: float) -> None:
        """Note a connection that was reset by the first request after a rest."""
        if idle_ms < MIN_ATTRIBUTED_IDLE_MS:
            return
        learnt_ms = idle_ms * SHORTENED_SHARE
        self._short_ms = min(self.limit_ms(now_ms), learnt_ms)
        self._short_until_ms = now_ms + SHORTENED_LIMIT_LIFE_MS
