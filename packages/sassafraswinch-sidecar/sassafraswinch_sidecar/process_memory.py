"""Resident memory of this process."""

import resource
from contextlib import suppress
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 where it can't be read."""
    with suppress(OSError):
        return int(STATM.read_text().split()[RESIDENT_FIELD]) * resource.getpagesize()
    return 0
