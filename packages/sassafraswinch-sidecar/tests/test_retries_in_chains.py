"""Which service of a chain repeats when the deepest one fails."""

import asyncio
import itertools

import pytest

from sassafraswinch_sidecar.relay_repeats import MAX_OFFERS
from sidecar_standins.backend import answer
from sidecar_standins.fleet import ROUTES, route, running_fleet, until


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "schvaleni", "schvaleni") as started:
        lookups = [
            route("orders", "/orders/", "archiv"),
            route("approve", "/approve/", "schvaleni"),
        ]
        await started.store.put(ROUTES, {"version": 2, "routes": lookups})
        await until(
            lambda: all(n.sidecar._fleet.table.version == 2 for n in started.nodes)
        )
        yield started


def call_archiv(node, tasks):
    """Return the behaviour of a server that calls archiv and fails with it."""

    async def call_on(connection, seen, fleet):
        inner = f"{seen.request_id.decode()}.c1"
        got = await fleet.call(node, request_id=inner)
        status = 200 if got.status == 200 else 500
        connection.transport.write(answer(seen, status=status))

    def behave(fleet):
        return lambda connection, seen: tasks.append(
            asyncio.create_task(call_on(connection, seen, fleet))
        )

    return behave


def shed(connection, seen):
    """Refuse in the documented form."""
    fields = b"X-Not-Run: 1\r\n"
    connection.transport.write(answer(seen, status=503, fields=fields, signed=False))


async def runs_of_callers(fleet):
    """Send a request whose call fails; return how often its own server ran it."""
    tasks = []
    callers = fleet.of("schvaleni")
    for node in callers:
        node.backend.behaviour = call_archiv(node, tasks)(fleet)
    (archiv,) = fleet.of("archiv")
    archiv.backend.behaviour = shed
    await fleet.call(archiv, target="/approve/1")
    return sum(len(node.backend.seen) for node in callers)


async def test_request_is_not_repeated_for_a_call_that_could_not_be(fleet):
    """A deep service sheds half of all it gets, and the repeats there are used up. The
    service above answers 500; to repeat its requests would run the whole tree again,
    for calls that may not even be repeated themselves.
    """
    for node in fleet.of("schvaleni"):
        node.sidecar._budget.allows = lambda *args, **options: False
    assert await runs_of_callers(fleet) == 1


async def test_request_is_repeated_while_there_are_repeats(fleet):
    """A call fails at both servers that it may go to, and little is repeated. The
    request above it is worth another try.
    """
    for node in fleet.nodes:
        node.sidecar._budget.allows = lambda *args, **options: True
    assert await runs_of_callers(fleet) == 2


def pass_each(nth):
    """Return a behaviour that refuses all but each nth request, unrun."""
    seen_so_far = itertools.count(1)

    def behave(connection, seen):
        if next(seen_so_far) % nth:
            shed(connection, seen)
        else:
            connection.transport.write(answer(seen))

    return behave


async def test_call_is_offered_again_to_a_server_that_refuses_most(fleet):
    """The only server of the deepest service refuses three of four requests though it
    has room. Given up after the two servers that a request may go to, hardly any tree
    that makes eight calls in turn would ever end.
    """
    for node in fleet.nodes:
        node.sidecar._budget.allows = lambda *args, **options: True
    (archiv,) = fleet.of("archiv")
    archiv.backend.behaviour = pass_each(4)
    for number in range(5):
        got = await fleet.call(fleet.nodes[1], request_id=f"r-{number}")
        assert got.status == 200
    assert len(archiv.backend.seen) == 20


async def test_request_goes_to_no_more_servers_than_its_route_allows(fleet):
    """All servers refuse. A request that may go to one server is offered again there
    alone, and is refused unrun in the end.
    """
    one = route("approve", "/approve/", "schvaleni", max_attempts=1)
    await fleet.store.put(ROUTES, {"version": 3, "routes": [one]})
    await until(lambda: all(n.sidecar._fleet.table.version == 3 for n in fleet.nodes))
    for node in fleet.nodes:
        node.sidecar._budget.allows = lambda *args, **options: True
        node.backend.behaviour = shed
    got = await fleet.call(fleet.nodes[0], target="/approve/1")
    assert got.status == 503
    seen = sorted(len(node.backend.seen) for node in fleet.of("schvaleni"))
    assert seen == [0, MAX_OFFERS]
