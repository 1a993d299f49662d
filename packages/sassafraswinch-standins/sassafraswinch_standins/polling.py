"""Polling for a condition that other processes reach asynchronously."""

import time
from collections.abc import Callable
from typing import TypeVar

from sassafraswinch.errors import SassafraswinchError

WAIT_TIMEOUT_S = 30.0
"""Timeout of a wait, in seconds.

It is well above every guaranteed time, so that a busy host doesn't fail a test whose
condition is reached late.
"""

POLL_INTERVAL_S = 0.05
"""Polling interval, in seconds."""

State = TypeVar("State")


class NotReachedError(SassafraswinchError):
    """A condition wasn't reached within ``WAIT_TIMEOUT_S``.

    Attributes:
        description: description of the condition.
        last: result or error of the last check.
    """

    def __init__(self, *, description: str, last: object):
        super().__init__(
            f"{description}: not met within {WAIT_TIMEOUT_S} s; last result {last!r}"
        )
        self.description = description
        self.last = last


def wait_until(description: str, check: Callable[[], State]) -> State:
    """Call ``check`` until its result is true, print the time taken, return the result.

    Args:
        description: description of the condition.
        check: returns the result of one check. Connection errors (OSError and
            ValueError) count as false.

    Raises:
        NotReachedError: the result is not true within ``WAIT_TIMEOUT_S``.
    """
    started_s = time.monotonic()
    result: object = None
    while time.monotonic() - started_s < WAIT_TIMEOUT_S:
        try:
            result = check()
        except (OSError, ValueError) as error:
            result = error
        else:
            if result:
                print(
                    f"{description}: reached after {time.monotonic() - started_s:.2f} s"
                )
                return result
        time.sleep(POLL_INTERVAL_S)
    raise NotReachedError(description=description, last=result)
