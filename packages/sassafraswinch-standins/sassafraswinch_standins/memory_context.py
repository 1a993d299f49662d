"""Shared context of the processes of an in-memory fleet."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafraswinch_standins.memory_checks import Checks
from sassafraswinch_standins.memory_network import MemoryNetwork
from sassafraswinch_standins.memory_platform import MemoryPlatform
from sassafraswinch_standins.memory_schedule import Schedule

if TYPE_CHECKING:
    from sassafraswinch_standins.memory_process import MemoryProcess

SPARSE_SHARE = 0.6
"""Share of the other hosts to which a node of a sparse fleet keeps links."""


@dataclass(slots=True, kw_only=True)
class FleetContext:
    """Components that all processes of a fleet share."""

    schedule: Schedule
    checks: Checks
    network: MemoryNetwork
    platform: MemoryPlatform
    sparse: bool
    """Whether nodes keep links to some hosts only and dial the others on demand."""
    on_process_stopped: Callable[["MemoryProcess"], None]
    """Called with each process whose planned stop is complete."""

    def dials(self, host: str, other: str) -> bool:
        """Return whether a node keeps a permanent link to another."""
        if not self.sparse:
            return True
        return random.Random(f"{host} {other}").random() < SPARSE_SHARE
