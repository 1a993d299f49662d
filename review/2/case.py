"""A server turns slow elsewhere: a node must keep within its memory and go on."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.fleet import (  # noqa: E402
    MEMORY_MB,
    CannotRunError,
    Fleet,
    route,
    run_case,
)
from standins.record import Record  # noqa: E402
from standins.requester import Requesters, Sent  # noqa: E402

LIMIT_S = 6.0

CARD_HOST, CARD_SERVICE = "card.example", "rest-desk"
CARD_PER_S = 36
CARD_WORK_S = 0.1
CARD_BYTES = 1_500_000
"""Its answers take 54 MB a second, of the 125 MB a second of a machine's link."""

ROSTER_HOST, ROSTER_SERVICE = "roster.example", "compliance"
ROSTER_WORK_S, SLOW_X = 0.3, 12.0
"""Each run at the card service calls this one, whose server turns slow."""

HISTORY_HOST, HISTORY_SERVICE = "history.example", "logbook"
HISTORY_PER_S = 40
HISTORY_WORK_S = 0.5

CALM_S, SLOW_S, AFTER_S = 4.0, 8.9, 6.0
ALLOWED_CUTS = 3


async def play(record: Record, is_troubled: bool) -> list[str]:
    """Let one server turn slow; return a line for each request that was cut."""
    fleet = Fleet(record=record, seed=2)
    card = fleet.add(
        service=CARD_SERVICE,
        zone="hall-a",
        slots=159,
        work_s=CARD_WORK_S,
        answer_bytes=CARD_BYTES,
    )
    history = fleet.add(
        service=HISTORY_SERVICE, zone="hall-b", slots=127, work_s=HISTORY_WORK_S
    )
    roster = fleet.add(
        service=ROSTER_SERVICE, zone="hall-c", slots=159, work_s=ROSTER_WORK_S
    )
    try:
        await fleet.open(desired_routes())
        card_calls = fleet.requesters(card)

        async def call_roster(parent_id: str) -> int:
            sent = await card_calls.send(
                ROSTER_HOST,
                "GET",
                f"/{ROSTER_SERVICE}/",
                limit_ms=5000,
                parent_id=parent_id,
            )
            return 200 if sent.status == 200 else 500

        card.server.make_call = call_roster
        to_card = fleet.requesters(history)
        to_history = fleet.requesters(card)
        enforcing = asyncio.create_task(fleet.enforce_memory())
        length_s = CALM_S + SLOW_S + AFTER_S
        async with asyncio.TaskGroup() as group:
            group.create_task(
                send_at_rate(to_card, CARD_HOST, CARD_SERVICE, CARD_PER_S, length_s)
            )
            group.create_task(
                send_at_rate(
                    to_history, HISTORY_HOST, HISTORY_SERVICE, HISTORY_PER_S, length_s
                )
            )
            await asyncio.sleep(CALM_S)
            if is_troubled:
                record.add("slow", server=roster.server.instance_id, x=SLOW_X)
                roster.server.work_s = ROSTER_WORK_S * SLOW_X
            await asyncio.sleep(SLOW_S)
            record.add("slow-ends")
            roster.server.work_s = ROSTER_WORK_S
        enforcing.cancel()
    finally:
        fleet.close()
    print(f"peak_mb={fleet.peak_mb:.0f} limit_mb={MEMORY_MB}")
    for name, requesters in (("card", to_card), ("history", to_history)):
        served = sum(each.status == 200 for each in requesters.sent)
        if not served:
            raise CannotRunError(f"no request to {name} was served")
        print(f"{name}: sent={len(requesters.sent)} status_200={served}")
    runs = history.server.runs
    cuts = [each for each in to_history.sent if is_cut(each) and runs[each.request_id]]
    if len(cuts) <= ALLOWED_CUTS:
        return []
    return [
        f"LOST {each.request_id}: its kept connection ended without an answer at "
        f"{each.ended_s:.3f} s, {each.ended_s - each.sent_s:.3f} s after it was sent"
        for each in cuts
    ]


def desired_routes() -> list[dict]:
    """Return the routes to the three services."""
    return [
        route(CARD_HOST, CARD_SERVICE, kind="idempotent", timeout_s=LIMIT_S, aim_s=3.0),
        route(ROSTER_HOST, ROSTER_SERVICE, kind="idempotent", timeout_s=5.0, aim_s=1.2),
        route(
            HISTORY_HOST,
            HISTORY_SERVICE,
            kind="non_idempotent",
            timeout_s=LIMIT_S,
            aim_s=1.5,
        ),
    ]


async def send_at_rate(
    requesters: Requesters, host: str, service: str, per_s: float, length_s: float
) -> None:
    """Send requests at an even rate and wait for their ends."""
    async with asyncio.TaskGroup() as group:
        for _ in range(int(length_s * per_s)):
            group.create_task(
                requesters.send(
                    host,
                    "POST",
                    f"/{service}/",
                    limit_ms=int(LIMIT_S * 1000),
                    body=b"b" * 300,
                )
            )
            await asyncio.sleep(1 / per_s)


def is_cut(sent: Sent) -> bool:
    """Return whether a request on a kept connection got no answer at all."""
    return sent.is_on_kept and sent.sent_s > 0 and not sent.status and not sent.gave_up


if __name__ == "__main__":
    run_case(play, FOLDER, is_troubled=os.environ.get("TROUBLE", "1") != "0")
