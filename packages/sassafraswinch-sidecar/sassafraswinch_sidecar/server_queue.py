"""Queue before one backend server: starts, queues or refuses requests by its slots.

A backend server that receives more requests than it can run may never answer again.
Requests beyond its slots, or beyond the rate limit that it names, are queued here, in
the order that wastes the least work.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from sassafraswinch_sidecar.server_pace import ServerPace

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
        trial_slots: slots that may be in use until the server's rate limit is known;
            None once it is.
        pace: rate limit of the server.
    """

    limit: int
    running: int = 0
    mean_hold_ms: float = INITIAL_HOLD_MS
    trial_slots: int | None = None
    pace: ServerPace = field(default_factory=ServerPace)
    _heap: list[tuple[Rank, int, QueuedRequest]] = field(default_factory=list)
    _sequence: Any = field(default_factory=itertools.count)
    _queued: int = 0

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queued

    @property
    def usable_slots(self) -> int:
        """Slots that may be in use now."""
        return (
            self.limit
            if self.trial_slots is None
            else min(self.limit, self.trial_slots)
        )

    def expected_wait_ms(self, rank: Rank, now_ms: float) -> float:
        """Return the expected wait of a new request of this rank."""
        if not self._queued:
            slot_wait_ms = self._slot_wait_ms(1) if self._is_full() else 0.0
            return max(slot_wait_ms, self.pace.wait_ms(1, now_ms))
        ahead = sum(
            1
            for queued_rank, _, request in self._heap
            if not request.is_withdrawn and queued_rank <= rank
        )
        return max(self._slot_wait_ms(ahead + 1), self.pace.wait_ms(ahead + 1, now_ms))

    def _is_full(self) -> bool:
        return self.running >= self.usable_slots

    def _slot_wait_ms(self, position: int) -> float:
        return position * self.mean_hold_ms / max(self.usable_slots, 1)

    def enqueue(self, request: QueuedRequest, now_ms: float) -> bool:
        """Add a request, which ``pop_startable`` yields once it gets a slot.

        Returns:
            False if its expected wait is longer than allowed. It is then refused at
            once, so that it can be sent elsewhere or retried later.
        """
        rank = request.rank
        delay_ms = self.expected_wait_ms(rank, now_ms)
        if delay_ms and now_ms + delay_ms > request.queue_deadline_ms:
            return False
        order = (rank, next(self._sequence), request)
        heapq.heappush(self._heap, order)
        self._queued += 1
        return True

    def pop_startable(self, now_ms: float) -> Iterable[QueuedRequest]:
        """Remove and yield the requests that get a slot now."""
        while self._heap and not self._is_full():
            if self._heap[0][-1].is_withdrawn:
                heapq.heappop(self._heap)
                continue
            if not self.pace.allows_start(now_ms):
                return
            request = heapq.heappop(self._heap)[-1]
            self._queued -= 1
            self.running += 1
            self.pace.record_start()
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

    def pop_unreachable(self, now_ms: float) -> list[QueuedRequest]:
        """Remove and return the requests that the rate limit won't start in time.

        Failure: a server with a long queue names a low limit. The requests wait as long
        as they may, though all but the first of them could be served elsewhere.
        """
        waiting = [order for order in sorted(self._heap) if not order[-1].is_withdrawn]
        position, unreachable = 1, []
        for *_, request in waiting:
            start_ms = now_ms + self.pace.wait_ms(position, now_ms)
            if start_ms > request.queue_deadline_ms:
                unreachable.append(request)
            else:
                position += 1
        for request in unreachable:
            self.withdraw(request)
        return unreachable

    def pop_matching(self, matches: Callable[[Any], bool]) -> list[QueuedRequest]:
        """Remove and return the requests whose item matches."""
        found = [
            request
            for *_, request in self._heap
            if not request.is_withdrawn and matches(request.item)
        ]
        for request in found:
            self.withdraw(request)
        return found

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
