"""API keys of organisations, and the organisation header for backend servers."""

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
ALL_ROUTES = [
    route("orders", "/orders/", "archiv"),
    route("approve", "/approve/", "schvaleni", idempotent=False),
    route("prices", "/prices/", "archiv", public=True),
]


async def configure(fleet, version, *organisations):
    """Configure organisations at all sidecars; None for a deployment without any."""
    organisation_list = None if organisations == (None,) else list(organisations)
    table = {
        "version": version,
        "routes": ALL_ROUTES,
        "organisations": organisation_list,
    }
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


def requests_seen_by(fleet, service):
    return [seen for node in fleet.nodes_of(service) for seen in node.backend.seen]


async def test_the_server_gets_the_organisation_and_not_the_key(fleet):
    fields = KEY + "X-Organisation: forged\r\nAccept: x\r\n"
    response = await fleet.call(fleet.nodes_of("schvaleni")[0], fields=fields)
    (seen,) = requests_seen_by(fleet, "archiv")
    assert response.status == 200
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
async def test_a_request_without_a_known_key_does_not_run(fleet, fields):
    response = await fleet.call(fleet.nodes[0], fields=fields)
    assert response.status == 401
    assert response.headers["www-authenticate"] == "Bearer"
    assert not requests_seen_by(fleet, "archiv")


async def test_an_unknown_path_takes_precedence_over_an_unknown_key(fleet):
    assert (await fleet.call(fleet.nodes[0], target="/nowhere/1")).status == 404


@pytest.mark.parametrize(
    ("fields", "told"),
    [("", None), ("Authorization: Bearer unknown\r\n", None), (KEY, b"a")],
)
async def test_a_public_route_needs_no_key(fleet, fields, told):
    fields += "X-Organisation: forged\r\n"
    response = await fleet.call(fleet.nodes[0], target="/prices/1", fields=fields)
    (seen,) = requests_seen_by(fleet, "archiv")
    assert response.status == 200
    assert seen.headers.get(b"x-organisation") == told
    assert b"authorization" not in seen.headers


async def test_without_organisations_keys_are_forwarded_to_the_server(fleet):
    await configure(fleet, 3, None)
    fields = "Authorization: Bearer any\r\nX-Organisation: any\r\n"
    response = await fleet.call(fleet.nodes[0], fields=fields)
    (seen,) = requests_seen_by(fleet, "archiv")
    assert response.status == 200
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


async def test_a_reassigned_key_identifies_its_new_organisation(fleet):
    await configure(fleet, 3, organisation("a"), organisation("b", "key-a"))
    assert (await fleet.call(fleet.nodes[0], fields=KEY)).status == 200
    (seen,) = requests_seen_by(fleet, "archiv")
    assert seen.headers[b"x-organisation"] == b"b"


async def test_a_request_is_not_retried_once_its_key_is_removed(fleet):
    """Guards against a retry of a request whose key was removed since it arrived."""
    tasks = []

    async def remove_key_and_refuse(connection, seen):
        await configure(fleet, 3, organisation("a", "key-a2"))
        refusal = answer(seen, status=503, fields=b"X-Not-Run: 1\r\n", signed=False)
        connection.transport.write(refusal)

    def refuse(connection, seen):
        tasks.append(asyncio.create_task(remove_key_and_refuse(connection, seen)))

    (archiv,) = fleet.nodes_of("archiv")
    archiv.backend.behaviour = refuse
    response = await fleet.call(fleet.nodes_of("schvaleni")[0], fields=KEY)
    assert response.status == 503
    assert len(archiv.backend.seen) == 1


async def make_child_call(fleet, *, parent_runs):
    """Let a server make a child call without a key; return the response to it."""
    (caller,) = fleet.nodes_of("schvaleni")
    results = []
    tasks = []

    async def call_and_respond(connection, seen):
        request_id = f"{seen.request_id.decode()}.1"
        if not parent_runs:
            request_id = "r-other.1"
        fields = "X-Organisation: forged\r\n"
        response = await fleet.call(caller, request_id=request_id, fields=fields)
        results.append(response)
        connection.transport.write(answer(seen))

    def behave(connection, seen):
        tasks.append(asyncio.create_task(call_and_respond(connection, seen)))

    caller.backend.behaviour = behave
    await fleet.call(fleet.nodes_of("archiv")[0], target="/approve/1", fields=KEY)
    return results[0]


async def test_a_call_runs_under_the_organisation_of_its_parent(fleet):
    assert (await make_child_call(fleet, parent_runs=True)).status == 200
    (seen,) = requests_seen_by(fleet, "archiv")
    assert seen.headers[b"x-organisation"] == b"a"


async def test_an_id_in_the_form_of_a_child_call_grants_no_access(fleet):
    """Guards against callers without a key that send an id in the form of a child's.

    The parent in the id doesn't run here.
    """
    response = await make_child_call(fleet, parent_runs=False)
    assert response.status == 503
    assert not requests_seen_by(fleet, "archiv")


async def send_without_id(node, **options):
    """Send a request without an id on a new connection; return the response."""
    address = node.settings.address("outbound")
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    lines = request_bytes(**options).split(b"\r\n")
    writer.write(b"\r\n".join(e for e in lines if not e.startswith(b"X-Request-Id")))
    try:
        async with asyncio.timeout(10):
            return await read_answer(reader)
    finally:
        writer.close()


async def test_a_request_without_an_id_is_refused_and_lends_no_access(fleet):
    """Guards against requests that pass for calls of a request without an id, and run
    under its organisation without a key.
    """
    (caller,) = fleet.nodes_of("schvaleni")
    (archiv,) = fleet.nodes_of("archiv")
    caller.backend.behaviour = lambda connection, seen: None
    waiting = asyncio.create_task(
        send_without_id(archiv, target="/approve/1", method="POST", fields=KEY)
    )
    await asyncio.sleep(0.1)
    others = [
        await fleet.call(caller, request_id="r-9"),
        await send_without_id(caller),
    ]
    refused = await waiting
    assert (refused.status, refused.body) == (400, b"The request has no id.\n")
    assert [each.status for each in others] == [401, 400]
    assert not requests_seen_by(fleet, "archiv")
    assert not requests_seen_by(fleet, "schvaleni")


async def test_the_repr_of_a_request_contains_no_keys(fleet):
    shown = []
    (archiv,) = fleet.nodes_of("archiv")

    def show_relays(connection, seen):
        owner = fleet.nodes_of("schvaleni")[0].sidecar._owner
        shown.extend(repr(relay) for relay in owner.relays.values())
        connection.transport.write(answer(seen))

    archiv.backend.behaviour = show_relays
    await fleet.call(fleet.nodes_of("schvaleni")[0], fields=KEY)
    assert shown
    assert "key-a" not in "".join(shown)
