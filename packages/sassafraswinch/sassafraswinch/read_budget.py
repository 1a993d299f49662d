"""Schedule of a node's platform reads that keeps the fleet within a read budget."""

import enum
import random

MAX_READS_PER_S = 2_000
"""Total reads a second that the platform can serve to all readers."""

WATCH_WAIT_MS = 10_000
"""Mean time that a watch waits at the platform for a change (long poll)."""

DOCUMENT_WATCHES = 24
"""Open document watches at any moment in a large fleet: four for each of six
availability zones; the other nodes get changes from peers."""

HOST_WATCHES = 300
"""Open host list watches at any moment in a large fleet; the list is not passed
between nodes, so each node reads it often."""

MAX_STREAM_SHARE = 0.2
"""Maximum share of the read budget that one stream uses in its busiest second."""

MAX_BACKOFF_DOUBLINGS = 3
"""Maximum number of doublings of the read interval while the platform is down."""


class WatchOutcome(enum.Enum):
    """How a read or watch of the platform ended."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class WatchSchedule:
    """Schedules one node's reads of one stream (document or host list).

    A node alternates between a watch and a pause, both of random length, so that
    about ``watches`` of ``nodes`` watches are open at any moment. This needs no
    coordination between nodes.

    Failure: the platform comes back after an outage, or drops all watches at once;
    every node reads it in the same second, and it goes down again. Each pause is
    therefore drawn uniformly from an interval in which one read per node takes
    ``MAX_STREAM_SHARE`` of the budget, so that the budget holds at any moment.

    Args:
        rng: source of all delays.
        nodes: known size of the fleet; an estimate at start.
        watches: target number of watches open at any moment.
        budget_per_s: total reads a second that the platform can serve.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        nodes: int,
        watches: int = DOCUMENT_WATCHES,
        budget_per_s: float = MAX_READS_PER_S,
    ):
        self._rng = rng
        self._nodes = max(1, nodes)
        self._watches = watches
        self._budget_per_s = budget_per_s
        self._failures = 0
        self._isolated = False

    @property
    def read_interval_ms(self) -> float:
        """Interval over which one read per node stays within the stream's share."""
        return self._nodes * 1000 / (self._budget_per_s * MAX_STREAM_SHARE)

    def set_nodes(self, nodes: int) -> None:
        """Update the size of the fleet."""
        self._nodes = max(1, nodes)

    def set_isolated(self, isolated: bool) -> None:
        """Limit pauses to ``read_interval_ms`` while no peer can report changes."""
        self._isolated = isolated

    def first_delay_ms(self) -> float:
        """Return the pause before the first read; an entire fleet may start at once."""
        return self._rng.uniform(0, self.read_interval_ms)

    def wait_ms(self) -> int:
        """Return the time for which the next watch waits at the platform."""
        return round(self._rng.uniform(0.5, 1.5) * WATCH_WAIT_MS)

    def next_delay_ms(self, outcome: WatchOutcome) -> float:
        """Return the pause between the end of a read and the next one."""
        if outcome is WatchOutcome.FAILED:
            doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
            self._failures += 1
            return self._rng.uniform(0, self.read_interval_ms * 2**doublings)
        self._failures = 0
        return self._rng.uniform(
            0, max(self.read_interval_ms, 2 * self._mean_pause_ms())
        )

    def _mean_pause_ms(self) -> float:
        """Return the mean pause that keeps ``watches`` of ``nodes`` watches open."""
        if self._isolated:
            return 0.0
        return WATCH_WAIT_MS * max(0.0, self._nodes / self._watches - 1)
