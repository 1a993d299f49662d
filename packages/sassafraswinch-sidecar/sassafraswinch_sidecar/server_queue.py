"""Queue before one backend server: starts, queues or refuses requests by its slots.

A backend server that receives more requests than it can run may never answer again.
Requests beyond its slots are queued here, in the order that wastes the least work.
"""

import heapq
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

USABLE_SLOT_SHARE = 0.95
"""Share of the slots that is used: a new connection and a health check hold a slot
for a moment, and some servers slow down when they are nearly full."""

HOLD_TIME_GAIN = 0.05
"""Weight of one request in the mean time that a slot is held: the last twenty."""

MAX_WITHDRAWN = 16
"""Withdrawn requests that may stay in the heap beyond the number of queued ones."""

INITIAL_HOLD_MS = 50.0
"""Mean slot time that is assumed before any request has finished."""


Rank = tuple[int, bool, float]
"""Priority of a request, whether it is a root request, and its negated progress.

The priority goes first: calls of long call trees can wait where short, more important
requests can't. Requests that make no calls are the end of their call tree and rank with
the calls that are furthest on; behind them they would hardly ever start."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue of the backend server, or started from it.

    Attributes:
        item: the caller's object for the request.
        is_child_call: whether it is a child call of a running request. Child calls go
            first within a priority, since refusing one wastes all work done for its
            root request.
        priority: priority of the root request; 0 is the most important.
        queue_deadline_ms: time at which it leaves the queue if it hasn't started.
        progress: finished calls of the requests above it. Those with more progress go
            first: refusing them wastes more, and a full server then spends its slots on
            requests that are completed.
        is_leaf_call: whether it makes no calls.
        started_at_ms: time at which it got a slot; None while it is queued.
        is_withdrawn: whether it was withdrawn from the queue.
    """

    item: Any
    is_child_call: bool
    priority: int
    queue_deadline_ms: float
    progress: int = 0
    is_leaf_call: bool = False
    started_at_ms: float | None = None
    is_withdrawn: bool = False

    @property
    def rank(self) -> Rank:
        """Sort key of the queue, before the order of arrival: the lowest goes first."""
        if self.is_leaf_call:
            return self.priority, False, -math.inf
        return self.priority, not self.is_child_call, -self.progress


@dataclass(slots=True)
class ServerQueue:
    """Slots of one backend server and the requests that wait for them.

    Attributes:
        limit: slots that may be in use at once.
        running: slots in use.
        mean_hold_ms: mean time that a request holds its slot.
    """

    limit: int
    running: int = 0
    mean_hold_ms: float = INITIAL_HOLD_MS
    _heap: list[tuple[Rank, int, QueuedRequest]] = field(default_factory=list)
    _sequence: Any = field(default_factory=itertools.count)
    _queued: int = 0

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queued

    def expected_wait_ms(self, rank: Rank) -> float:
        """Return the expected wait of a new request of this rank."""
        if self.running < self.limit and not self._queued:
            return 0.0
        ahead = sum(
            1
            for queued_rank, _, request in self._heap
            if not request.is_withdrawn and queued_rank <= rank
        )
        return (ahead + 1) * self.mean_hold_ms / max(self.limit, 1)

    def enqueue(self, request: QueuedRequest, now_ms: float) -> bool:
        """Add a request, which ``pop_startable`` yields once it gets a slot.

        Returns:
            False if its expected wait is longer than allowed. It is then refused at
            once, so that it can be sent elsewhere or retried later.
        """
        rank = request.rank
        delay_ms = self.expected_wait_ms(rank)
        if delay_ms and now_ms + delay_ms > request.queue_deadline_ms:
            return False
        order = (rank, next(self._sequence), request)
        heapq.heappush(self._heap, order)
        self._queued += 1
        return True

    def pop_startable(self, now_ms: float) -> Iterable[QueuedRequest]:
        """Remove and yield the requests that get a slot now."""
        while self._heap and self.running < self.limit:
            request = heapq.heappop(self._heap)[-1]
            if request.is_withdrawn:
                continue
            self._queued -= 1
            self.running += 1
            request.started_at_ms = now_ms
            yield request

    def withdraw(self, request: QueuedRequest) -> bool:
        """Remove a queued request; return False if it isn't queued any more."""
        if request.is_withdrawn or request.started_at_ms is not None:
            return False
        request.is_withdrawn = True
        self._queued -= 1
        if len(self._heap) > 2 * self._queued + MAX_WITHDRAWN:
            self._compact()
        return True

    def release_slot(self, request: QueuedRequest, now_ms: float) -> float:
        """Release the slot of a started request; return how long it was held."""
        self.running -= 1
        held_ms = now_ms - request.started_at_ms
        self.mean_hold_ms += HOLD_TIME_GAIN * (held_ms - self.mean_hold_ms)
        return held_ms

    def pop_expired(self, now_ms: float) -> list[QueuedRequest]:
        """Remove and return the requests that have waited as long as allowed."""
        late = [
            request
            for *_, request in self._heap
            if not request.is_withdrawn and now_ms >= request.queue_deadline_ms
        ]
        for request in late:
            self.withdraw(request)
        return late

    def _compact(self) -> None:
        """Remove withdrawn requests from the heap.

        Failure: while more important requests keep arriving, those at the bottom of the
        heap never reach its top. Thousands of withdrawn requests accumulate there, and
        each pass over the queue visits them.
        """
        self._heap = [order for order in self._heap if not order[-1].is_withdrawn]
        heapq.heapify(self._heap)

    def drain(self) -> list[QueuedRequest]:
        """Remove and return all queued requests."""
        queued = [request for *_, request in self._heap if not request.is_withdrawn]
        for request in queued:
            self.withdraw(request)
        self._heap.clear()
        return queued
