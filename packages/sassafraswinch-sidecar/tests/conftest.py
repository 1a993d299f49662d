"""Event loops of the sidecar's tests."""

import asyncio

from sassafraswinch_sidecar.event_loop import new_event_loop

ASYNCIO = {"asyncio": asyncio.new_event_loop}
SIDECAR = {"sidecar": new_event_loop}
"""What sidecars run on: libuv differs from asyncio's loop in how sockets end."""

LOOPS_BY_MODULE = {
    "test_crashing_requests": SIDECAR,
    "test_http_client": ASYNCIO | SIDECAR,
    "test_http_server": ASYNCIO | SIDECAR,
}


def pytest_asyncio_loop_factories(config, item):
    """Run the tests of sockets on the loops that matter to them."""
    return LOOPS_BY_MODULE.get(item.path.stem, ASYNCIO)
