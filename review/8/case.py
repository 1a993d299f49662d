"""A request without an id: requests beside it run under the tenant that sent it."""

import asyncio
import itertools
from collections import Counter
from pathlib import Path

from standins_2.case import Record, main
from standins_2.fleet import Fleet, path
from standins_2.requester import Result
from standins_2.server import Answer, Server, ServerRequest

TENANTS = [
    {"name": "north", "api_keys": ["key-north"]},
    {"name": "south", "api_keys": ["key-south"]},
]
UNKNOWN_KEY = "key-of-nobody"
REQUESTS_PER_S = 20.0
WITHOUT_ID_AT_S = (3.0, 10.0, 17.0)
LENGTH_S = 24.0


async def _serve(server: Server, request: ServerRequest) -> Answer:
    """Reject a request without an id, as the pages say; run all others."""
    if not request.id:
        return Answer(status=400, ran=False)
    tenant = request.headers.get("tenant", "")
    return Answer(body=f"records of {tenant}".encode(), work_s=0.1)


async def _send_requests(fleet: Fleet, record: Record) -> list[tuple[str, Result]]:
    """Send requests with the keys of both tenants, and with one that nobody holds."""
    numbers = itertools.count(1)
    hosts = itertools.cycle(fleet.hosts)
    keys = itertools.cycle(("key-north", "key-south", UNKNOWN_KEY))
    tasks = []
    while record.now_s() - fleet.opened_s < LENGTH_S:
        key = next(keys)
        sending = next(hosts).send(
            f"{next(numbers):016x}",
            "/records/latest",
            fields=f"Authorization: Bearer {key}\r\n",
        )
        tasks.append((key, asyncio.create_task(sending)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return [(key, await task) for key, task in tasks]


async def _send_without_id(fleet: Fleet, record: Record) -> None:
    """Send a few requests of tenant north that have no id."""
    for at_s in WITHOUT_ID_AT_S:
        await asyncio.sleep(max(0.0, at_s - (record.now_s() - fleet.opened_s)))
        record.line("a request without an id is sent")
        result = await fleet.hosts[0].send(
            "", "/records/latest", fields="Authorization: Bearer key-north\r\n"
        )
        record.line(f"the request without an id: {result.status}")


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet = Fleet(settings={"rate_window_s": 5, "rate_slack": 20})
    for number in range(4):
        host = fleet.add("archiv", ("z-a", "z-b")[number % 2])
        host.server.behaviour = _serve
    try:
        await fleet.open([path("/records/", "archiv", attempts=2)], tenants=TENANTS)
        fleet.opened_s = record.now_s()
        sending = asyncio.create_task(_send_requests(fleet, record))
        if has_trouble:
            await _send_without_id(fleet, record)
        sent = await sending
    finally:
        fleet.close()
    return _judge(fleet, sent, record)


def _judge(fleet: Fleet, sent: list[tuple[str, Result]], record: Record) -> bool:
    holders = {key: each["name"] for each in TENANTS for key in each["api_keys"]}
    runs = {
        request.id: request.headers.get("tenant", "")
        for host in fleet.hosts
        for *_, request in host.server.runs
    }
    found: Counter[str] = Counter()
    for key, result in sent:
        holder, tenant = holders.get(key), runs.get(result.id)
        fault = ""
        if tenant is not None and holder is None:
            fault = "ran with a key that nobody holds"
        elif tenant is not None and tenant != holder:
            fault = "ran under another tenant"
        found[fault] += bool(fault)
        answer = f"{result.status} {result.body.decode()!r}"
        record.line(
            f"{result.id} {key} {answer} tenant {tenant} {fault}", result.sent_s
        )
    statuses = Counter((key, result.status) for key, result in sent)
    record.say(f"answers: {dict(statuses)}")
    faults = {fault: count for fault, count in found.items() if fault}
    record.say(f"of {len(sent)} requests: {faults or 'none ran under a wrong tenant'}")
    return bool(faults)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
