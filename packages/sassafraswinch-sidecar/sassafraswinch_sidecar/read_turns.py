"""Bounds what is read from one connection in one turn of the event loop."""

import asyncio
from collections.abc import Callable

LONG_READ_BYTES = 64 * 1024
"""Length of a read from which more of the same is to be expected."""

MAX_TURN_BYTES = 512 * 1024
"""Bytes read in one turn; handling them takes less than a millisecond."""


class ReadTurns:
    """Pauses a connection for a turn once it has brought much at once.

    Failure: libuv reads up to 8 MB from a connection before it turns to the next one.
    All other requests wait while they are parsed.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._turn_bytes = 0
        self._is_paused = False

    def record(
        self,
        transport: asyncio.Transport,
        size_bytes: int,
        may_resume: Callable[[], bool] = lambda: True,
    ) -> None:
        """Record a read, and pause the connection if it is due.

        Args:
            transport: the connection.
            size_bytes: length of the read.
            may_resume: returns whether nothing else keeps the connection paused.
        """
        if size_bytes < LONG_READ_BYTES:
            return
        self._turn_bytes += size_bytes
        if self._turn_bytes < MAX_TURN_BYTES or self._is_paused:
            return
        self._is_paused = True
        transport.pause_reading()
        self._loop.call_soon(self._resume, transport, may_resume)

    def _resume(
        self, transport: asyncio.Transport, may_resume: Callable[[], bool]
    ) -> None:
        self._is_paused = False
        self._turn_bytes = 0
        if not transport.is_closing() and may_resume():
            transport.resume_reading()
