"""Which requests start at the backend server, which wait, and which are refused.

A backend server that is handed more than it can run may never answer again, so what
exceeds its slots waits here, in an order that wastes the least work.
"""

import heapq
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

USABLE_SLOT_SHARE = 0.95
"""Part of the slots that is used: a new connection and a health check hold a slot
for a moment, and some servers slow down when they are nearly full."""

HOLD_GAIN = 0.05
"""Weight of one request in the mean time that a slot is held: the last twenty."""

MAX_LEFT = 16
"""Requests that have left and may stay in the heap besides those that wait."""

COLD_HOLD_MS = 50.0
"""Mean assumed before any request has ended."""


Rank = tuple[int, bool, float]
"""Its priority, whether it begins a tree, and how far from its end its tree is.

The priority goes first: calls of long trees can wait where short, more important
requests can't. Requests that make no calls are the end of their tree, so they go with
the calls; behind them they would hardly ever start."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request before the backend server.

    Attributes:
        item: what the caller of the queue knows it by.
        is_child_call: whether a running request made it; of one priority such requests go
            first, since refusing one wastes all that was done for its root request.
        is_leaf_call: whether its tree ends with it.
        priority: priority of the root request; 0 is the most important.
        queue_deadline_ms: when it leaves the queue if it hasn't started.
        progress: calls that the requests above it have finished. The further ones go
            first: refused, they waste more, and what a full server runs is then spent
            on requests that end whole.
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
        """What decides, before the order of arrival, who starts first: the lowest."""
        if self.is_leaf_call:
            return self.priority, False, -math.inf
        return self.priority, not self.is_child_call, -self.progress


@dataclass(slots=True)
class ServerQueue:
    """Slots of one backend server and the requests that wait for them."""

    limit: int
    running: int = 0
    mean_hold_ms: float = COLD_HOLD_MS
    _waiting: list[tuple[Rank, int, QueuedRequest]] = field(default_factory=list)
    _sequence: Any = field(default_factory=itertools.count)
    _queued: int = 0

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queued

    def expected_wait_ms(self, rank: Rank) -> float:
        """Return the wait that a new request of this rank would meet."""
        if self.running < self.limit and not self._queued:
            return 0.0
        ahead = sum(
            1
            for waiting_rank, _, request in self._waiting
            if not request.is_withdrawn and waiting_rank <= rank
        )
        return (ahead + 1) * self.mean_hold_ms / max(self.limit, 1)

    def enqueue(self, request: QueuedRequest, now_ms: float) -> bool:
        """Take a request, which then starts with ``pop_startable`` or is refused.

        Returns:
            False if it would wait longer than it may: it is refused at once, so
            that it can go elsewhere or come back.
        """
        rank = request.rank
        delay_ms = self.expected_wait_ms(rank)
        if delay_ms and now_ms + delay_ms > request.queue_deadline_ms:
            return False
        order = (rank, next(self._sequence), request)
        heapq.heappush(self._waiting, order)
        self._queued += 1
        return True

    def pop_startable(self, now_ms: float) -> Iterable[QueuedRequest]:
        """Yield the requests that start now."""
        while self._waiting and self.running < self.limit:
            request = heapq.heappop(self._waiting)[-1]
            if request.is_withdrawn:
                continue
            self._queued -= 1
            self.running += 1
            request.started_at_ms = now_ms
            yield request

    def withdraw(self, request: QueuedRequest) -> bool:
        """Take a waiting request out; False if it has started or left already."""
        if request.is_withdrawn or request.started_at_ms is not None:
            return False
        request.is_withdrawn = True
        self._queued -= 1
        if len(self._waiting) > 2 * self._queued + MAX_LEFT:
            self._compact()
        return True

    def release_slot(self, request: QueuedRequest, now_ms: float) -> float:
        """Take back the slot of a started request; return how long it was held."""
        self.running -= 1
        held_ms = now_ms - request.started_at_ms
        self.mean_hold_ms += HOLD_GAIN * (held_ms - self.mean_hold_ms)
        return held_ms

    def pop_expired(self, now_ms: float) -> list[QueuedRequest]:
        """Take out the requests that have waited as long as they may."""
        late = [
            request
            for *_, request in self._waiting
            if not request.is_withdrawn and now_ms >= request.queue_deadline_ms
        ]
        for request in late:
            self.withdraw(request)
        return late

    def _compact(self) -> None:
        """Drop the requests that have left from the heap.

        Failure: while more important requests keep coming, those at its bottom never
        reach the top; thousands that have left pile up there, and every look at the
        queue walks over them.
        """
        self._waiting = [order for order in self._waiting if not order[-1].is_withdrawn]
        heapq.heapify(self._waiting)

    def drain(self) -> list[QueuedRequest]:
        """Take out all that wait."""
        waiting = [request for *_, request in self._waiting if not request.is_withdrawn]
        for request in waiting:
            self.withdraw(request)
        self._waiting.clear()
        return waiting
