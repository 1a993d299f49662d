"""Monotonic clock shared by all processes of a run."""

import time


def now_ms() -> float:
    """Return the host's monotonic time in milliseconds, the same in all processes."""
    return time.monotonic() * 1000
