"""Second answers to rejected requests: each request must run once at most."""

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

HOST = "notice.example"
SERVICE = "compliance"
REQUESTS_PER_S = 250
PERIOD_S = 10.0
PERIODS = 9
NOT_RUN_STATUSES = (408, 421, 429, 503)

SHED_SHARE = 0.55
SHED_FROM_S, SHED_UNTIL_S = 1.0, 9.4
"""All servers reject part of the requests for 8.4 s; 8.5 s in day scale-1."""

EXTRA_SHARE = 0.03
EXTRA_FROM_S, EXTRA_UNTIL_S = 2.0, 6.9
"""One of the two servers sends part of its answers twice for 4.9 s; 5 s there."""


async def play(record: Record, is_troubled: bool) -> list[str]:
    """Send non-idempotent requests; return a line for each that broke the rule."""
    fleet = Fleet(record=record, seed=1)
    front = fleet.add(service="logbook", zone="hall-a", slots=16, work_s=0.05)
    servers = [
        fleet.add(service=SERVICE, zone=zone, slots=64, work_s=0.063)
        for zone in ("hall-b", "hall-c")
    ]
    try:
        await fleet.open(
            [
                route(
                    HOST,
                    SERVICE,
                    kind="non_idempotent",
                    timeout_s=0.8,
                    aim_s=0.2,
                    max_attempts=1,
                )
            ]
        )
        requesters = fleet.requesters(front)
        async with asyncio.TaskGroup() as group:
            disturbing = group.create_task(disturb(servers, is_troubled))
            while not disturbing.done():
                group.create_task(
                    requesters.send(
                        HOST, "PUT", f"/{SERVICE}/", limit_ms=800, body=b"b" * 4000
                    )
                )
                await asyncio.sleep(1 / REQUESTS_PER_S)
    finally:
        fleet.close()
    answered = sum(sent.status == 200 for sent in requesters.sent)
    extras = sum(machine.server.extras for machine in servers)
    if not answered:
        raise CannotRunError("no request was served")
    print(f"sent={len(requesters.sent)} status_200={answered} second_answers={extras}")
    return list(find_breaks(requesters.sent, servers))


async def disturb(servers: list[Machine], is_troubled: bool) -> None:
    """Let all servers reject requests, and one send second answers, by turns."""
    for _ in range(PERIODS):
        await asyncio.sleep(SHED_FROM_S)
        for machine in servers:
            machine.server.shed_share = SHED_SHARE
        await asyncio.sleep(EXTRA_FROM_S - SHED_FROM_S)
        servers[0].server.extra_share = EXTRA_SHARE if is_troubled else 0.0
        await asyncio.sleep(EXTRA_UNTIL_S - EXTRA_FROM_S)
        servers[0].server.extra_share = 0.0
        await asyncio.sleep(SHED_UNTIL_S - EXTRA_UNTIL_S)
        for machine in servers:
            machine.server.shed_share = 0.0
        await asyncio.sleep(PERIOD_S - SHED_UNTIL_S)


def find_breaks(sent_requests, servers):
    """Yield a line for each request that ran twice, or ran despite its refusal."""
    for sent in sent_requests:
        runs = [at for each in servers for at in each.server.runs[sent.request_id]]
        if len(runs) > 1:
            yield f"TWICE {sent.request_id} ran {len(runs)} times: {runs}"
        if runs and sent.is_complete and sent.status in NOT_RUN_STATUSES:
            yield f"REFUSED {sent.request_id} got {sent.status}, ran at {runs}"


if __name__ == "__main__":
    run_case(play, FOLDER, is_troubled=os.environ.get("TROUBLE", "1") != "0")
