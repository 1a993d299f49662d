"""Wait of a starting or resumed node for its peers' document versions."""

from collections.abc import Iterable

SYNC_WAIT_MS = 3_000
"""Time that a node waits for its peers before it serves on the document it holds."""

MAX_SYNC_WAIT_MS = 15_000
"""Time limit of the wait while a peer claims a newer version that none delivers."""


class PeerSync:
    """One wait for the document versions that peers hold.

    The wait ends once every expected peer has answered and none claims a newer
    version, or after ``SYNC_WAIT_MS``. A newer version that is claimed but not yet
    delivered extends it to at most ``MAX_SYNC_WAIT_MS``, because a peer that never
    delivers must not stop a fleet that restarts host by host.

    Args:
        started_ms: start of the wait, in monotonic milliseconds.
        expected: hosts whose answers end the wait early.
    """

    def __init__(self, *, started_ms: float, expected: Iterable[str] = ()):
        self._started_ms = started_ms
        self._expected = set(expected)
        self._confirmed: set[str] = set()

    def record_answer(self, host: str, sent_at_ms: float) -> None:
        """Record that a host answered a heartbeat sent at ``sent_at_ms``.

        A link preserves order, so all earlier messages of the host have been
        received by now. Only the answer to a heartbeat sent after the start of the
        wait counts: data in the buffers of a paused process is as old as the pause.
        """
        if sent_at_ms >= self._started_ms:
            self._confirmed.add(host)

    def remove_host(self, host: str) -> None:
        """Stop waiting for a host."""
        self._expected.discard(host)

    def is_over(self, now_ms: float, *, newer_claimed: bool) -> bool:
        """Return whether the node may serve.

        Args:
            now_ms: monotonic milliseconds.
            newer_claimed: whether a peer claims a newer document that isn't held yet.
        """
        waited_ms = now_ms - self._started_ms
        if newer_claimed:
            return waited_ms >= MAX_SYNC_WAIT_MS
        all_answered = bool(self._expected) and self._expected <= self._confirmed
        return all_answered or waited_ms >= SYNC_WAIT_MS
