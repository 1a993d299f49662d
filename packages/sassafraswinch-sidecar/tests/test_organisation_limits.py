"""What callers above their organisation's rate get."""

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
"""A rate so low that what is free in a window is all that passes."""


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
            # As if it had run for a window: what others let in before is known.
            node.sidecar._rates._started_ms -= WINDOW_MS
        await until(lambda: all(knows_the_window(node) for node in started.nodes))
        yield started


def knows_the_window(node):
    told = node.sidecar._view.usage(node.sidecar._now_ms())
    return told.hosts == 2 and not told.unknown_ms


async def send(fleet, number, *, key="key-a"):
    return await fleet.call(
        fleet.nodes[number % 2],
        request_id=f"r-{number}",
        fields=f"Authorization: Bearer {key}\r\n",
    )


def runs(fleet):
    return sum(len(node.backend.seen) for node in fleet.nodes)


async def test_requests_above_the_limit_are_told_when_to_come_back(fleet):
    answers = [await send(fleet, number) for number in range(60)]
    refused = [got for got in answers if got.status == 429]
    assert {got.status for got in answers} == {200, 429}
    # The rule allows what is free in a window, whichever host lets it in.
    assert runs(fleet) == 60 - len(refused) <= 20
    waits = [float(got.headers["retry-after"]) for got in refused]
    assert min(waits) > 0.2
    assert max(waits) <= 5.0
    assert len(set(waits)) > len(waits) / 2


async def test_an_organisation_without_a_limit_is_not_held_back(fleet):
    answers = [await send(fleet, number, key="key-b") for number in range(60)]
    assert {got.status for got in answers} == {200}


async def test_operators_see_limits_and_use_but_no_keys(fleet):
    await send(fleet, 1)
    settings = fleet.nodes[1].settings
    address = parse_address(f"{settings.ip}:{settings.metrics_port}")
    shown = (await call(address, target="/organisations")).body.decode()
    first, second = shown.splitlines()
    assert first.startswith("organisation=a priority=None rate_per_s=0.001")
    assert "spent_here=1 version=2" in first
    assert second == "organisation=b priority=None rate_per_s=none version=2"
    assert "key-" not in shown
    assert (await call(address, target="/metrics")).status == 200


async def test_what_did_not_run_is_not_counted(fleet):
    """Guards against a shedding server that uses up an organisation's limit."""

    def refuse(connection, seen):
        fields = b"X-Not-Run: 1\r\n"
        connection.transport.write(
            answer(seen, status=503, fields=fields, signed=False)
        )

    for node in fleet.nodes:
        node.backend.behaviour = refuse
    for number in range(2):
        assert (await send(fleet, number)).status == 503
    spent = [node.sidecar._rates.report(node.sidecar._now_ms()) for node in fleet.nodes]
    assert sum(use.spent for told in spent for use in told.uses.values()) == 0
