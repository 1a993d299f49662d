"""Bounds the number of callers' connections by the descriptors of the process."""

import math
import resource
from typing import Protocol

CALLERS_SHARE = 0.5
"""Share of the descriptor limit for callers' connections; links, the store and the
connections to the server have most of the rest."""

PAGE_SHARE = 0.05
"""Share of the descriptor limit for the connections of the readiness probe, and for
those of the metrics page: callers must not leave them without room."""


class LimitedConnection(Protocol):
    """A connection of a caller."""

    @property
    def idle_since_ms(self) -> float | None:
        """Time since which it has been without a request; None while it has one."""

    def has_unread_bytes(self) -> bool:
        """Return whether it has received bytes that weren't read yet."""

    def abort(self) -> None:
        """Close it at once."""


class ConnectionLimit:
    """Closes the connection that is idle for longest when there are too many.

    Failure: callers open connections and leave them idle until no descriptor is left.
    No listener accepts another one, and links to other sidecars can't be renewed.

    Args:
        max_connections: largest number of connections.
    """

    def __init__(self, *, max_connections: float = math.inf):
        self._max_connections = max_connections
        self._connections: set[LimitedConnection] = set()

    def add(self, connection: LimitedConnection) -> None:
        """Count a new connection; close an idle one, or it, if there is no room."""
        if len(self._connections) < self._max_connections:
            self._connections.add(connection)
            return
        idle = self._find_longest_idle()
        if idle is None:
            connection.abort()
            return
        self._connections.discard(idle)
        self._connections.add(connection)
        idle.abort()

    def discard(self, connection: LimitedConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)

    def _find_longest_idle(self) -> LimitedConnection | None:
        idle = [each for each in self._connections if each.idle_since_ms is not None]
        idle.sort(key=lambda each: each.idle_since_ms)
        return next((each for each in idle if not each.has_unread_bytes()), None)


def limit_connections(share: float) -> ConnectionLimit:
    """Return a limit for a share of the descriptors that this process may have."""
    max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors == resource.RLIM_INFINITY:
        return ConnectionLimit()
    return ConnectionLimit(max_connections=max(int(max_descriptors * share), 1))
