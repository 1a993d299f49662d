"""Waits for a state that other processes reach in their own time."""

import time
from collections.abc import Callable
from typing import TypeVar

from sassafraswinch.errors import SassafraswinchError

CEILING_S = 30.0
"""Longest wait, in seconds: well beyond every promise, so that a busy machine
doesn't fail a test whose state is reached."""

INTERVAL_S = 0.05
"""Interval of the looks, in seconds."""

State = TypeVar("State")


class NotReachedError(SassafraswinchError):
    """A state wasn't reached within the ceiling.

    Attributes:
        state: what was waited for.
        last: what the last look saw.
    """

    def __init__(self, *, state: str, last: object):
        super().__init__(f"{state}: not within {CEILING_S} s; last seen: {last!r}")
        self.state = state
        self.last = last


def wait_until(state: str, look: Callable[[], State]) -> State:
    """Look until what is seen counts as true, print how long it took, return it.

    Args:
        state: what is waited for, in words.
        look: returns what it sees; errors of connections count as false.

    Raises:
        NotReachedError: not within ``CEILING_S``.
    """
    began_s = time.monotonic()
    seen: object = None
    while time.monotonic() - began_s < CEILING_S:
        try:
            seen = look()
        except (OSError, ValueError) as error:
            seen = error
        else:
            if seen:
                print(f"{state}: after {time.monotonic() - began_s:.2f} s")
                return seen
        time.sleep(INTERVAL_S)
    raise NotReachedError(state=state, last=seen)
