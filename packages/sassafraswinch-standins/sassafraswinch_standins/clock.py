"""The one clock that all processes of a run share."""

import time


def now_ms() -> float:
    """Return the machine's monotonic time in milliseconds, one for all processes."""
    return time.monotonic() * 1000
