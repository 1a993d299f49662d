"""Nodes are stopped in turn: requests that they take must get their answers."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.fleet import (  # noqa: E402
    CannotRunError,
    Fleet,
    Machine,
    route,
    run_case,
)
from standins.record import Record  # noqa: E402
from standins.requester import Requesters  # noqa: E402
from standins.server import Server  # noqa: E402

HOST, SERVICE = "rest.example", "rest-desk"
WORK_S = 2.5
LIMIT_S = 6.0
REQUESTS_PER_S = 25
GAP_S = 1.0
BEFORE_S, AFTER_S = 1.5, 6.0
EXCUSED_S = 3.0
"""Requests sent up to this time after SIGTERM may be broken off in the last sixth of
the grace period; later ones may not be."""


async def play(record: Record, is_troubled: bool) -> list[str]:
    """Stop two nodes in turn; return a line for each request that was broken off."""
    fleet = Fleet(record=record, seed=3)
    fronts = [
        fleet.add(service="logbook", zone="hall-a", slots=127, work_s=0.09)
        for _ in range(2)
    ]
    server = fleet.add(service=SERVICE, zone="hall-b", slots=159, work_s=WORK_S).server
    stopped_s: dict[str, float] = {}
    try:
        await fleet.open(
            [route(HOST, SERVICE, kind="non_idempotent", timeout_s=LIMIT_S, aim_s=1.5)]
        )
        probing = asyncio.create_task(fleet.probe_readiness())
        requesters = [fleet.requesters(machine) for machine in fronts]
        async with asyncio.TaskGroup() as group:
            for machine, each in zip(fronts, requesters, strict=True):
                group.create_task(send_while_given_work(fleet, machine, each))
            await asyncio.sleep(BEFORE_S)
            for machine in fronts:
                if is_troubled:
                    fleet.stop(machine)
                stopped_s[machine.name] = record.now_s()
                await asyncio.sleep(GAP_S)
        probing.cancel()
    finally:
        fleet.close()
    for each in requesters:
        complete = sum(sent.is_signed and sent.is_complete for sent in each.sent)
        if not complete:
            raise CannotRunError("no request was served")
        print(f"sent={len(each.sent)} served={complete}")
    return [
        line
        for machine, each in zip(fronts, requesters, strict=True)
        for line in find_breaks(each, server, stopped_s[machine.name])
    ]


async def send_while_given_work(
    fleet: Fleet, machine: Machine, requesters: Requesters
) -> None:
    """Send requests at an even rate, but none while the platform gives no work."""
    async with asyncio.TaskGroup() as group:
        for _ in range(int((BEFORE_S + AFTER_S) * REQUESTS_PER_S)):
            if fleet.gets_work(machine):
                group.create_task(
                    requesters.send(
                        HOST,
                        "POST",
                        f"/{SERVICE}/",
                        limit_ms=int(LIMIT_S * 1000),
                        body=b"b" * 300,
                    )
                )
            await asyncio.sleep(1 / REQUESTS_PER_S)


def find_breaks(requesters: Requesters, server: Server, stopped_s: float):
    """Yield a line for each request that was broken off while its server worked."""
    for sent in requesters.sent:
        runs = server.runs[sent.request_id]
        if not runs or sent.gave_up or (sent.is_signed and sent.is_complete):
            continue
        sent_after_s = sent.sent_s - stopped_s
        if sent_after_s > EXCUSED_S and sent.ended_s < runs[0] + WORK_S:
            yield (
                f"LOST {sent.request_id}: sent {sent_after_s:.3f} s after SIGTERM, "
                f"broken off with {sent.status} after {sent.ended_s - sent.sent_s:.3f} "
                f"s while its server was at work"
            )


if __name__ == "__main__":
    run_case(play, FOLDER, is_troubled=os.environ.get("TROUBLE", "1") != "0")
