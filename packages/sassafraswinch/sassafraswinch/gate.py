"""The gate before a backend server: which calls start, wait or are refused."""

import enum
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch.messages import Load, Rank
from sassafraswinch.verdict import Reason

Key = Hashable
"""Names one call at one gate."""

STATIC_SLOTS = 64
"""Limit, in calls, of a ``StaticGate`` that was told no number of slots."""

STATIC_QUEUE_BOUND = 256
"""Queued calls of a ``StaticGate``: a common listen backlog."""

STATIC_RETRY_AFTER_MS = 1000
"""What a ``StaticGate`` tells every refused call, as plain servers do."""


class BackendOutcome(enum.Enum):
    """How a started call ended at the backend server."""

    OK = "ok"
    """A whole answer came, whatever its status."""

    SHED = "shed"
    """The backend server refused it in the documented form, and did not run it."""

    BROKEN = "broken"
    """The connection failed or the answer was cut short."""

    CANCELLED = "cancelled"
    """This node gave up the call: its deadline passed or nobody waits for it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """A call that the gate ended; it never started here and never will."""

    key: Key
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GateDecision:
    """What to do now: start these calls, end those. The rest keeps waiting."""

    start: tuple[Key, ...] = ()
    refused: tuple[Refusal, ...] = ()


NOTHING = GateDecision()
"""The decision that asks for nothing."""


class Gate(Protocol):
    """Decides on the calls for one backend server.

    Each offered key gets exactly one start or one refusal, unless it is
    withdrawn before. The caller of the gate passes the time to each method;
    it must not go back.
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
        """Take a new call; the decision may also refuse calls that waited.

        Args:
            key: names the call until it is finished, refused or withdrawn.
            rank: claim of the call on capacity.
            progress: calls that its root request has already finished.
            operation: name of the operation, for its service time.
            deadline_at_ms: time at which an answer loses its worth.
            now_ms: monotonic time.
        """
        ...

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Take back the slot of a started call.

        Args:
            key: a key that was started.
            self_time_ms: time at the backend server less that of child calls.
            outcome: how the call ended.
            now_ms: monotonic time.
        """
        ...

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Drop a waiting call: it will not start. No effect on a started one."""
        ...

    def tick(self, now_ms: float) -> GateDecision:
        """Let time pass: call it every 10 to 100 ms, also when idle."""
        ...

    def load(self, now_ms: float) -> Load:
        """Return what answers and heartbeats say of this backend server."""
        ...

    def leave(self) -> GateDecision:
        """Refuse what waits and all that comes; what runs may finish."""
        ...

    def set_slots(self, slots: int | None) -> None:
        """Take a new hint of how many calls the backend server can run."""
        ...


class OpenGate:
    """Starts every call at once: no control, for comparison."""

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
        """Start the call, unless the host is leaving."""
        if self._leaving:
            return refuse(key, Reason.LEAVING, 0)
        self._running.add(key)
        return GateDecision(start=(key,))

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Forget the call."""
        self._running.discard(key)
        return NOTHING

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Nothing waits here."""
        return NOTHING

    def tick(self, now_ms: float) -> GateDecision:
        """Nothing depends on time here."""
        return NOTHING

    def load(self, now_ms: float) -> Load:
        """Return the calls in flight; there is no limit."""
        return Load(in_flight=len(self._running), leaving=self._leaving)

    def leave(self) -> GateDecision:
        """Refuse all that comes."""
        self._leaving = True
        return NOTHING

    def set_slots(self, slots: int | None) -> None:
        """The hint is of no use here."""


class StaticGate:
    """A fixed limit and a bounded queue in order of arrival, for comparison."""

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
        """Start the call that has waited longest."""
        self._running.discard(key)
        return self.tick(now_ms)

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Drop the call if it waits."""
        if key in self._queue:
            self._queue.remove(key)
        return NOTHING

    def tick(self, now_ms: float) -> GateDecision:
        """Start calls up to the limit."""
        free = max(0, self._limit - len(self._running))
        start = tuple(self._queue.popleft() for _ in range(min(free, len(self._queue))))
        self._running.update(start)
        return GateDecision(start=start)

    def load(self, now_ms: float) -> Load:
        """Return the counts; there is no threshold."""
        return Load(
            in_flight=len(self._running),
            queued=len(self._queue),
            limit=self._limit,
            leaving=self._leaving,
        )

    def leave(self) -> GateDecision:
        """Refuse what waits and all that comes."""
        self._leaving = True
        refused = tuple(
            Refusal(key=key, reason=Reason.LEAVING, retry_after_ms=0)
            for key in self._queue
        )
        self._queue.clear()
        return GateDecision(refused=refused)

    def set_slots(self, slots: int | None) -> None:
        """Make the hint the limit."""
        self._limit = slots or STATIC_SLOTS


def refuse(key: Key, reason: Reason, retry_after_ms: int) -> GateDecision:
    """Return the decision that refuses one call."""
    refusal = Refusal(key=key, reason=reason, retry_after_ms=retry_after_ms)
    return GateDecision(refused=(refusal,))
