"""Memory that callers make a process hold, counted by one owner for all connections."""

from typing import Protocol

MAX_CALLER_MEMORY_BYTES = 32 * 1024 * 1024
"""Default limit on what the callers of a process make it hold."""

FIELD_BYTES = 200
"""Memory of a header field beside its text: two objects, and their places in lists."""

CONNECTION_BYTES = 8 * 1024
"""Memory of a connection without a request."""


class CallerConnection(Protocol):
    """A connection whose caller can be refused."""

    def refuse_for_memory(self) -> None:
        """End the connection, and drop all that it holds."""


class CallerMemory:
    """Counts what the callers of a process make it hold, and bounds the sum.

    Failure: heads, fields, bodies and waiting requests were bounded each by itself, and
    hundreds of connections together exceeded the memory of the process.

    Beyond the limit the connection that holds most is refused, so that short requests
    are still taken.

    Args:
        max_bytes: the limit of the sum.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes: dict[CallerConnection, int] = {}
        self.total_bytes = 0
        self.refused_connections = 0

    def record(self, connection: CallerConnection, held_bytes: int) -> None:
        """Set what a connection holds, and refuse others or itself beyond the limit."""
        self.total_bytes += held_bytes - self._held_bytes.get(connection, 0)
        self._held_bytes[connection] = held_bytes
        while self.total_bytes > self._max_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            self.release(largest)
            self.refused_connections += 1
            largest.refuse_for_memory()

    def release(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""
        self.total_bytes -= self._held_bytes.pop(connection, 0)
