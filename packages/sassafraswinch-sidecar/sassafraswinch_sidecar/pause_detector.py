"""Notices that this machine stood still, which the steady clock doesn't count."""

import time
from collections.abc import Callable

MIN_STANDSTILL_MS = 200.0
"""Shortest standstill that counts: well above the jitter of two clock readings, and
below what callers wait for."""


def boot_ms() -> float:
    """Return the time since boot, standstills included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def steady_ms() -> float:
    """Return the time of the event loop's clock."""
    return time.monotonic() * 1000


class Standstill:
    """Compares two clocks of which one goes on while the machine is suspended.

    Failure: a machine is suspended for seconds. Its event loop goes on as if no time
    had passed, and hands requests to backend servers with more time than their callers
    still wait.

    Args:
        boot_ms: clock that counts standstills.
        steady_ms: clock that doesn't.
    """

    def __init__(
        self,
        *,
        boot_ms: Callable[[], float] = boot_ms,
        steady_ms: Callable[[], float] = steady_ms,
    ):
        self._boot_ms = boot_ms
        self._steady_ms = steady_ms
        self._apart_ms = boot_ms() - steady_ms()

    def look(self) -> float:
        """Return how long the machine stood still since the last look; 0 if not."""
        apart_ms = self._boot_ms() - self._steady_ms()
        stood_ms = apart_ms - self._apart_ms
        self._apart_ms = apart_ms
        return stood_ms if stood_ms >= MIN_STANDSTILL_MS else 0.0
