"""Wake detector: detects a process pause before the node acts on outdated state."""

PAUSE_MS = 1_500
"""Gap between two observations that counts as a pause. Heartbeats are sent each second;
with older state a leaving host could get new calls after 3 s."""

WALL_JUMP_MS = 1_500
"""Step of the wall clock against the monotonic one that counts as a pause: the
monotonic clock doesn't advance while a virtual machine is suspended."""


class WakeDetector:
    """Detects a process pause from the time between successive events.

    Failure: after a pause of a minute the event loop handles buffered socket data
    before its timers, so a timer alone detects the pause too late. The node calls
    ``observe`` first in every entry point, and a timer calls it each ``tick_ms``, so
    that an idle process isn't taken for a paused one.

    Args:
        tick_ms: Period of the timer, well below ``PAUSE_MS``.
    """

    def __init__(self, *, tick_ms: float):
        self._pause_ms = PAUSE_MS + tick_ms
        self._monotonic_ms: float | None = None
        self._wall_offset_ms = 0.0

    def observe(self, *, monotonic_ms: float, wall_ms: float) -> bool:
        """Return whether the process was paused since the last observation."""
        offset_ms = wall_ms - monotonic_ms
        last_ms = self._monotonic_ms
        jumped = abs(offset_ms - self._wall_offset_ms) > WALL_JUMP_MS
        self._monotonic_ms = monotonic_ms
        self._wall_offset_ms = offset_ms
        if last_ms is None:
            return False
        return jumped or monotonic_ms - last_ms > self._pause_ms
