"""Periodic reads of the platform by an in-memory process."""

from typing import TYPE_CHECKING

from sassafraswinch_standins.memory_platform import MemoryPlatform, PlatformDownError

if TYPE_CHECKING:
    from sassafraswinch_standins.memory_process import MemoryProcess

READ_INTERVAL_RANGE_MS = (200.0, 1_200.0)
"""Minimum and maximum delay between two reads."""
PLATFORM_ZONE = "platform"
"""Name of the platform's own zone in a network partition."""


class MemoryPlatformReader:
    """Reads of the platform by one process.

    Attributes:
        allowed: whether reads are enabled; tests clear it to cut off the process.
    """

    def __init__(self, *, process: "MemoryProcess", platform: MemoryPlatform):
        self.allowed = True
        self._process = process
        self._platform = platform
        self._document_version = 0

    def schedule_next(self) -> None:
        """Schedule the next read after a random delay; each read schedules another."""
        process = self._process
        delay_ms = process.rng.uniform(*READ_INTERVAL_RANGE_MS)
        process.schedule.after(delay_ms, lambda: process.post(self._read))

    def _read(self) -> None:
        self.schedule_next()
        process = self._process
        network = process.context.network
        reachable = network.reachable(process.availability_zone, PLATFORM_ZONE)
        if reachable and self.allowed:
            process.observe()
            self._fetch()

    def _fetch(self) -> None:
        process = self._process
        try:
            hosts = self._platform.hosts(process.membership.list_version)
            published = self._platform.document(self._document_version)
        except PlatformDownError:
            return
        if hosts is not None:
            version, records = hosts
            process.membership.apply_host_list(records, version, process.now_ms)
        if published is not None:
            self._document_version = published.version
            document_exchange = process.node.document_exchange
            candidate = document_exchange.keeper.parse_body(published.body)
            document_exchange.apply_platform_document(candidate, process.now_ms)
