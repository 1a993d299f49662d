"""How a process in memory reads the platform: now and then, where it reaches it."""

from typing import TYPE_CHECKING

from sassafraswinch_standins.memory_platform import MemoryPlatform, PlatformDownError

if TYPE_CHECKING:
    from sassafraswinch_standins.memory_process import MemoryProcess

READ_EVERY_MS = (200.0, 1_200.0)
"""Shortest and longest pause between two reads."""
PLATFORM_ZONE = "platform"
"""Where the platform is; cut together with zones that lose it."""


class PlatformReads:
    """The reads of one process.

    Attributes:
        allowed: whether the process reaches the platform, as far as tests have a say.
    """

    def __init__(self, *, process: "MemoryProcess", platform: MemoryPlatform):
        self.allowed = True
        self._process = process
        self._platform = platform
        self._document_version = 0

    def plan(self) -> None:
        """Read after a random pause, and again after that."""
        process = self._process
        delay_ms = process.rng.uniform(*READ_EVERY_MS)
        process.schedule.after(delay_ms, lambda: process.post(self._read))

    def _read(self) -> None:
        self.plan()
        process = self._process
        network = process.around.network
        reachable = network.reachable(process.availability_zone, PLATFORM_ZONE)
        if reachable and self.allowed:
            process.observe()
            self._take_in()

    def _take_in(self) -> None:
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
