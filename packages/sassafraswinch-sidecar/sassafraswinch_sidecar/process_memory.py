"""Resident memory of this process."""

import resource
from contextlib import suppress
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1

STATUS = Path("/proc/self/status")
PEAK_FIELD = "VmHWM:"


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 where it can't be read."""
    with suppress(OSError):
        return int(STATM.read_text().split()[RESIDENT_FIELD]) * resource.getpagesize()
    return 0


def peak_resident_bytes() -> int:
    """Return the most resident memory so far, or 0 where it can't be read.

    ``getrusage`` is no substitute: its figure includes the process that started this
    one.
    """
    with suppress(OSError):
        lines = STATUS.read_text().splitlines()
        sizes_kb = (line.split()[1] for line in lines if line.startswith(PEAK_FIELD))
        return int(next(sizes_kb, "0")) * 1024
    return 0
