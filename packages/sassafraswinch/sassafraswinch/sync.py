"""How long a node listens to its peers before it serves on what it holds."""

from collections.abc import Iterable

SYNC_WAIT_MS = 3_000
"""How long a node listens to its peers before it serves on a copy of its own."""

SYNC_LIMIT_MS = 15_000
"""How long a claim of a newer version that no peer delivers may hold a node back."""


class PeerSync:
    """One wait for the peers' word on the newest version.

    The wait ends once every expected peer answered and nothing newer is
    claimed, or after ``SYNC_WAIT_MS``; a claim that isn't met yet prolongs it
    up to ``SYNC_LIMIT_MS``, for a peer that never delivers must not stop a
    fleet that restarts host by host.

    Args:
        started_ms: when the wait began, monotonic milliseconds.
        expected: hosts whose answers end the wait early.
    """

    def __init__(self, *, started_ms: float, expected: Iterable[str] = ()):
        self._started_ms = started_ms
        self._expected = set(expected)
        self._confirmed: set[str] = set()

    def confirmed(self, host: str, sent_at_ms: float) -> None:
        """Take in that a host answered a heartbeat sent at ``sent_at_ms``.

        A link keeps order, so all that the host said before has been heard by
        now. Only an answer to a heartbeat sent after the wait began counts:
        what lay in the buffers of a paused process is as old as the pause.
        """
        if sent_at_ms >= self._started_ms:
            self._confirmed.add(host)

    def lost(self, host: str) -> None:
        """Expect nothing more from a host."""
        self._expected.discard(host)

    def is_over(self, now_ms: float, *, unmet: bool) -> bool:
        """Return whether the node may serve.

        Args:
            now_ms: monotonic milliseconds.
            unmet: whether a peer claims a newer content that isn't held yet.
        """
        waited_ms = now_ms - self._started_ms
        if unmet:
            return waited_ms >= SYNC_LIMIT_MS
        heard_all = bool(self._expected) and self._expected <= self._confirmed
        return heard_all or waited_ms >= SYNC_WAIT_MS
