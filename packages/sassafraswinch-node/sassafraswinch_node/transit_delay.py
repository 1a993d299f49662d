"""How long a frame was held up on its way, from the clocks at both ends."""

import math

WINDOW_MS = 30_000.0
"""Span of one of the two windows of the fastest transit; clocks of two hosts that
drift apart by 100 parts per million shift it by at most 6 ms in both."""


class TransitClock:
    """Compares sending and receiving times of the frames of one link.

    The two clocks have no common zero, so the fastest transit seen lately stands
    for an undisturbed one, and only the delay beyond it is known.

    This guards deadlines against a paused process: its calls wait in the socket
    buffer, and after it wakes they would look as if no time had passed.
    """

    __slots__ = ("_current_ms", "_previous_ms", "_window_end_ms")

    def __init__(self):
        self._current_ms = math.inf
        self._previous_ms = math.inf
        self._window_end_ms = -math.inf

    def delay_ms(self, *, sent_ms: float, received_ms: float) -> float:
        """Note one frame and return how much longer it took than the fastest."""
        if received_ms >= self._window_end_ms:
            self._previous_ms = self._current_ms
            self._current_ms = math.inf
            self._window_end_ms = received_ms + WINDOW_MS
        transit_ms = received_ms - sent_ms
        self._current_ms = min(self._current_ms, transit_ms)
        return transit_ms - min(self._current_ms, self._previous_ms)
