"""Plain HTTP proxy, the baseline of the latency benchmark.

A chain of these shows the cost of a proxy made of starlette, uvicorn and aiosonic
without overload control: it forwards every request.
"""

import asyncio
from pathlib import Path

import aiosonic
import defopt
from aiosonic.pools import PoolConfig
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sassafraswinch_standins.serving import StrictModel, load_settings, serve

POOL_SIZE = 200
"""Maximum number of connections from the proxy to its target."""


class HopSettings(StrictModel):
    """Settings file of a proxy."""

    listen: str = "127.0.0.1:0"
    target: str


def make_app(client: aiosonic.HTTPClient, target: str) -> Starlette:
    """Return an application that forwards each request to a target."""

    async def forward(request: Request) -> Response:
        response = await client.request(
            f"http://{target}{request.url.path}",
            method=request.method,
            headers={"x-caller-id": request.headers.get("x-caller-id", "")},
            data=await request.body(),
        )
        return Response(await response.content(), status_code=response.status_code)

    return Starlette(routes=[Route("/{path:path}", forward, methods=["POST"])])


async def run(settings: HopSettings) -> None:
    """Run a proxy until SIGTERM."""
    pools = {":default": PoolConfig(size=POOL_SIZE, max_conn_requests=None)}
    connector = aiosonic.TCPConnector(pool_configs=pools)
    client = aiosonic.HTTPClient(connector=connector)
    await serve(make_app(client, settings.target), listen=settings.listen)


def main(*, settings: Path) -> None:
    """Run a plain HTTP proxy.

    Args:
        settings: YAML file with the fields of ``HopSettings``.
    """
    asyncio.run(run(load_settings(HopSettings, settings)))


if __name__ == "__main__":
    defopt.run(main)
