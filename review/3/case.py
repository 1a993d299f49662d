"""SIGTERM while requesters read slowly: answers must arrive whole."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.fleet import Fleet, route, run_case  # noqa: E402
from standins.record import Record  # noqa: E402

HOST = "card.example"
SERVICE = "rest-desk"
ANSWER_BYTES = 1_900_000
PAUSE_S = 5.0
REQUESTS = 10
LIMIT_S = 6.0
SIGTERM_AFTER_S = 0.2


async def play(record: Record, is_troubled: bool) -> list[str]:
    """Stop a node while answers are read; return a line for each that was cut."""
    fleet = Fleet(record=record, seed=2)
    front = fleet.add(
        service=SERVICE, zone="hall-a", slots=32, work_s=0.12, answer_bytes=ANSWER_BYTES
    )
    try:
        await fleet.open(
            [route(HOST, SERVICE, kind="non_idempotent", timeout_s=LIMIT_S, aim_s=1.5)]
        )
        requesters = fleet.requesters(front, pause_s=PAUSE_S)
        async with asyncio.TaskGroup() as group:
            for _ in range(REQUESTS):
                group.create_task(
                    requesters.send(
                        HOST,
                        "POST",
                        f"/{SERVICE}/",
                        limit_ms=int(LIMIT_S * 1000),
                        body=b"b" * 300,
                    )
                )
            await asyncio.sleep(SIGTERM_AFTER_S)
            if is_troubled:
                fleet.stop(front)
    finally:
        fleet.close()
    return [
        f"LOST {sent.request_id}: the connection ended at {sent.ended_s:.3f} s after "
        f"{sent.received_bytes} of {ANSWER_BYTES} bytes, sent at {sent.sent_s:.3f} s"
        for sent in requesters.sent
        if not sent.is_complete and not sent.gave_up
    ]


if __name__ == "__main__":
    run_case(play, FOLDER)
