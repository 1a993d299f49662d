"""Memory of this process: resident size, and how freed memory is returned."""

import ctypes
import os
import resource
from contextlib import suppress
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1
PAGE_BYTES = resource.getpagesize()

MMAP_THRESHOLD_BYTES = 128 * 1024
"""Length from which the allocator maps memory that it returns as soon as it is freed.

glibc raises this limit to the longest block freed, up to 32 MB. Freed bodies then stay
in a heap that later ones fragment, and the resident size says nothing about what is in
use."""

_M_MMAP_THRESHOLD = -3


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 where it can't be read."""
    with suppress(OSError):
        return int(STATM.read_text().split()[RESIDENT_FIELD]) * PAGE_BYTES
    return 0


def return_freed_memory() -> bool:
    """Let the allocator return long freed blocks; False where it can't be told so."""
    if os.name != "posix":
        return False
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    return mallopt is not None and bool(
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    )
