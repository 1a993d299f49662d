"""Reads and watches what the platform publishes, within the fleet's read budget."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from sassafraswinch.document_exchange import DocumentExchange
from sassafraswinch.membership import Membership
from sassafraswinch.read_budget import (
    DOCUMENT_WATCHES,
    HOST_WATCHES,
    WatchOutcome,
    WatchSchedule,
)
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.platform import PlatformClient, PlatformError

FIRST_FLEET_SIZE = 560
"""Fleet size assumed until a host list tells it: the one designed for."""

LOOK_MS = 1_000
"""Period of the looks, during a rest, at whether to read earlier."""


class PlatformWatch:
    """Two streams, the document and the host list, each a task of its own."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        document_exchange: DocumentExchange,
        membership: Membership,
        now_ms: Callable[[], float],
        rng: random.Random,
    ):
        self.client = client
        self.document_exchange = document_exchange
        self.membership = membership
        self.now_ms = now_ms
        self._document_schedule = WatchSchedule(
            rng=rng, nodes=FIRST_FLEET_SIZE, watches=DOCUMENT_WATCHES
        )
        self._host_schedule = WatchSchedule(
            rng=rng, nodes=FIRST_FLEET_SIZE, watches=HOST_WATCHES
        )
        self._document_version = 0
        self._down = False

    async def run(self) -> None:
        """Watch both streams until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow(self._document_schedule, self._document))
            group.create_task(self._follow(self._host_schedule, self._hosts))

    async def _follow(
        self, schedule: WatchSchedule, read: Callable[[int], Awaitable[bool]]
    ) -> None:
        await asyncio.sleep(schedule.first_delay_ms() / 1000)
        wait_ms = 0
        while True:
            outcome = await self._read(read, wait_ms)
            wait_ms = schedule.wait_ms()
            await self._rest(schedule, outcome)

    async def _rest(self, schedule: WatchSchedule, outcome: WatchOutcome) -> None:
        """Pause between two reads, shorter if what the pause was drawn for changes.

        Failure: a node draws a rest of minutes, as if it had 559 peers to hear of
        changes from, before it reads that the fleet is small; or its last link is
        lost. Operators see a change in force everywhere but there.
        """
        circumstances = self._follow_fleet()
        ends_ms = self.now_ms() + schedule.next_delay_ms(outcome)
        while (left_ms := ends_ms - self.now_ms()) > 0:
            await asyncio.sleep(min(left_ms, LOOK_MS) / 1000)
            before, circumstances = circumstances, self._follow_fleet()
            if circumstances != before:
                earlier_ms = schedule.next_delay_ms(WatchOutcome.UNCHANGED)
                ends_ms = min(ends_ms, self.now_ms() + earlier_ms)

    def _follow_fleet(self) -> tuple[bool, bool]:
        """Tell the schedules of the fleet; return what a rest depends on."""
        nodes = len(self.membership.records())
        if nodes <= 1:
            nodes = 0  # Its own host alone: the fleet isn't known yet.
        isolated = self.membership.is_isolated()
        for schedule in (self._document_schedule, self._host_schedule):
            schedule.set_isolated(isolated)
            schedule.set_nodes(nodes or FIRST_FLEET_SIZE)
        return nodes > 0, isolated

    async def _read(
        self, read: Callable[[int], Awaitable[bool]], wait_ms: int
    ) -> WatchOutcome:
        try:
            changed = await read(wait_ms)
        except PlatformError as error:
            if not self._down:
                self._down = True
                log_event("platform_unreachable", level="warning", reason=str(error))
            return WatchOutcome.FAILED
        if self._down:
            self._down = False
            log_event("platform_reached")
        return WatchOutcome.CHANGED if changed else WatchOutcome.UNCHANGED

    async def _document(self, wait_ms: int) -> bool:
        held = max(self._document_version, self.document_exchange.keeper.stamp.version)
        published = await self.client.document(after=held, wait_ms=wait_ms)
        if published is None:
            return False
        self._document_version = published.version
        keeper = self.document_exchange.keeper
        candidate = await asyncio.to_thread(keeper.parse_body, published.body)
        offered = self.document_exchange.apply_platform_document(
            candidate, self.now_ms()
        )
        for error in offered.errors:
            log_event("document_refused", level="warning", reason=str(error))
        return True

    async def _hosts(self, wait_ms: int) -> bool:
        published = await self.client.hosts(
            after=self.membership.list_version, wait_ms=wait_ms
        )
        if published is None:
            return False
        now_ms = self.now_ms()
        self.membership.apply_host_list(published.records, published.version, now_ms)
        return True
