"""HTTP listeners of a node: uvicorn servers on sockets bound by the node."""

import asyncio
import contextlib
import socket
from functools import partial

import uvicorn

from sassafraswinch_node.caller_memory import MAX_CALLER_MEMORY_BYTES, CallerMemory
from sassafraswinch_node.caller_protocol import MAX_HEADER_BYTES, CallerProtocol
from sassafraswinch_node.listening_sockets import (
    CLOSE_CHECK_INTERVAL_S,
    bind,
    finish_handshakes,
    read_received_bytes,
)
from sassafraswinch_node.settings import Address

KEEP_ALIVE_S = 75
"""Idle time after which a caller's persistent connection is closed."""

IDLE_CLOSE_TIMEOUT_MS = 1_000.0
"""Time limit of a stop for connections without a request in progress."""


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the node installs its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening and close the idle connections, then wait for the others."""
        for listening in sockets or ():
            await finish_handshakes(listening)
        for server in self.servers:
            server.close()
        await self._close_idle_connections()
        await super().shutdown(sockets=sockets)

    async def _close_idle_connections(self) -> None:
        """Close each connection once it is idle, and wait until the callers do so."""
        loop = asyncio.get_running_loop()
        since_s = loop.time()
        ends_s = since_s + IDLE_CLOSE_TIMEOUT_MS / 1000
        while self.server_state.connections and loop.time() < ends_s:
            for connection in list(self.server_state.connections):
                connection.stop(since_s)
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        await read_received_bytes(
            connection.transport.get_extra_info("socket")
            for connection in self.server_state.connections
        )


class HttpListener:
    """A listening socket that serves an ASGI application.

    Args:
        app: the application.
        address: address of the listener.
        listening: its socket; by default it is bound here.
        memory: counts what callers make the process hold; by default, those of this
            listener alone.
        max_header_bytes: limit on the header of a request.
    """

    def __init__(
        self,
        *,
        app,
        address: Address,
        listening: socket.socket | None = None,
        memory: CallerMemory | None = None,
        max_header_bytes: int = MAX_HEADER_BYTES,
    ):
        self._socket = listening or bind(address.ip, address.port)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=partial(
                CallerProtocol,
                memory=memory or CallerMemory(max_bytes=MAX_CALLER_MEMORY_BYTES),
                max_header_bytes=max_header_bytes,
            ),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            proxy_headers=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    @property
    def address(self) -> Address:
        """The bound address; for port 0, with the port that the system assigned."""
        ip, port = self._socket.getsockname()[:2]
        return Address(ip=ip, port=port)

    async def start(self) -> None:
        """Start to serve; ``stop`` ends it."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0.001)

    async def stop(self, *, timeout_s: int | None = None) -> None:
        """Stop accepting connections and complete the requests in flight.

        Args:
            timeout_s: time after which these are cancelled; None waits for them.
        """
        self._server.config.timeout_graceful_shutdown = timeout_s
        self._server.should_exit = True
        if self._task is not None:
            await self._task
