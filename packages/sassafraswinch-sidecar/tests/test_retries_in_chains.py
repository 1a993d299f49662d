"""Retries in a call chain whose deepest service fails."""

import asyncio
import itertools

import pytest

from sassafraswinch_sidecar.relay_retry_policy import MAX_OFFERS
from sidecar_standins.backend import answer
from sidecar_standins.fleet import ROUTES, route, running_fleet, until


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "schvaleni", "schvaleni") as started:
        routes = [
            route("orders", "/orders/", "archiv"),
            route("approve", "/approve/", "schvaleni"),
        ]
        await started.store.put(ROUTES, {"version": 2, "routes": routes})
        await until(
            lambda: all(n.sidecar._fleet.table.version == 2 for n in started.nodes)
        )
        yield started


def call_archiv(node, tasks):
    """Return the behaviour of a server that calls archiv and fails if that fails."""

    async def call_archiv_and_respond(connection, seen, fleet):
        child_id = f"{seen.request_id.decode()}.c1"
        response = await fleet.call(node, request_id=child_id)
        status = 200 if response.status == 200 else 500
        connection.transport.write(answer(seen, status=status))

    def behave(fleet):
        return lambda connection, seen: tasks.append(
            asyncio.create_task(call_archiv_and_respond(connection, seen, fleet))
        )

    return behave


def shed(connection, seen):
    """Refuse a request with the header that proves that it did not run."""
    fields = b"X-Not-Run: 1\r\n"
    connection.transport.write(answer(seen, status=503, fields=fields, signed=False))


async def count_upstream_runs(fleet):
    """Send a request whose child call fails; return how often the request ran."""
    tasks = []
    callers = fleet.nodes_of("schvaleni")
    for node in callers:
        node.backend.behaviour = call_archiv(node, tasks)(fleet)
    (archiv,) = fleet.nodes_of("archiv")
    archiv.backend.behaviour = shed
    await fleet.call(archiv, target="/approve/1")
    return sum(len(node.backend.seen) for node in callers)


async def test_request_is_not_retried_for_a_call_without_retry_budget(fleet):
    """A deep service sheds half of its requests, and its retry budget is exhausted. The
    upstream service then responds with 500. A retry of the upstream request would run
    the full call tree again, for calls that may not be retried themselves.
    """
    for node in fleet.nodes_of("schvaleni"):
        node.sidecar._budget.allows_retry = lambda *args, **options: False
    assert await count_upstream_runs(fleet) == 1


async def test_request_is_retried_within_the_retry_budget(fleet):
    """A call fails at both servers that it may be sent to, and the budget has room. The
    upstream request is retried.
    """
    for node in fleet.nodes:
        node.sidecar._budget.allows_retry = lambda *args, **options: True
    assert await count_upstream_runs(fleet) == 2


def refuse_all_but_every(nth):
    """Return a behaviour that refuses to run all but every nth request."""
    request_numbers = itertools.count(1)

    def behave(connection, seen):
        if next(request_numbers) % nth:
            shed(connection, seen)
        else:
            connection.transport.write(answer(seen))

    return behave


async def test_call_is_retried_at_a_server_that_refuses_most_requests(fleet):
    """The only server of the deepest service refuses 3 of 4 requests although it has
    free slots. If a call failed after 2 attempts, the limit of its route, hardly any
    call tree with 8 sequential calls would complete.
    """
    for node in fleet.nodes:
        node.sidecar._budget.allows_retry = lambda *args, **options: True
    (archiv,) = fleet.nodes_of("archiv")
    archiv.backend.behaviour = refuse_all_but_every(4)
    for number in range(5):
        response = await fleet.call(fleet.nodes[1], request_id=f"r-{number}")
        assert response.status == 200
    assert len(archiv.backend.seen) == 20


async def test_request_is_sent_to_no_more_servers_than_its_route_allows(fleet):
    """All servers refuse to run requests. A request that may be sent to one server only
    is retried there alone, and finally fails as not run.
    """
    single_attempt = route("approve", "/approve/", "schvaleni", max_attempts=1)
    await fleet.store.put(ROUTES, {"version": 3, "routes": [single_attempt]})
    await until(lambda: all(n.sidecar._fleet.table.version == 3 for n in fleet.nodes))
    for node in fleet.nodes:
        node.sidecar._budget.allows_retry = lambda *args, **options: True
        node.backend.behaviour = shed
    response = await fleet.call(fleet.nodes[0], target="/approve/1")
    assert response.status == 503
    seen = sorted(len(node.backend.seen) for node in fleet.nodes_of("schvaleni"))
    assert seen == [0, MAX_OFFERS]
