"""Admission gate of a backend server: starts, queues or refuses calls."""

import enum
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch.messages import Load, Rank
from sassafraswinch.verdict import Reason

Key = Hashable
"""Identifies one call at one gate."""

STATIC_SLOTS = 64
"""Concurrency limit, in calls, of a ``StaticGate`` without a number of slots."""

STATIC_QUEUE_BOUND = 256
"""Maximum number of queued calls of a ``StaticGate``: a common listen backlog."""

STATIC_RETRY_AFTER_MS = 1000
"""Retry delay of a ``StaticGate`` for each refused call, as plain servers send it."""


class BackendOutcome(enum.Enum):
    """Outcome of a started call at the backend server."""

    OK = "ok"
    """A complete answer was received, whatever its status."""

    SHED = "shed"
    """The backend server refused the call in the documented form; it did not run."""

    BROKEN = "broken"
    """The connection failed or the answer was truncated."""

    CANCELLED = "cancelled"
    """The node cancelled the call: its deadline passed or its caller is gone."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Refusal of a call, which did not start at this gate and never will."""

    key: Key
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GateDecision:
    """Calls to start and to refuse now; all other calls keep waiting."""

    start: tuple[Key, ...] = ()
    refused: tuple[Refusal, ...] = ()


NO_ACTION = GateDecision()
"""Decision that neither starts nor refuses a call."""


class Gate(Protocol):
    """Admission control for the calls to one backend server.

    Each offered key is started or refused exactly once, unless it is withdrawn before.
    The user of the gate passes the time to each method; it must not decrease.
    """

    def offer(
        self,
        *,
        key: Key,
        rank: Rank,
        progress: int,
        operation: str,
        deadline_at_ms: float,
        now_ms: float,
    ) -> GateDecision:
        """Decide on a new call; the decision may also refuse waiting calls.

        Args:
            key: identifies the call until it is finished, refused or withdrawn.
            rank: priority of the call, as class and level.
            progress: number of calls that its root request has already finished.
            operation: name of the operation, for its service time.
            deadline_at_ms: time after which an answer is useless.
            now_ms: monotonic time.
        """
        ...

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Free the slot of a started call.

        Args:
            key: key of a started call.
            self_time_ms: time at the backend server less that of child calls.
            outcome: outcome of the call.
            now_ms: monotonic time.
        """
        ...

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Remove a waiting call, which will not start; no effect on a started one."""
        ...

    def tick(self, now_ms: float) -> GateDecision:
        """Apply time-based decisions; called every 10 to 100 ms, also when idle."""
        ...

    def load(self, now_ms: float) -> Load:
        """Return the load of the backend server for answers and heartbeats."""
        ...

    def leave(self) -> GateDecision:
        """Refuse all waiting and new calls; running calls may finish."""
        ...

    def set_slots(self, slots: int | None) -> None:
        """Set the hint on the number of calls that the backend server can run."""
        ...


class OpenGate:
    """Gate without admission control, for comparison: starts every call at once."""

    def __init__(self):
        self._running: set[Key] = set()
        self._leaving = False

    def offer(
        self,
        *,
        key: Key,
        rank: Rank,
        progress: int,
        operation: str,
        deadline_at_ms: float,
        now_ms: float,
    ) -> GateDecision:
        """Start the call, unless the gate is leaving."""
        if self._leaving:
            return refuse(key, Reason.LEAVING, 0)
        self._running.add(key)
        return GateDecision(start=(key,))

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Remove the call from the running ones."""
        self._running.discard(key)
        return NO_ACTION

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Do nothing, as no calls wait."""
        return NO_ACTION

    def tick(self, now_ms: float) -> GateDecision:
        """Do nothing, as no decision depends on time."""
        return NO_ACTION

    def load(self, now_ms: float) -> Load:
        """Return the number of calls in flight; there is no limit."""
        return Load(in_flight=len(self._running), leaving=self._leaving)

    def leave(self) -> GateDecision:
        """Refuse all new calls."""
        self._leaving = True
        return NO_ACTION

    def set_slots(self, slots: int | None) -> None:
        """Ignore the hint, as there is no limit."""


class StaticGate:
    """Gate with a fixed limit and a bounded FIFO queue, for comparison."""

    def __init__(
        self, *, slots: int | None = None, queue_bound: int = STATIC_QUEUE_BOUND
    ):
        self._limit = slots or STATIC_SLOTS
        self._queue_bound = queue_bound
        self._running: set[Key] = set()
        self._queue: deque[Key] = deque()
        self._leaving = False

    def offer(
        self,
        *,
        key: Key,
        rank: Rank,
        progress: int,
        operation: str,
        deadline_at_ms: float,
        now_ms: float,
    ) -> GateDecision:
        """Start, queue or refuse the call, whatever its rank."""
        if self._leaving:
            return refuse(key, Reason.LEAVING, 0)
        if len(self._queue) >= self._queue_bound:
            return refuse(key, Reason.OVERLOADED, STATIC_RETRY_AFTER_MS)
        self._queue.append(key)
        return self.tick(now_ms)

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Free the slot and start the call that has waited longest."""
        self._running.discard(key)
        return self.tick(now_ms)

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Remove the call if it waits."""
        if key in self._queue:
            self._queue.remove(key)
        return NO_ACTION

    def tick(self, now_ms: float) -> GateDecision:
        """Start calls up to the limit."""
        free = max(0, self._limit - len(self._running))
        start = tuple(self._queue.popleft() for _ in range(min(free, len(self._queue))))
        self._running.update(start)
        return GateDecision(start=start)

    def load(self, now_ms: float) -> Load:
        """Return the call counts and the limit; there is no threshold."""
        return Load(
            in_flight=len(self._running),
            queued=len(self._queue),
            limit=self._limit,
            leaving=self._leaving,
        )

    def leave(self) -> GateDecision:
        """Refuse all waiting and new calls."""
        self._leaving = True
        refused = tuple(
            Refusal(key=key, reason=Reason.LEAVING, retry_after_ms=0)
            for key in self._queue
        )
        self._queue.clear()
        return GateDecision(refused=refused)

    def set_slots(self, slots: int | None) -> None:
        """Set the limit to the hint."""
        self._limit = slots or STATIC_SLOTS


def refuse(key: Key, reason: Reason, retry_after_ms: int) -> GateDecision:
    """Return a decision that refuses one call."""
    refusal = Refusal(key=key, reason=reason, retry_after_ms=retry_after_ms)
    return GateDecision(refused=(refusal,))
