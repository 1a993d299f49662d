"""Sidecars that follow the store are cut from it: the others apply a change late."""

import asyncio
import itertools
from collections import Counter
from pathlib import Path

from standins_2.case import Record, main
from standins_2.fleet import Fleet, Host, path
from standins_2.requester import Result

CONFIG_APPLY_S = 2.0
CUT_S = 3.8
ROUNDS = 9
MACHINES_PER_ZONE = 5
FORMER_CHANGE_S = 0.1
"""Time from the change before to the cut, and to the change that is judged."""

REQUESTS_PER_S = 30.0
"""Requests at each machine that isn't cut."""

AFTER_CUT_S = 3.2
"""Pause after a cut: the machines that were cut are in touch again."""


class Case:
    """Two zones; the sidecar of each that follows the store is cut from it."""

    def __init__(self, record: Record):
        self.record = record
        self.fleet = Fleet()
        self.acks: list[tuple[float, str]] = []
        self.sent: list[tuple[int, Result]] = []
        for number in range(2 * MACHINES_PER_ZONE):
            service = ("schvaleni", "vydej")[number % 2]
            self.fleet.add(service, ("z-a", "z-b")[number // MACHINES_PER_ZONE])

    async def change(self, service: str) -> None:
        """Move the route of approvals to a service."""
        routes = [
            path("/approve/", service, idempotent=False, attempts=1, target_s=2.0),
            path("/check/", "vydej"),
        ]
        await self.fleet.configure(routes)

    def followers(self) -> set[str]:
        """Return the machines that have watched the store lately."""
        since_s = asyncio.get_running_loop().time() - 0.9
        calls = self.fleet.store.calls
        return {
            name
            for at_s, name, call in calls
            if at_s > since_s and call == "/v1/kv-watch"
        }

    async def play_round(self, number: int, has_trouble: bool) -> None:
        """Play two changes; the second one moves the route."""
        store = self.fleet.store
        service = ("vydej", "schvaleni")[number % 2]
        while len(cut := self.followers()) != 2:
            # Roles move after a cut; one sidecar of each zone follows in the end.
            await asyncio.sleep(0.1)
        calm = [host for host in self.fleet.hosts if host.name not in cut]
        await self.fleet.store.put("op/config", self.repeated())
        await asyncio.sleep(FORMER_CHANGE_S)
        if has_trouble:
            store.silent |= cut
            self.record.line(f"{', '.join(sorted(cut))} cut from the store")
        await self.change(service)
        ack_s = asyncio.get_running_loop().time()
        self.acks.append((ack_s, service))
        self.record.line(f"approvals go to {service}: acknowledged")
        await asyncio.gather(*(self.send(host, number, ack_s) for host in calm))
        store.silent.clear()
        self.record.line("the cut ends")
        await asyncio.sleep(AFTER_CUT_S)

    def repeated(self) -> dict:
        """Return the desired state in force as a next version."""
        self.fleet.version += 1
        return self.fleet.desired | {"version": f"{self.fleet.version:08x}"}

    async def send(self, host: Host, number: int, ack_s: float) -> None:
        """Send approvals at one machine until the cut ends."""
        tasks = []
        loop = asyncio.get_running_loop()
        for count in itertools.count():
            if loop.time() - ack_s > CUT_S:
                break
            request_id = f"{host.name}-{number:02x}{count:05x}"
            sending = host.send(request_id, "/approve/order", method="POST")
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        self.sent += [(number, result) for result in await asyncio.gather(*tasks)]

    def judge(self) -> bool:
        """Return whether approvals ran at the old service too long."""
        ran = {
            request.id: host.server.service
            for host in self.fleet.hosts
            for *_, request in host.server.runs
        }
        late = []
        for number, result in self.sent:
            ack_s, service = self.acks[number]
            after_s = result.sent_s - ack_s
            at = ran.get(result.id)
            is_old = at is not None and at != service
            if is_old and after_s > CONFIG_APPLY_S:
                late.append(after_s)
            self.record.line(
                f"{result.id} {result.status} sent {after_s:.3f} s after the ack,"
                f" ran at {at}{' (old)' if is_old else ''}",
                result.sent_s,
            )
        statuses = Counter(result.status for _, result in self.sent)
        self.record.say(f"approvals: {dict(statuses)}")
        times = [round(after_s, 3) for after_s in sorted(late)]
        self.record.say(f"sent later than {CONFIG_APPLY_S} s, ran as before: {times}")
        return bool(late)


async def play(record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    case = Case(record)
    try:
        await case.fleet.open([])
        await case.change("schvaleni")
        await asyncio.sleep(AFTER_CUT_S)
        for number in range(ROUNDS):
            await case.play_round(number, has_trouble)
    finally:
        case.fleet.close()
    return case.judge()


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
