"""When a node reads the platform, so that the fleet stays within its read budget."""

import enum
import random

READS_PER_S = 2_000
"""Reads a second that the platform bears from all readers together."""

WAIT_MS = 10_000
"""How long a watch waits at the platform for a change."""

DOCUMENT_WATCHES = 24
"""Watches on the document that wait at any moment in a large fleet: four for
each of six availability zones; other nodes hear of a change from these."""

HOST_WATCHES = 300
"""Watches on the host list that wait at any moment in a large fleet; the list
doesn't travel between nodes, so each node reads it often."""

STREAM_SHARE = 0.2
"""Share of the read budget that one stream may use in its busiest second."""

BACKOFF_DOUBLINGS = 3
"""How often the spread of reads doubles while the platform stays down."""


class WatchOutcome(enum.Enum):
    """How a read or watch of the platform ended."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class WatchSchedule:
    """When one node issues its next read of one stream (document or host list).

    A node watches for a while and then rests, both for random times, so that
    about ``watches`` of ``nodes`` watches wait at any moment, wherever the
    others are. No node needs to know which ones.

    Failure guarded against: the platform comes back after an outage, or drops
    all watches at once, and every node asks in the same second; the platform
    goes down again. Each pause is drawn evenly from an interval long enough
    for ``STREAM_SHARE`` of the budget, so the sum holds whatever the moment.

    Args:
        rng: source of all delays.
        nodes: size of the fleet as far as known; an estimate at start.
        watches: watches that shall wait at any moment.
        budget_per_s: reads a second that the platform bears in all.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        nodes: int,
        watches: int = DOCUMENT_WATCHES,
        budget_per_s: float = READS_PER_S,
    ):
        self._rng = rng
        self._nodes = max(1, nodes)
        self._watches = watches
        self._budget_per_s = budget_per_s
        self._failures = 0
        self._isolated = False

    @property
    def spread_ms(self) -> float:
        """Interval over which one read of each node fits the stream's share."""
        return self._nodes * 1000 / (self._budget_per_s * STREAM_SHARE)

    def set_nodes(self, nodes: int) -> None:
        """Follow the size of the fleet."""
        self._nodes = max(1, nodes)

    def set_isolated(self, isolated: bool) -> None:
        """Rest no longer than ``spread_ms`` while peers can't tell of changes."""
        self._isolated = isolated

    def first_delay_ms(self) -> float:
        """Return the pause before the first read: a whole fleet may start at once."""
        return self._rng.uniform(0, self.spread_ms)

    def wait_ms(self) -> int:
        """Return how long the next watch shall wait at the platform."""
        return round(self._rng.uniform(0.5, 1.5) * WAIT_MS)

    def next_delay_ms(self, outcome: WatchOutcome) -> float:
        """Return the pause between the end of a read and the next one."""
        if outcome is WatchOutcome.FAILED:
            doublings = min(self._failures, BACKOFF_DOUBLINGS)
            self._failures += 1
            return self._rng.uniform(0, self.spread_ms * 2**doublings)
        self._failures = 0
        return self._rng.uniform(0, max(self.spread_ms, 2 * self._rest_ms()))

    def _rest_ms(self) -> float:
        """Mean rest that leaves ``watches`` of ``nodes`` watches waiting."""
        if self._isolated:
            return 0.0
        return WAIT_MS * max(0.0, self._nodes / self._watches - 1)
