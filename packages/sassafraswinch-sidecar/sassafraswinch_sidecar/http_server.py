"""HTTP/1.1 server for callers."""

import asyncio
import socket
from collections.abc import Callable

from sassafraswinch_node.listening_sockets import (
    BACKLOG,
    CLOSE_CHECK_INTERVAL_S,
    bind,
    finish_handshakes,
    read_received_bytes,
)
from sassafraswinch_node.supervision import run_step
from sassafraswinch_sidecar.caller_connection import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)
from sassafraswinch_sidecar.connection_limit import ConnectionLimit
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.parse_turns import ParseTurns
from sassafraswinch_sidecar.routes import RequestLimits

__all__ = ["CallerConnection", "HttpListener", "HttpRequest", "RequestHandler"]

TIMEOUT_CHECK_INTERVAL_S = 0.5
"""Interval of the checks of the connections' timeouts, which are seconds long."""

CLOSE_TIMEOUT_MS = 400.0
"""Time limit of a stop for the connections that are still open, unless their callers
are reading a response. It includes the time for the first request of a new one."""


class HttpListener:
    """A listening socket and its connections.

    Args:
        handler: handles the requests.
        limits: returns the request limits in force.
        held: counts the bytes that this process buffers.
        connection_limit: limit of the connections; None for none.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], RequestLimits],
        held: HeldBytes,
        connection_limit: ConnectionLimit | None = None,
    ):
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self._handler = handler
        self._limits = limits
        self._held = held
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task | None = None
        self._turns = ParseTurns()
        self._connection_limit = connection_limit or ConnectionLimit()

    async def open(self, ip: str, port: int, *, backlog: int = BACKLOG) -> None:
        """Listen at an address."""
        await self.serve(bind(ip, port, backlog=backlog), backlog=backlog)

    async def serve(self, listening: socket.socket, *, backlog: int = BACKLOG) -> None:
        """Accept connections on a listening socket."""
        loop = asyncio.get_running_loop()
        self._socket = listening
        self._server = await loop.create_server(
            self._new_connection, sock=listening, backlog=backlog
        )
        self._timeout_task = loop.create_task(self._check_timeouts_forever())

    def drain(self) -> None:
        """Close each connection after its next response, or once it is idle for long.

        New connections are still accepted.
        """
        self.closing = True

    async def close(self, write_until_ms: float = 0.0) -> int:
        """Stop listening, and close the connections once their requests are answered.

        Args:
            write_until_ms: event loop time until which callers may read their
                responses; ``CLOSE_TIMEOUT_MS`` from now if that is later.

        Returns:
            The number of connections that were aborted because they were still open.
        """
        self.closing = True
        aborted = 0
        if self._server is not None:
            await finish_handshakes(self._socket)
            self._server.close()
            aborted = await self._close_connections(write_until_ms)
        if self._timeout_task is not None:
            self._timeout_task.cancel()
        return aborted

    async def _close_connections(self, write_until_ms: float) -> int:
        loop = asyncio.get_running_loop()
        since_ms = now_ms = loop.time() * 1000
        while self._awaits_callers(now_ms, since_ms, write_until_ms):
            for connection in list(self.connections):
                connection.stop(now_ms, since_ms)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
            now_ms = loop.time() * 1000
        await read_received_bytes(each.socket for each in self.connections)
        open_connections = list(self.connections)
        for connection in open_connections:
            connection.abort()
        return len(open_connections)

    def _awaits_callers(
        self, now_ms: float, since_ms: float, write_until_ms: float
    ) -> bool:
        """Return whether a stop is to go on for the connections that are open."""
        if now_ms - since_ms < CLOSE_TIMEOUT_MS:
            return bool(self.connections)
        return now_ms < write_until_ms and any(
            connection.awaits_caller(now_ms) for connection in self.connections
        )

    def _new_connection(self) -> CallerConnection:
        return CallerConnection(
            handler=self._handler,
            limits=self._limits,
            held=self._held,
            connections=self.connections,
            turns=self._turns,
            connection_limit=self._connection_limit,
            closing=lambda: self.closing,
        )

    async def _check_timeouts_forever(self) -> None:
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self._check_timeouts()

    def _check_timeouts(self) -> None:
        # Not in the task itself, whose variables would keep the last connection.
        now_ms = asyncio.get_running_loop().time() * 1000
        for connection in list(self.connections):
            run_step("check_timeouts", connection.check_timeouts, now_ms)
