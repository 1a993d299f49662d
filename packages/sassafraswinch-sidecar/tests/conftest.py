"""Event loops and the log of the sidecar's tests."""

import asyncio
import io

import pytest

from sassafraswinch_node.logs import configure_logs
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


@pytest.fixture
def log_stream():
    """The lines that are logged, in the format of a sidecar."""
    stream = io.StringIO()
    configure_logs(level="info", stream=stream)
    # The log keeps what was told before it had a destination; other tests leave some.
    stream.seek(0)
    stream.truncate()
    yield stream
    configure_logs(level="info")
