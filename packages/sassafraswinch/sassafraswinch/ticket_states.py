"""Ticket state table of a node: one byte per ticket, in segments."""

from sassafraswinch.claims import RunState

SEGMENT_TICKETS = 4096
"""Tickets per segment; a segment without used tickets takes no memory."""
MAX_SEGMENTS = 2048
"""Segments retained: at most 8 MiB, or 6,990 tickets a second over 20 minutes."""


class TicketStates:
    """States by ticket number; the segments of the lowest numbers are evicted first."""

    def __init__(
        self,
        *,
        segment_tickets: int = SEGMENT_TICKETS,
        max_segments: int = MAX_SEGMENTS,
    ):
        self._segment_tickets = segment_tickets
        self._max_segments = max_segments
        self._states: dict[int, bytearray] = {}
        self._expires_at_ms: dict[int, int] = {}
        self._next_number = 1
        self.evicted_below = 1
        """Lowest ticket number whose state is retained."""

    @property
    def size_bytes(self) -> int:
        """Memory that the states use now, in bytes."""
        return len(self._states) * self._segment_tickets

    def issue(self, expires_at_ms: int) -> int:
        """Return the next ticket number; expiry times must not decrease."""
        number = self._next_number
        self._next_number += 1
        self._expires_at_ms[number // self._segment_tickets] = expires_at_ms
        if len(self._expires_at_ms) > self._max_segments:
            self._evict_oldest()
        return number

    def get(self, number: int) -> RunState | None:
        """Return the state of an issued ticket; None if it was evicted."""
        if number < self.evicted_below:
            return None
        segment = self._states.get(number // self._segment_tickets)
        if segment is None:
            return RunState.UNUSED
        return RunState(segment[number % self._segment_tickets])

    def set(self, number: int, state: RunState) -> None:
        """Set the state of an issued ticket; no effect if the state was evicted."""
        if number < self.evicted_below:
            return
        index = number // self._segment_tickets
        segment = self._states.get(index)
        if segment is None:
            segment = self._states[index] = bytearray(self._segment_tickets)
        segment[number % self._segment_tickets] = state

    def evict_expired(self, expired_at_ms: float) -> None:
        """Evict the segments whose tickets had all expired at ``expired_at_ms``."""
        while self._expires_at_ms:
            index = next(iter(self._expires_at_ms))
            if self._expires_at_ms[index] > expired_at_ms:
                return
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        index = next(iter(self._expires_at_ms))
        del self._expires_at_ms[index]
        self._states.pop(index, None)
        end = (index + 1) * self._segment_tickets
        self.evicted_below = min(end, self._next_number)
