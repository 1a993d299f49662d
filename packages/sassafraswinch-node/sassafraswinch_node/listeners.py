"""HTTP listeners of a node: uvicorn servers on sockets bound by the node."""

import asyncio
import contextlib
import socket

import uvicorn

from sassafraswinch_node.settings import Address

BACKLOG = 1024
"""Maximum length of the queue of connections waiting to be accepted."""

KEEP_ALIVE_S = 75
"""Idle time after which a caller's persistent connection is closed."""


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the node installs its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpListener:
    """A listening socket that serves an ASGI application."""

    def __init__(self, *, app, address: Address):
        self._socket = bind(address)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http="httptools",
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


def bind(address: Address) -> socket.socket:
    """Return a listening socket on ``address``.

    Raises:
        OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol is explicitly TCP.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((address.ip, address.port))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound
