"""What the processes of a fleet in memory share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafraswinch_standins.memory_checks import Checks
from sassafraswinch_standins.memory_network import MemoryNetwork
from sassafraswinch_standins.memory_platform import MemoryPlatform
from sassafraswinch_standins.memory_schedule import Schedule

if TYPE_CHECKING:
    from sassafraswinch_standins.memory_process import MemoryProcess


@dataclass(slots=True, kw_only=True)
class Surroundings:
    """What all processes of a fleet share."""

    schedule: Schedule
    checks: Checks
    network: MemoryNetwork
    platform: MemoryPlatform
    stopped: Callable[["MemoryProcess"], None]
    """Told of a process whose planned stop is complete."""
