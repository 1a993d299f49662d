"""Notices that the process was paused, before it acts on what it knew."""

PAUSE_MS = 1_500
"""A gap between two observations that counts as a pause. With a heartbeat each
second, what is older could let a leaving host get new work after 3 s."""

WALL_JUMP_MS = 1_500
"""A step of the wall clock against the monotonic one that counts as a pause: the
monotonic clock stands still while a virtual machine is suspended."""


class WakeDetector:
    """Compares the time of each event with that of the one before.

    Failure guarded against: a process stopped for a minute wakes; its event
    loop first handles what lies in the sockets and only then its timers. So a
    timer alone notices too late. The node calls ``observe`` first in every
    entry point, and a timer calls it each ``tick_ms`` so that an idle process
    isn't taken for a paused one.

    Args:
        tick_ms: period of the timer, well below ``PAUSE_MS``.
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
