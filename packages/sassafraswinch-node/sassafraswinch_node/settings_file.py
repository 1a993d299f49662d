"""Reading a settings file that somebody may be writing at the same time."""

import time
from collections.abc import Callable
from typing import TypeVar

from sassafraswinch.errors import InvalidFieldsError

READ_TIMEOUT_S = 2.0
"""Time for which a missing or invalid file is read again; it is written in
milliseconds."""

READ_INTERVAL_S = 0.05
"""Interval of the reads."""

Settings = TypeVar("Settings")


def read_when_valid(
    read: Callable[[], Settings], *, timeout_s: float = READ_TIMEOUT_S
) -> Settings:
    """Read settings, again for a while if they are missing or invalid.

    Failure: a process starts while its settings are being written, reads a part of
    them and exits.

    Args:
        read: reads and validates the settings.
        timeout_s: time after which the fault of the last read counts.

    Raises:
        InvalidFieldsError: the settings are still invalid.
        OSError: the file still can't be read.
    """
    ends_s = time.monotonic() + timeout_s
    while True:
        try:
            return read()
        except (InvalidFieldsError, OSError):
            if time.monotonic() >= ends_s:
                raise
        time.sleep(READ_INTERVAL_S)
