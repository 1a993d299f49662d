"""Watcher of the platform's document and host list, within the fleet's read budget."""

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
from sassafraswinch_node.platform import (
    PlatformClient,
    PlatformError,
    describe_faults,
)
from sassafraswinch_node.supervision import report_failure, run_supervised

ASSUMED_FLEET_SIZE = 560
"""Fleet size assumed until the host list has been read: the design size."""

FLEET_CHECK_INTERVAL_MS = 1_000
"""Interval, during a pause between reads, of the checks whether to read earlier."""


class PlatformWatch:
    """Watches the document and the host list, each in a separate task."""

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
            rng=rng, nodes=ASSUMED_FLEET_SIZE, watches=DOCUMENT_WATCHES
        )
        self._host_schedule = WatchSchedule(
            rng=rng, nodes=ASSUMED_FLEET_SIZE, watches=HOST_WATCHES
        )
        self._document_version = 0
        self._unreachable = False

    async def run(self) -> None:
        """Watch the document and the host list until cancelled."""
        async with asyncio.TaskGroup() as group:
            for name, watch in (
                ("document_watch", self._watch_document),
                ("host_watch", self._watch_hosts),
            ):
                group.create_task(run_supervised(name, watch))

    async def _watch_document(self) -> None:
        await self._watch(self._document_schedule, self._read_document)

    async def _watch_hosts(self) -> None:
        await self._watch(self._host_schedule, self._read_hosts)

    async def _watch(
        self, schedule: WatchSchedule, read: Callable[[int], Awaitable[bool]]
    ) -> None:
        await asyncio.sleep(schedule.first_delay_ms() / 1000)
        wait_ms = 0
        while True:
            outcome = await self._read(read, wait_ms)
            wait_ms = schedule.wait_ms()
            await self._pause(schedule, outcome)

    async def _pause(self, schedule: WatchSchedule, outcome: WatchOutcome) -> None:
        """Pause between reads; shorten the pause if fleet size or isolation changes.

        Failure: a node chooses a pause of minutes, which assumes 559 peers that report
        changes, and then reads that the fleet is small, or loses its last link.
        A change would then be in force everywhere except on this node.
        """
        conditions = self._update_schedules()
        read_at_ms = self.now_ms() + schedule.next_delay_ms(outcome)
        while (remaining_ms := read_at_ms - self.now_ms()) > 0:
            await asyncio.sleep(min(remaining_ms, FLEET_CHECK_INTERVAL_MS) / 1000)
            previous, conditions = conditions, self._update_schedules()
            if conditions != previous:
                delay_ms = schedule.next_delay_ms(WatchOutcome.UNCHANGED)
                read_at_ms = min(read_at_ms, self.now_ms() + delay_ms)

    def _update_schedules(self) -> tuple[bool, bool]:
        """Update the schedules.

        Returns:
            Whether the fleet size is known, and whether the node is isolated.
        """
        nodes = len(self.membership.records())
        if nodes <= 1:
            nodes = 0  # Only its own host: the fleet size isn't known yet.
        isolated = self.membership.is_isolated()
        for schedule in (self._document_schedule, self._host_schedule):
            schedule.set_isolated(isolated)
            schedule.set_nodes(nodes or ASSUMED_FLEET_SIZE)
        return nodes > 0, isolated

    async def _read(
        self, read: Callable[[int], Awaitable[bool]], wait_ms: int
    ) -> WatchOutcome:
        try:
            changed = await read(wait_ms)
        except PlatformError as error:
            if not self._unreachable:
                self._unreachable = True
                log_event("platform_unreachable", level="warning", reason=str(error))
            return WatchOutcome.FAILED
        except Exception as error:
            # Read again within the fleet's read budget, not at once.
            report_failure("platform_read", error)
            return WatchOutcome.FAILED
        if self._unreachable:
            self._unreachable = False
            log_event("platform_reached")
        return WatchOutcome.CHANGED if changed else WatchOutcome.UNCHANGED

    async def _read_document(self, wait_ms: int) -> bool:
        held_version = max(
            self._document_version, self.document_exchange.keeper.stamp.version
        )
        published = await self.client.document(after=held_version, wait_ms=wait_ms)
        if published is None:
            return False
        keeper = self.document_exchange.keeper
        candidate = await asyncio.to_thread(keeper.parse_body, published.body)
        result = self.document_exchange.apply_platform_document(
            candidate, self.now_ms()
        )
        for error in result.errors:
            log_event("document_refused", level="warning", reason=str(error))
        self._document_version = published.version
        return True

    async def _read_hosts(self, wait_ms: int) -> bool:
        published = await self.client.hosts(
            after=self.membership.list_version, wait_ms=wait_ms
        )
        if published is None:
            return False
        if published.faults:
            reason = describe_faults(published.faults)
            log_event("host_entries_skipped", level="warning", reason=reason)
        now_ms = self.now_ms()
        self.membership.apply_host_list(published.records, published.version, now_ms)
        return True
