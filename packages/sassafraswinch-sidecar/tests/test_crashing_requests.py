"""Requests that end the backend servers that run them."""

import asyncio
import io
import itertools

import pytest

from sassafraswinch_node.logs import configure_logs
from sidecar_standins.backend import answer
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


BAD = "/orders/bad"
RESTART_S = 0.15
"""Time after which a server that has ended runs again."""

SPREAD_S = 1.0
"""Time in which all hosts must know of an end: a third of what is allowed."""


class CrashingServers:
    """Servers that end when they run a bad request, and start again as new ones.

    Attributes:
        ends: ids of the bad requests that a server ran, one for each end.
        fatal: targets of bad requests.
    """

    def __init__(self, fleet, service):
        self.ends: list[str] = []
        self.fatal = {BAD.encode()}
        self.run_ms = 0.0
        self._store = fleet.store
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        for node in fleet.of(service):
            self._behave(node)

    def _behave(self, node) -> None:
        def behave(connection, seen):
            if seen.target in self.fatal:
                self.ends.append(seen.request_id.decode())
                node.backend.close()
                self._tasks.append(asyncio.create_task(self._restart(node)))
            elif self.run_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self.run_ms / 1000, connection.transport.write, answer(seen)
                )
            else:
                connection.transport.write(answer(seen))

        node.backend.behaviour = behave

    async def _restart(self, node) -> None:
        await asyncio.sleep(RESTART_S)
        await node.backend.open(node.ip, node.backend_port)
        name = f"i-{node.ip}-{next(self._numbers)}"
        await node.put_instance(self._store, name=name)

    async def all_up(self) -> None:
        """Wait until every server runs again."""
        await asyncio.gather(*self._tasks)


def other_hosts(fleet):
    """Return all hosts, again and again."""
    return itertools.cycle(fleet.nodes)


async def end_three_servers(fleet, servers):
    """Send the bad request, at one host after the other, until three servers ended."""
    numbers = itertools.count(1)
    for node in other_hosts(fleet):
        await fleet.call(node, target=BAD, request_id=f"bad-{next(numbers)}")
        if len(servers.ends) >= 3:
            return
        await servers.all_up()


async def test_request_that_ended_three_servers_is_sent_to_no_more():
    """Order lookups were refused or failed for seconds, again and again. One lookup,
    sent again under new ids at any host, ended each server that began to run it, and
    our own repeat took it to a second one each time: thirteen servers ended under it
    within four seconds, twenty-four in all. No host remembered it, since nothing was
    kept beyond one id.

    Within six seconds ten servers ended and event=execution_ended told of 319 requests
    that were lost so, 32 of them at two servers and none at three: no id stood out.
    """
    async with running_fleet(*["archiv"] * 4, "schvaleni", "vydej") as fleet:
        servers = CrashingServers(fleet, "archiv")
        await end_three_servers(fleet, servers)
        await asyncio.sleep(SPREAD_S)
        await servers.all_up()
        known = list(servers.ends)
        for number, node in enumerate(fleet.nodes):
            await fleet.call(node, target=BAD, request_id=f"again-{number}")
        assert servers.ends == known
        assert len(known) == 3
