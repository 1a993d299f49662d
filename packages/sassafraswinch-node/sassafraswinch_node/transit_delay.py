"""Estimator of the transit delay of frames from sender and receiver timestamps."""

import math

TRANSIT_WINDOW_MS = 30_000.0
"""Length of each of the two windows over which the minimum transit time is taken. Clock
drift of 100 parts per million shifts the minimum by at most 6 ms over both."""


class TransitDelayEstimator:
    """Estimates the transit delay of the frames of one link.

    The clocks of the two hosts are not synchronised. The smallest recent difference
    of receive and send time is taken as the undelayed transit, and only the delay
    beyond it is known.

    The estimate keeps deadlines correct after a process pause: calls that waited in
    the socket buffer would otherwise seem to have arrived without delay.
    """

    __slots__ = ("_current_ms", "_previous_ms", "_window_end_ms")

    def __init__(self):
        self._current_ms = math.inf
        self._previous_ms = math.inf
        self._window_end_ms = -math.inf

    def record_frame(self, *, sent_ms: float, received_ms: float) -> float:
        """Record one frame and return its delay beyond the fastest recent transit."""
        if received_ms >= self._window_end_ms:
            self._previous_ms = self._current_ms
            self._current_ms = math.inf
            self._window_end_ms = received_ms + TRANSIT_WINDOW_MS
        transit_ms = received_ms - sent_ms
        self._current_ms = min(self._current_ms, transit_ms)
        return transit_ms - min(self._current_ms, self._previous_ms)
