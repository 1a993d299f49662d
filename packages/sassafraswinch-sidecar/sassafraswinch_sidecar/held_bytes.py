"""Memory limit of the request and response bodies that a process holds."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

PROGRAM_MB = 55.0
"""Resident memory of a busy sidecar that holds no body."""

COPIES = 3
"""How often a body may exist for a moment: in parts, joined, and in socket buffers."""

MIN_BODY_MEMORY_SHARE = 0.05
"""Share of a small process's memory that bodies may use nevertheless."""

REQUEST_SHARE = 0.8
"""Share of the limit from which requests with bodies are refused; the rest is for the
responses to those in flight."""


GROWING_SHARE = 0.6
"""Share of the limit up to which bodies of unknown length are received at the same
time. Beyond it they are received one after the other, since each may be endless."""


@dataclass(slots=True, eq=False)
class Reservation:
    """Memory for one response body.

    Attributes:
        size_bytes: length of the body, or of what was received of it.
        on_granted: called once it fits, or may grow further, unless it could at once.
        is_granted: whether it is part of the count.
        may_read: whether more of the body may be received.
    """

    size_bytes: int
    on_granted: Callable[[], None]
    is_granted: bool = False
    may_read: bool = False


class HeldBytes:
    """Counts the bytes of bodies that are being received, queued or sent.

    Failure: many callers send or read large bodies slowly; the process exceeds its
    memory and is killed, with all requests that run through it. Requests beyond the
    limit are refused unrun instead, which affects no other request. Responses can't be
    refused, since their requests have run; they are left unread at their sender until
    they fit.

    Args:
        max_bytes: the limit.
    """

    def __init__(self, *, max_bytes: float):
        self.max_bytes = max_bytes
        self._request_bytes = 0
        self._unread_bytes = 0
        self._unsent_bytes = 0
        self._reserved_bytes = 0
        self._waiting: deque[Reservation] = deque()
        self._growing: dict[Reservation, None] = {}
        self._growing_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Total number of bytes held."""
        return (
            self._request_bytes
            + self._unread_bytes
            + self._unsent_bytes
            + self._reserved_bytes
        )

    @property
    def waiting(self) -> int:
        """Number of responses that wait for memory."""
        return len(self._waiting)

    def fits(self, more_bytes: int = 0) -> bool:
        """Return whether a request with a body of this length may be received."""
        held_bytes = self.total_bytes
        if not held_bytes:
            return more_bytes <= self.max_bytes
        return held_bytes + more_bytes <= self.max_bytes * REQUEST_SHARE

    def fits_accepted(self, more_bytes: int) -> bool:
        """Return whether a further part of an accepted request may be received."""
        return self.total_bytes + more_bytes <= self.max_bytes

    def hold(self, more_bytes: int) -> None:
        """Add bytes of request bodies to the count."""
        self._request_bytes += more_bytes

    def release(self, fewer_bytes: int) -> None:
        """Remove bytes of request bodies from the count."""
        self._request_bytes -= fewer_bytes
        self._grant_waiting()

    def add_unread(self, more_bytes: int) -> None:
        """Add response bytes that callers haven't read yet, or remove them."""
        self._unread_bytes += more_bytes
        self._grant_waiting()

    def set_unsent(self, unsent_bytes: int) -> None:
        """Set the number of bytes in the send buffers of peer links."""
        self._unsent_bytes = unsent_bytes
        self._grant_waiting()

    def reserve(self, size_bytes: int, on_granted: Callable[[], None]) -> Reservation:
        """Reserve memory for a response body, at once or when it fits."""
        reservation = Reservation(size_bytes, on_granted)
        if not self._waiting and self._has_room(size_bytes):
            self._grant(reservation)
        else:
            self._waiting.append(reservation)
        return reservation

    def reserve_now(self, size_bytes: int) -> Reservation:
        """Count a response body that exists already, or is short."""
        reservation = Reservation(size_bytes, _ignore)
        self._grant(reservation)
        return reservation

    def cancel(self, reservation: Reservation) -> None:
        """Give a reservation back, whether it was granted or still waits."""
        reservation.on_granted = _ignore
        reservation.may_read = False
        if reservation.is_granted:
            reservation.is_granted = False
            self._reserved_bytes -= reservation.size_bytes
            self._end_growth(reservation)
        elif reservation in self._waiting:
            self._waiting.remove(reservation)
        self._grant_waiting()

    def reserve_growing(self, on_granted: Callable[[], None]) -> Reservation:
        """Count a response whose length its sender doesn't state.

        Args:
            on_granted: called each time that it may grow again after a pause.
        """
        reservation = self.reserve_now(0)
        reservation.on_granted = on_granted
        self._growing[reservation] = None
        return reservation

    def grow(self, reservation: Reservation, more_bytes: int) -> None:
        """Add received bytes; ``may_read`` tells whether more may be received."""
        reservation.size_bytes += more_bytes
        self._reserved_bytes += more_bytes
        self._growing_bytes += more_bytes
        reservation.may_read = self._may_grow(reservation)

    def _may_grow(self, reservation: Reservation) -> bool:
        """Return whether a body may grow: the first one always, so that all end."""
        if self._growing_bytes <= self.max_bytes * GROWING_SHARE:
            return True
        return reservation is next(iter(self._growing), None)

    def _end_growth(self, reservation: Reservation) -> None:
        if reservation not in self._growing:
            return
        del self._growing[reservation]
        self._growing_bytes -= reservation.size_bytes
        for each in list(self._growing):
            if not each.may_read and self._may_grow(each):
                each.may_read = True
                each.on_granted()

    def _has_room(self, size_bytes: int) -> bool:
        """Return whether a response fits.

        The requests in flight end with their responses, so one response at a time is
        received beside them even if it doesn't fit.
        """
        if self.total_bytes + size_bytes <= self.max_bytes:
            return True
        return not (self._unread_bytes or self._unsent_bytes or self._reserved_bytes)

    def _grant(self, reservation: Reservation) -> Callable[[], None]:
        """Count a reservation; return its callback, which it must not refer back by."""
        reservation.is_granted = reservation.may_read = True
        self._reserved_bytes += reservation.size_bytes
        on_granted, reservation.on_granted = reservation.on_granted, _ignore
        return on_granted

    def _grant_waiting(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].size_bytes):
            reservation = self._waiting.popleft()
            self._grant(reservation)()


def _ignore() -> None:
    """Do nothing: the reservation was granted at once."""


def max_held_bytes(memory_mb: float) -> float:
    """Return the limit for a process with the given memory size."""
    for_bodies_mb = (memory_mb - PROGRAM_MB) / COPIES
    return max(for_bodies_mb, memory_mb * MIN_BODY_MEMORY_SHARE) * 1_000_000
