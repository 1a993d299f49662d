"""Requests that end the backend servers that run them."""

import io

import pytest

from sassafraswinch_node.logs import configure_logs
from sidecar_standins.fleet import running_fleet


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "archiv", "schvaleni") as started:
        yield started


@pytest.fixture
def log():
    stream = io.StringIO()
    configure_logs(level="info", stream=stream)
    # The log keeps what was told before it had a destination; other tests leave some.
    stream.seek(0)
    stream.truncate()
    yield stream
    configure_logs(level="info")


def crash(backend):
    """Return a behaviour that ends the server's process."""

    def behave(connection, seen):
        backend.close()

    return behave


async def test_log_tells_a_lost_answer_from_the_end_of_the_server(fleet, log):
    """Callers get 502 for a request. An operator must see whether only its answer was
    lost, or the server's process ended while it ran, and that two such requests with
    different ids are the same.
    """
    node = fleet.of("schvaleni")[0]

    def lose(connection, seen):
        connection.transport.abort()

    node.backend.behaviour = lose
    await fleet.call(node, target="/approve/1", request_id="r-1")
    node.backend.behaviour = crash(node.backend)
    got = await fleet.call(node, target="/approve/1", request_id="r-2")
    assert got.status == 502
    lines = log.getvalue().splitlines()
    ended = [line for line in lines if "event=execution_ended" in line]
    assert "request_id=r-1" in ended[0]
    assert "reason=server-reset" in ended[0]
    assert "request_id=r-2" in ended[1]
    assert "reason=server-ended" in ended[1]
    (told,) = [line for line in lines if "event=ran_at_server_end" in line]
    assert "request_id=r-2" in told
    assert "digest=" in told
