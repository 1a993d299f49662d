"""Turns in which the connections of callers parse what they have received."""

import asyncio
from typing import Protocol

from sassafraswinch_node.supervision import report_failure

SLICE_BYTES = 4 * 1024
"""Number of bytes that one connection parses at a time: some thousand header lines or
chunks at most."""

SLICES_PER_TURN = 16
"""Number of slices parsed in one turn of the event loop, for all connections."""


class ParsingConnection(Protocol):
    """A connection with received bytes that aren't parsed yet."""

    def parse_slice(self) -> bool:
        """Parse a slice; return whether another one can be parsed."""

    def abort(self) -> None:
        """Close it at once."""


class ParseTurns:
    """Parses slices of all connections in turn, a bounded number at a time.

    Failure: callers send what takes long to parse, such as chunks of one byte. All
    other requests and the readiness probe wait until they pause.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[ParsingConnection, None] = {}
        self._is_scheduled = False

    def add(self, connection: ParsingConnection) -> None:
        """Let a connection parse when its turn has come."""
        self._waiting[connection] = None
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def discard(self, connection: ParsingConnection) -> None:
        """Remove a connection that was closed."""
        self._waiting.pop(connection, None)

    def _run(self) -> None:
        self._is_scheduled = False
        for _ in range(SLICES_PER_TURN):
            connection = next(iter(self._waiting), None)
            if connection is None:
                return
            del self._waiting[connection]
            if self._parse_slice(connection):
                self._waiting[connection] = None
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _parse_slice(self, connection: ParsingConnection) -> bool:
        try:
            return connection.parse_slice()
        except Exception as error:
            # The turns of the other connections go on.
            report_failure("parse_slice", error)
            connection.abort()
            return False
