"""Reads and watches what the platform publishes, within the fleet's read budget."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from sassafraswinch.configuration import Configuration
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


class PlatformWatch:
    """Two streams, the document and the host list, each a task of its own."""

    def __init__(
        self,
        *,
        client: PlatformClient,
        configuration: Configuration,
        membership: Membership,
        now_ms: Callable[[], float],
        rng: random.Random,
    ):
        self.client = client
        self.configuration = configuration
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
            await asyncio.sleep(schedule.next_delay_ms(outcome) / 1000)

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
        published = await self.client.document(
            after=self._document_version, wait_ms=wait_ms
        )
        if published is None:
            return False
        self._document_version = published.version
        keeper = self.configuration.keeper
        candidate = await asyncio.to_thread(keeper.read, published.body)
        offered = self.configuration.platform_read(candidate, self.now_ms())
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
        self.membership.replace(published.records, published.version, now_ms)
        nodes = len(self.membership.records())
        self._document_schedule.set_nodes(nodes)
        self._host_schedule.set_nodes(nodes)
        return True
