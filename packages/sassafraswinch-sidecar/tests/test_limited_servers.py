"""End-to-end tests of servers that name a rate limit, or leave, in their responses."""

import asyncio

import pytest

from sassafraswinch_sidecar.server_monitor import REPORTED_INSTANCE_LIFE_MS
from sassafraswinch_sidecar.sidecar_settings import Address
from sassafraswinch_standins.rate_windows import most_in_window
from sidecar_standins.fleet import call, running_fleet, sees_all, until
from sidecar_standins.limits import (
    IN_FLIGHT_S,
    WINDOW_S,
    StatingServer,
    allowed_requests,
    send_steadily,
)
from sidecar_standins.store import INSTANCE

LOAD_PER_S = 120.0
MIN_USED_SHARE = 0.8
"""Share of a limit that must be used while there is demand."""

SECONDS = 5.0
OTHERS_RUN_S = 0.05
"""Execution time at the other servers, which makes the stating one the emptiest."""


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "archiv", "archiv", "schvaleni") as started:
        yield started


def stating_server(fleet) -> StatingServer:
    """Return the first of the servers; the others are slower and state nothing."""
    server, *others = [StatingServer(node) for node in fleet.nodes_of("archiv")]
    for other in others:
        other.run_s = OTHERS_RUN_S
    return server


async def until_all_have_read_the_store(fleet):
    await until(
        lambda: all(
            node.sidecar._data.revision == fleet.store.revision for node in fleet.nodes
        )
    )


@pytest.mark.parametrize("limit_per_s", [12.4, 3.0, 0.4])
async def test_server_gets_no_more_than_the_limit_it_named(fleet, limit_per_s):
    """Guards against a limit that goes through to callers and binds no host."""
    server = stating_server(fleet)
    server.limit = limit_per_s
    load = await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=SECONDS)
    in_window = most_in_window(server.arrivals_after_notice(), WINDOW_S)
    assert in_window <= allowed_requests(limit_per_s)
    assert load.statuses == {200}


async def test_limit_outlasts_a_restart_of_the_sidecar_beside_the_server(fleet):
    """Guards against a limit that is forgotten with the process that read it."""
    node = fleet.nodes_of("archiv")[0]
    server = stating_server(fleet)
    server.limit = 1.0
    ingress = fleet.nodes_of("schvaleni")
    await send_steadily(fleet, ingress, per_s=LOAD_PER_S, seconds=1.0)
    assert server.stated_s is not None
    await node.kill()
    node.start()
    await send_steadily(fleet, ingress, per_s=LOAD_PER_S, seconds=SECONDS)
    in_window = most_in_window(server.arrivals_after_notice(), WINDOW_S)
    assert in_window <= allowed_requests(1.0)


async def test_server_that_states_that_it_leaves_gets_no_more_requests(fleet):
    """Guards against a leave notice that only the platform's store may give."""
    server = stating_server(fleet)
    server.is_leaving = True
    load = await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=2.0)
    assert server.arrivals_after_notice() == []
    assert load.statuses == {200}


async def test_limits_of_all_servers_are_used_and_the_rest_is_refused(fleet):
    """Load pattern: all servers of a service name limits below the demand. Callers get
    503 with a time that follows from the rates, never 502 or 504.
    """
    servers = [StatingServer(node) for node in fleet.nodes_of("archiv")]
    for server in servers:
        server.limit, server.run_s = 5.0, OTHERS_RUN_S
    load = await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=SECONDS)
    assert load.statuses == {200, 503}
    for server in servers:
        assert most_in_window(
            server.arrivals_after_notice(), WINDOW_S
        ) <= allowed_requests(5.0)
    used = sum(
        1
        for server in servers
        for at_s in server.arrivals_after_notice()
        if at_s < load.until_s
    )
    allowed = sum(
        5.0 * (load.until_s - server.stated_s - IN_FLIGHT_S) for server in servers
    )
    assert used >= MIN_USED_SHARE * allowed
    refused = [response for response in load.responses if response.status == 503]
    # Eight times as much is asked as the limits allow.
    waits_s = [float(response.headers["retry-after"]) for response in refused]
    assert max(waits_s) > 2.0


async def test_server_without_a_limit_any_more_is_used_in_full(fleet):
    """Guards against a limit that outlasts the server's word."""
    server = stating_server(fleet)
    server.limit = 3.0
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=1.0)
    assert len(server.arrivals_after_notice()) <= allowed_requests(3.0)
    server.limit = None
    limited = len(server.arrivals_s)
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=2.0)
    assert len(server.arrivals_s) - limited > 2 * allowed_requests(3.0)


