"""What has become of each ticket of one node: one byte a ticket, in segments."""

from sassafraswinch.claims import RunState

SEGMENT_TICKETS = 4096
"""Tickets in one segment; a segment none of whose tickets was used takes no bytes."""
MAX_SEGMENTS = 2048
"""Segments remembered: at most 8 MiB, or 6,990 tickets a second over 20 minutes."""


class TicketStates:
    """States by ticket number, forgotten from the lowest numbers upwards."""

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
        self.forgotten_below = 1
        """Nothing is known of tickets of a lower number."""

    @property
    def size_bytes(self) -> int:
        """Bytes that the states take now."""
        return len(self._states) * self._segment_tickets

    def issue(self, expires_at_ms: int) -> int:
        """Take the next number; expiries must not fall from number to number."""
        number = self._next_number
        self._next_number += 1
        self._expires_at_ms[number // self._segment_tickets] = expires_at_ms
        if len(self._expires_at_ms) > self._max_segments:
            self._forget_oldest()
        return number

    def get(self, number: int) -> RunState | None:
        """Return the state of an issued ticket; None: forgotten."""
        if number < self.forgotten_below:
            return None
        segment = self._states.get(number // self._segment_tickets)
        if segment is None:
            return RunState.UNUSED
        return RunState(segment[number % self._segment_tickets])

    def set(self, number: int, state: RunState) -> None:
        """Change the state of an issued ticket; no effect on a forgotten one."""
        if number < self.forgotten_below:
            return
        index = number // self._segment_tickets
        segment = self._states.get(index)
        if segment is None:
            segment = self._states[index] = bytearray(self._segment_tickets)
        segment[number % self._segment_tickets] = state

    def forget_expired(self, expired_at_ms: float) -> None:
        """Forget the segments all of whose tickets had expired by then."""
        while self._expires_at_ms:
            index = next(iter(self._expires_at_ms))
            if self._expires_at_ms[index] > expired_at_ms:
                return
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        index = next(iter(self._expires_at_ms))
        del self._expires_at_ms[index]
        self._states.pop(index, None)
        end = (index + 1) * self._segment_tickets
        self.forgotten_below = min(end, self._next_number)
