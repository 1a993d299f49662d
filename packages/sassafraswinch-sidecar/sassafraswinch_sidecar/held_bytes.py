"""How many bytes of requests and answers a process holds, against a bound."""

BODY_MEMORY_SHARE = 0.2
"""Part of the process's memory that bodies may take. A body exists up to three times
for a moment: as it was read, in a frame or a request, and in a socket's buffer."""


class HeldBytes:
    """Counts bodies that are being read, wait, or aren't read by their receiver yet.

    Failure: many callers send or read long bodies slowly, the process exceeds its
    memory and is killed with all that runs through it. Requests beyond the bound are
    refused unread instead, which nobody else notices.

    Args:
        max_bytes: the bound.

    Attributes:
        unsent_bytes: bytes for peers that they haven't read, as measured last.
    """

    def __init__(self, *, max_bytes: float):
        self.unsent_bytes = 0
        self._most_bytes = max_bytes
        self._bodies_bytes = 0

    @property
    def total_bytes(self) -> int:
        """All bytes that are held."""
        return self._bodies_bytes + self.unsent_bytes

    def fits(self, more_bytes: int = 0) -> bool:
        """Return whether so many bytes more stay within the bound."""
        return self.total_bytes + more_bytes <= self._most_bytes

    def hold(self, more_bytes: int) -> None:
        """Count bytes that are held from now on."""
        self._bodies_bytes += more_bytes

    def release(self, fewer_bytes: int) -> None:
        """Count bytes that are no longer held."""
        self._bodies_bytes -= fewer_bytes


def max_held_bytes(memory_mb: float) -> float:
    """Return the bound for a process that may take so much memory."""
    return memory_mb * 1_000_000 * BODY_MEMORY_SHARE
