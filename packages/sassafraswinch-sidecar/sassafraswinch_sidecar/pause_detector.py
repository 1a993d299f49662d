"""Detection of process pauses, which the monotonic clock doesn't count."""

import time
from collections.abc import Callable

MIN_DETECTED_PAUSE_MS = 200.0
"""Shortest pause that is reported: well above the jitter of two clock readings, and
shorter than callers wait."""


def boot_ms() -> float:
    """Return the time since boot, including time for which the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def monotonic_ms() -> float:
    """Return the monotonic time of the event loop's clock."""
    return time.monotonic() * 1000


class PauseDetector:
    """Compares two clocks, of which one continues while the host is suspended.

    Failure: a host is suspended for seconds. Its event loop continues as if no time had
    passed, and sends requests to backend servers with longer timeouts than the time for
    which their callers still wait.

    Args:
        boot_ms: clock that continues while the host is suspended.
        monotonic_ms: clock that stops meanwhile.
    """

    def __init__(
        self,
        *,
        boot_ms: Callable[[], float] = boot_ms,
        monotonic_ms: Callable[[], float] = monotonic_ms,
    ):
        self._boot_ms = boot_ms
        self._monotonic_ms = monotonic_ms
        self._offset_ms = boot_ms() - monotonic_ms()

    def check_pause(self) -> float:
        """Return the length of the pause since the last check; 0 if there was none."""
        offset_ms = self._boot_ms() - self._monotonic_ms()
        paused_ms = offset_ms - self._offset_ms
        self._offset_ms = offset_ms
        return paused_ms if paused_ms >= MIN_DETECTED_PAUSE_MS else 0.0
