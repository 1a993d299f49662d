"""A route leaves a service that has crashed: its requests are refused for ever."""

import asyncio
import itertools
import random
from collections import Counter
from pathlib import Path

from standins_2.case import Record, main
from standins_2.fleet import Fleet, path
from standins_2.server import Answer, Server, ServerRequest

REQUESTS_PER_S = 50.0
CRASH_AT_S = 6.0
EXPIRY_S = 4.5
"""Time until the entry of a crashed server is gone: three of its heartbeats."""

CONFIG_AT_S = 14.0
LENGTH_S = 80.0
RECOVERY_S = 15.0
STARVED_SHARE = 0.25
"""Bound of the rule: a kind of request served less than this share as often as all."""


async def _serve(server: Server, request: ServerRequest) -> Answer:
    return Answer(body=b"done", work_s=0.1)


def _routes(approvals_go_to: str) -> list[dict]:
    return [
        path("/approve/", approvals_go_to, idempotent=False, attempts=1, target_s=2.0),
        path("/history/", "archiv", target_s=1.5, priority=2),
    ]


async def _send_requests(fleet: Fleet, record: Record) -> list:
    """Send approvals and lookups in turn, at all machines."""
    rng = random.Random(48)
    hosts = itertools.cycle(fleet.hosts)
    kinds = itertools.cycle((("POST", "/approve/order"), ("GET", "/history/order")))
    tasks = []
    for number in itertools.count(1):
        if record.now_s() - fleet.opened_s > LENGTH_S:
            break
        # Each pair of requests goes to the next machine.
        method, target = next(kinds)
        host = next(hosts) if method == "POST" else fleet.hosts[number // 2 % 4]
        sending = host.send(f"{number:016x}", target, method=method)
        tasks.append((target, asyncio.create_task(sending)))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    return [(target, await task) for target, task in tasks]


async def _operate(fleet: Fleet, record: Record, has_trouble: bool) -> float:
    """Crash the servers of a service, move its route; return the time of the ack."""
    await asyncio.sleep(CRASH_AT_S)
    if has_trouble:
        crashed = fleet.hosts[:2]
        record.say("both servers of the service crash, for good")
        for host in crashed:
            host.server.stop()
        await asyncio.sleep(EXPIRY_S)
        for host in crashed:
            await fleet.store.remove(f"servers/{host.server.id}")
    await asyncio.sleep(CONFIG_AT_S - (record.now_s() - fleet.opened_s))
    await fleet.configure(_routes("archiv"))
    record.say("the desired state that moves the route is acknowledged")
    return record.now_s()


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet = Fleet()
    for number in range(4):
        service = "schvaleni" if number < 2 else "archiv"
        host = fleet.add(service, ("z-a", "z-b")[number % 2])
        host.server.behaviour = _serve
    try:
        await fleet.open(_routes("schvaleni"))
        fleet.opened_s = record.now_s()
        sent, ack_s = await asyncio.gather(
            _send_requests(fleet, record), _operate(fleet, record, has_trouble)
        )
    finally:
        fleet.close()
    return _judge(sent, ack_s, record)


def _judge(sent: list, ack_s: float, record: Record) -> bool:
    for target, result in sent:
        record.line(f"{result.id} {target} {result.status}", result.sent_s)
    results = [result for _, result in sent]
    approvals = [result for target, result in sent if target.startswith("/approve/")]
    calm = [
        result
        for result in approvals
        if record.since_start(result.sent_s) > ack_s + RECOVERY_S
    ]
    counts = dict(Counter(result.status for result in calm))
    record.say(f"approvals sent later than {RECOVERY_S} s after the ack: {counts}")
    served, served_of_all = _served_share(approvals), _served_share(results)
    record.say(f"served: approvals {served:.3f}, all requests {served_of_all:.3f}")
    return served < STARVED_SHARE * served_of_all


def _served_share(results: list) -> float:
    return sum(each.status == 200 for each in results) / len(results)


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
