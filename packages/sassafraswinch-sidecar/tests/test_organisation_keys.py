"""Who may send requests, and what backend servers are told of it."""

import asyncio

import pytest

from sidecar_standins.backend import answer
from sidecar_standins.fleet import (
    ROUTES,
    organisation,
    read_answer,
    request_bytes,
    route,
    running_fleet,
    until,
)

KEY = "Authorization: Bearer key-a\r\n"
ROUTES_OF_ALL = [
    route("orders", "/orders/", "archiv"),
    route("approve", "/approve/", "schvaleni", idempotent=False),
    route("prices", "/prices/", "archiv", public=True),
]


async def configure(fleet, version, *organisations):
    """Put organisations in force at all sidecars; None for a deployment without."""
    listed = None if organisations == (None,) else list(organisations)
    table = {"version": version, "routes": ROUTES_OF_ALL, "organisations": listed}
    await fleet.store.put(ROUTES, table)
    await until(
        lambda: all(n.sidecar._fleet.table.version == version for n in fleet.nodes)
    )


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "schvaleni") as started:
        await configure(
            started, 2, organisation("a", "key-a", "key-a2"), organisation("b", "key-b")
        )
        yield started


def seen_by(fleet, service):
    return [seen for node in fleet.nodes_of(service) for seen in node.backend.seen]


async def test_the_server_gets_the_organisation_and_not_the_key(fleet):
    fields = KEY + "X-Organisation: forged\r\nAccept: x\r\n"
    got = await fleet.call(fleet.nodes_of("schvaleni")[0], fields=fields)
    (seen,) = seen_by(fleet, "archiv")
    assert got.status == 200
    assert seen.headers[b"x-organisation"] == b"a"
    assert b"authorization" not in seen.headers
    assert seen.headers[b"accept"] == b"x"


@pytest.mark.parametrize(
    "fields",
    [
        "",
        "Authorization: Bearer unknown\r\n",
        "Authorization: Basic key-a\r\n",
        "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b\r\n",
        "X-Organisation: a\r\n",
    ],
)
async def test_without_a_known_key_nothing_runs(fleet, fields):
    got = await fleet.call(fleet.nodes[0], fields=fields)
    assert got.status == 401
    assert got.headers["www-authenticate"] == "Bearer"
    assert not seen_by(fleet, "archiv")


async def test_an_unknown_path_is_told_before_an_unknown_key(fleet):
    assert (await fleet.call(fleet.nodes[0], target="/nowhere/1")).status == 404


@pytest.mark.parametrize(
    ("fields", "told"),
    [("", None), ("Authorization: Bearer unknown\r\n", None), (KEY, b"a")],
)
async def test_a_public_route_needs_no_key(fleet, fields, told):
    fields += "X-Organisation: forged\r\n"
    got = await fleet.call(fleet.nodes[0], target="/prices/1", fields=fields)
    (seen,) = seen_by(fleet, "archiv")
    assert got.status == 200
    assert seen.headers.get(b"x-organisation") == told
    assert b"authorization" not in seen.headers


async def test_without_organisations_keys_are_the_servers_own_concern(fleet):
    await configure(fleet, 3, None)
    fields = "Authorization: Bearer any\r\nX-Organisation: any\r\n"
    got = await fleet.call(fleet.nodes[0], fields=fields)
    (seen,) = seen_by(fleet, "archiv")
    assert got.status == 200
    assert seen.headers[b"authorization"] == b"Bearer any"
    assert seen.headers[b"x-organisation"] == b"any"


async def test_a_removed_key_is_refused_on_an_open_connection(fleet):
    address = fleet.nodes[0].settings.address("outbound")
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(request_bytes(fields=KEY))
    assert (await read_answer(reader)).status == 200
    await configure(fleet, 3, organisation("a", "key-a2"))
    writer.write(request_bytes(request_id="r-2", fields=KEY))
    assert (await read_answer(reader)).status == 401
    writer.close()


async def test_a_key_that_moves_names_its_new_organisation(fleet):
    await configure(fleet, 3, organisation("a"), organisation("b", "key-a"))
    assert (await fleet.call(fleet.nodes[0], fields=KEY)).status == 200
    (seen,) = seen_by(fleet, "archiv")
    assert seen.headers[b"x-organisation"] == b"b"


async def test_a_request_that_waits_isnt_sent_once_its_key_is_removed(fleet):
    """Guards against a request that outlives its key by being sent once more."""
    tasks = []

    async def remove_key_and_refuse(connection, seen):
        await configure(fleet, 3, organisation("a", "key-a2"))
        unrun = answer(seen, status=503, fields=b"X-Not-Run: 1\r\n", signed=False)
        connection.transport.write(unrun)

    def refuse(connection, seen):
        tasks.append(asyncio.create_task(remove_key_and_refuse(connection, seen)))

    (archiv,) = fleet.nodes_of("archiv")
    archiv.backend.behaviour = refuse
    got = await fleet.call(fleet.nodes_of("schvaleni")[0], fields=KEY)
    assert got.status == 503
    assert len(archiv.backend.seen) == 1


async def call_within(fleet, *, parent_runs):
    """Let a server make a call without a key; return what it got."""
    (caller,) = fleet.nodes_of("schvaleni")
    results = []
    tasks = []

    async def call_on(connection, seen):
        request_id = f"{seen.request_id.decode()}.1"
        if not parent_runs:
            request_id = "r-other.1"
        fields = "X-Organisation: forged\r\n"
        got = await fleet.call(caller, request_id=request_id, fields=fields)
        results.append(got)
        connection.transport.write(answer(seen))

    def behave(connection, seen):
        tasks.append(asyncio.create_task(call_on(connection, seen)))

    caller.backend.behaviour = behave
    await fleet.call(fleet.nodes_of("archiv")[0], target="/approve/1", fields=KEY)
    return results[0]


async def test_a_call_runs_under_the_organisation_of_its_parent(fleet):
    assert (await call_within(fleet, parent_runs=True)).status == 200
    (seen,) = seen_by(fleet, "archiv")
    assert seen.headers[b"x-organisation"] == b"a"


async def test_an_id_that_looks_like_a_call_gains_nothing(fleet):
    """Guards against a caller without a key that names a running request's id."""
    got = await call_within(fleet, parent_runs=False)
    assert got.status == 503
    assert not seen_by(fleet, "archiv")


async def test_keys_show_in_no_text_of_a_request(fleet):
    shown = []
    (archiv,) = fleet.nodes_of("archiv")

    def look(connection, seen):
        owner = fleet.nodes_of("schvaleni")[0].sidecar._owner
        shown.extend(repr(relay) for relay in owner.relays.values())
        connection.transport.write(answer(seen))

    archiv.backend.behaviour = look
    await fleet.call(fleet.nodes_of("schvaleni")[0], fields=KEY)
    assert shown
    assert "key-a" not in "".join(shown)
