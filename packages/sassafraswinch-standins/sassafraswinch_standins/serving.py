"""Settings files and HTTP listeners of all stand-ins."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import TypeVar

import uvicorn
import yaml
from pydantic import BaseModel, ConfigDict

KEEP_ALIVE_S = 75
"""Idle time after which a client connection is closed, in seconds."""

GRACEFUL_STOP_S = 5
"""Maximum wait for requests in flight at shutdown, in seconds."""

LISTEN_BACKLOG = 1024
"""Maximum number of connections that the kernel queues until they are accepted."""

STARTUP_POLL_S = 0.005
"""Interval at which the start of an in-process server is polled, in seconds."""


class StrictModel(BaseModel):
    """Base of all settings models; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


Settings = TypeVar("Settings", bound=BaseModel)


def load_settings(model: type[Settings], path: Path) -> Settings:
    """Read a YAML file into a validated model."""
    return model.model_validate(yaml.safe_load(path.read_text()) or {})


def parse_address(text: str) -> tuple[str, int]:
    """Split ``ip:port``; port 0 stands for any free port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def serialize_address(host: str, port: int) -> str:
    """Format an IP address and a port as ``ip:port``."""
    return f"{host}:{port}"


def bind(listen: str) -> tuple[socket.socket, str]:
    """Open a listening socket.

    The protocol is given explicitly because asyncio sets TCP_NODELAY only on sockets
    with protocol ``IPPROTO_TCP``, and ``socket.create_server`` leaves it 0. Without
    TCP_NODELAY, each response of uvicorn, which is written in two parts, waits
    40 ms for the delayed acknowledgement of the first part.

    Args:
        listen: ``ip:port``; port 0 selects any free port.

    Returns:
        The socket, and its address with the actual port.
    """
    host, port = parse_address(listen)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener, serialize_address(host, listener.getsockname()[1])


def announce(address: str) -> None:
    """Print the listening address for the parent process."""
    print(f"listening {address}", flush=True)


def _make_server(app) -> uvicorn.Server:
    return uvicorn.Server(
        uvicorn.Config(
            app,
            http="httptools",
            loop="asyncio",
            ws="none",
            lifespan="off",
            access_log=False,
            log_level="warning",
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=GRACEFUL_STOP_S,
        )
    )


async def serve(app, *, listen: str) -> None:
    """Serve an ASGI application until SIGTERM or SIGINT."""
    listener, address = bind(listen)
    announce(address)
    await _make_server(app).serve(sockets=[listener])


@contextlib.asynccontextmanager
async def serving(app, *, listen: str = "127.0.0.1:0") -> AsyncIterator[str]:
    """Serve an ASGI application within this process; yields its ``ip:port``."""
    listener, address = bind(listen)
    server = _make_server(app)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    while not server.started:
        await asyncio.sleep(STARTUP_POLL_S)
    try:
        yield address
    finally:
        server.should_exit = True
        await task
