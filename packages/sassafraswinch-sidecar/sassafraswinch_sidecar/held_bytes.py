"""Memory limit of the request and response bodies that a process holds."""

BODY_MEMORY_SHARE = 0.2
"""Share of the process memory that bodies may use. A body can exist up to three times
for a moment: as received, in a frame or serialized request, and in a socket buffer."""


class HeldBytes:
    """Counts the bytes of bodies that are being received, queued or sent.

    Failure: many callers send or read large bodies slowly; the process exceeds its
    memory and is killed, with all requests that run through it. Requests beyond the
    limit are refused unread instead, which affects no other request.

    Args:
        max_bytes: the limit.

    Attributes:
        unsent_bytes: bytes in the send buffers of peer links, as last measured.
    """

    def __init__(self, *, max_bytes: float):
        self.unsent_bytes = 0
        self._max_bytes = max_bytes
        self._bodies_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Total number of bytes held."""
        return self._bodies_bytes + self.unsent_bytes

    def fits(self, more_bytes: int = 0) -> bool:
        """Return whether the limit allows so many more bytes."""
        return self.total_bytes + more_bytes <= self._max_bytes

    def hold(self, more_bytes: int) -> None:
        """Add bytes to the count."""
        self._bodies_bytes += more_bytes

    def release(self, fewer_bytes: int) -> None:
        """Remove bytes from the count."""
        self._bodies_bytes -= fewer_bytes


def max_held_bytes(memory_mb: float) -> float:
    """Return the limit for a process with the given memory size."""
    return memory_mb * 1_000_000 * BODY_MEMORY_SHARE
