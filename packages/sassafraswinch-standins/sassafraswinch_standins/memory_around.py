"""What the processes of a fleet in memory share."""

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
"""Share of the other hosts that a node of a sparse fleet dials unasked."""


@dataclass(slots=True, kw_only=True)
class Surroundings:
    """What all processes of a fleet share."""

    schedule: Schedule
    checks: Checks
    network: MemoryNetwork
    platform: MemoryPlatform
    sparse: bool
    """Whether nodes dial some hosts only, as in a large fleet; others on request."""
    stopped: Callable[["MemoryProcess"], None]
    """Told of a process whose planned stop is complete."""

    def dials(self, host: str, other: str) -> bool:
        """Return whether a node keeps a link to another unasked."""
        if not self.sparse:
            return True
        return random.Random(f"{host} {other}").random() < SPARSE_SHARE
