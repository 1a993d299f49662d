"""Rate limits of organisations: refusals, Retry-After and the organisations page."""

import pytest

from sassafraswinch_node.addresses import parse_address
from sidecar_standins.backend import answer
from sidecar_standins.fleet import (
    ROUTES,
    call,
    organisation,
    route,
    running_fleet,
    until,
)

WINDOW_MS = 5_000.0

LIMIT = {"rate_per_s": 0.001, "burst": 0.0}
"""A rate so low that only the slack of a window is admitted."""


@pytest.fixture
async def fleet():
    async with running_fleet("archiv", "schvaleni") as started:
        table = {
            "version": 2,
            "routes": [route("orders", "/orders/", "archiv")],
            "organisations": [
                organisation("a", "key-a", limit=LIMIT),
                organisation("b", "key-b"),
            ],
        }
        await started.store.put(ROUTES, table)
        await until(
            lambda: all(n.sidecar._fleet.table.version == 2 for n in started.nodes)
        )
        for node in started.nodes:
            # Pretend that it has run for a full window, so that the usage of the window
            # is known.
            node.sidecar._rates._started_ms -= WINDOW_MS
        await until(lambda: all(knows_full_window(node) for node in started.nodes))
        yield started


def knows_full_window(node):
    usage = node.sidecar._view.usage(node.sidecar._now_ms())
    return usage.hosts == 2 and not usage.unknown_ms


async def send(fleet, number, *, key="key-a"):
    return await fleet.call(
        fleet.nodes[number % 2],
        request_id=f"r-{number}",
        fields=f"Authorization: Bearer {key}\r\n",
    )


def count_runs(fleet):
    return sum(len(node.backend.seen) for node in fleet.nodes)


async def test_requests_over_the_limit_get_a_retry_after(fleet):
    responses = [await send(fleet, number) for number in range(60)]
    refused = [response for response in responses if response.status == 429]
    assert {response.status for response in responses} == {200, 429}
    # The rule allows the slack of a window, whichever host admits the requests.
    assert count_runs(fleet) == 60 - len(refused) <= 20
    waits = [float(response.headers["retry-after"]) for response in refused]
    assert min(waits) > 0.2
    assert max(waits) <= 5.0
    assert len(set(waits)) > len(waits) / 2


async def test_an_organisation_without_a_limit_is_not_limited(fleet):
    responses = [await send(fleet, number, key="key-b") for number in range(60)]
    assert {response.status for response in responses} == {200}


async def test_organisations_page_shows_limits_and_usage_but_no_keys(fleet):
    await send(fleet, 1)
    settings = fleet.nodes[1].settings
    address = parse_address(f"{settings.ip}:{settings.metrics_port}")
    page = (await call(address, target="/organisations")).body.decode()
    first, second = page.splitlines()
    assert first.startswith("organisation=a priority=None rate_per_s=0.001")
    assert "spent_here=1 version=2" in first
    assert second == "organisation=b priority=None rate_per_s=none version=2"
    assert "key-" not in page
    assert (await call(address, target="/metrics")).status == 200


async def test_requests_that_did_not_run_are_not_counted(fleet):
    """Guards against a limit that counts requests shed by a server."""

    def refuse(connection, seen):
        fields = b"X-Not-Run: 1\r\n"
        connection.transport.write(
            answer(seen, status=503, fields=fields, signed=False)
        )

    for node in fleet.nodes:
        node.backend.behaviour = refuse
    for number in range(2):
        assert (await send(fleet, number)).status == 503
    reports = [
        node.sidecar._rates.report(node.sidecar._now_ms()) for node in fleet.nodes
    ]
    assert sum(use.spent for report in reports for use in report.uses.values()) == 0