async def test_unreadable_limit_holds_nothing_back(fleet, log_stream):
    """The response is delivered; one line names the value."""
    server = stating_server(fleet)
    server.limit = "nonsense"
    load = await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=1.0)
    assert load.statuses == {200}
    assert len(server.arrivals_s) > allowed_requests(3.0)
    lines = log_stream.getvalue().splitlines()
    named = [line for line in lines if "event=server_notice_invalid" in line]
    assert len(named) == 1
    assert "value=nonsense" in named[0]


async def test_limit_outlasts_a_restart_of_all_sidecars(fleet):
    """Guards against a burst of hosts that have all forgotten a limit."""
    server = stating_server(fleet)
    server.limit = 1.0
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=0.5)
    for node in fleet.nodes:
        await node.kill()
    for node in fleet.nodes:
        node.start()
    await until(lambda: all(sees_all(node, fleet) for node in fleet.nodes))
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=SECONDS)
    in_window = most_in_window(server.arrivals_after_notice(), WINDOW_S)
    assert in_window <= allowed_requests(1.0)


async def test_registration_does_not_take_a_leave_notice_back(fleet):
    """Guards against a store that lists a server as ready after it stated that it
    leaves, and against the restart of the sidecar beside it.
    """
    node, *_ = fleet.nodes_of("archiv")
    server = stating_server(fleet)
    server.is_leaving = True
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=0.5)
    await node.put_instance(fleet.store, leaving=False)
    await until_all_have_read_the_store(fleet)
    await node.kill()
    node.start()
    ingress = [each for each in fleet.nodes if each is not node]
    load = await send_steadily(fleet, ingress, per_s=LOAD_PER_S, seconds=1.5)
    assert server.arrivals_after_notice() == []
    assert load.statuses == {200}


async def test_successor_of_a_leaving_server_is_used(fleet):
    """The leave notice holds for one lifetime; the next server at the address works."""
    node, *_ = fleet.nodes_of("archiv")
    server = stating_server(fleet)
    server.is_leaving = True
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=0.5)
    server.is_leaving = False
    # The sidecar trusts the id that a server reported for that long.
    await asyncio.sleep(REPORTED_INSTANCE_LIFE_MS / 1000)
    await fleet.store.put(f"{INSTANCE}i-{node.ip}", None)
    await node.put_instance(fleet.store, name="i-successor")
    ended = len(server.arrivals_s)
    await until_all_have_read_the_store(fleet)
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=1.0)
    assert len(server.arrivals_s) > ended


async def test_next_lifetime_of_a_leaving_server_under_its_id_is_used(fleet):
    """Guards against a leave notice that outlasts its lifetime where ids are kept, and
    against one that is forgotten in its lifetime when the sidecar beside it is killed.
    """
    node, *_ = fleet.nodes_of("archiv")
    await node.put_instance(fleet.store, incarnation=1)
    await until_all_have_read_the_store(fleet)
    server = stating_server(fleet)
    server.is_leaving = True
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=0.5)
    await node.kill()
    node.start()
    ingress = [each for each in fleet.nodes if each is not node]
    await send_steadily(fleet, ingress, per_s=LOAD_PER_S, seconds=1.0)
    assert server.arrivals_after_notice() == []

    server.is_leaving = False
    await node.put_instance(fleet.store, incarnation=2)
    await until_all_have_read_the_store(fleet)
    ended = len(server.arrivals_s)
    load = await send_steadily(fleet, ingress, per_s=LOAD_PER_S, seconds=1.0)
    assert len(server.arrivals_s) > ended
    assert load.statuses == {200}


async def test_status_page_and_metrics_show_limits(fleet):
    """An operator sees the limit, whose word it is, and what it held back."""
    node, *_ = fleet.nodes_of("archiv")
    server = stating_server(fleet)
    server.limit = 0.4
    await send_steadily(fleet, fleet.nodes, per_s=LOAD_PER_S, seconds=0.5)
    page = await node_page(node, "/server-limits")
    (line,) = [each for each in page.splitlines() if f"ip={node.ip} " in each]
    assert (
        f"instance=i-{node.ip} limit_per_s=0.4 leaving=False source=own-server" in line
    )
    other = await node_page(fleet.nodes[-1], "/server-limits")
    assert f"ip={node.ip} instance=i-{node.ip} limit_per_s=0.4" in other
    metrics = await node_page(node, "/metrics")
    assert "sassafraswinch_sidecar_backend_rate_limit_per_s 0.4" in metrics


async def node_page(node, path: str) -> str:
    """Return an operators' page of a node."""
    address = Address(ip=node.ip, port=node.settings.metrics_port)
    return (await call(address, target=path)).body.decode()
