"""Adaptive gate: concurrency limit, priority queue, deadlines and rank threshold."""

import random
from dataclasses import dataclass

from sassafraswinch.class_hold import ClassHold
from sassafraswinch.errors import InvariantError
from sassafraswinch.gate import (
    NO_ACTION,
    BackendOutcome,
    GateDecision,
    Key,
    Refusal,
    refuse,
)
from sassafraswinch.limits import ConcurrencyLimit
from sassafraswinch.messages import LEVELS, Load, Rank
from sassafraswinch.queue_delay import QueueDelays
from sassafraswinch.regression import Round
from sassafraswinch.retry_after import MIN_PROBE_SHARE, RetryAfterSchedule
from sassafraswinch.service_rate import ServiceRate
from sassafraswinch.service_time import ServiceTimes
from sassafraswinch.threshold import Threshold
from sassafraswinch.verdict import Reason
from sassafraswinch.waiting import Claim, WaitingCall, WaitingCalls

MAX_WAIT_MS = 100.0
"""Maximum wait of one call in the queue, where others may overtake it. At 250 the p99
of the wait doubles, for less than 1% more goodput."""


@dataclass(slots=True, kw_only=True)
class _Running:
    """A started call and the state of the gate at its start."""

    operation: str
    started_at_ms: float
    in_flight: int
    round: Round


class AdaptiveGate:
    """Gate of one backend server with strict classes, adaptive limit and short queue.

    Calls start in order of class, progress and arrival, and are refused in reverse
    order of class, progress and level. A full queue evicts its lowest call, and when a
    call is refused for overload, the classes below its own are closed for a while.
    """

    def __init__(self, *, slots: int | None, rng: random.Random):
        self._rng = rng
        self._limit = ConcurrencyLimit(slots=slots)
        self._times = ServiceTimes()
        self._threshold = Threshold()
        self._running: dict[Key, _Running] = {}
        self._waiting = WaitingCalls()
        self._hold = ClassHold()
        self._returns: dict[int, RetryAfterSchedule] = {}
        self._service_rate = ServiceRate(limit=self._limit)
        self._delays = QueueDelays()
        self._sequence = 0
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
        """Start, queue or refuse a call; a full queue evicts its lowest call."""
        if self._leaving:
            return refuse(key, Reason.LEAVING, 0)
        self._threshold.record_offer(rank, progress)
        if self._threshold.is_due(now_ms):
            self._update_threshold(now_ms)
        self._sequence += 1
        call = WaitingCall(
            key=key,
            claim=Claim(rank.class_order, -progress, self._sequence),
            level=rank.level,
            operation=operation,
            deadline_at_ms=deadline_at_ms,
            offered_at_ms=now_ms,
        )
        if self._misses_deadline(call, now_ms):
            return GateDecision(refused=(self._refusal(call, Reason.DEADLINE, now_ms),))
        order = rank.class_order
        if self._hold.is_closed(order, now_ms) or self._threshold.is_closed(order):
            return GateDecision(
                refused=(self._refusal(call, Reason.OVERLOADED, now_ms),)
            )
        if not self._waiting and len(self._running) < self._limit.allowed(now_ms):
            self._start(call, now_ms)
            return GateDecision(start=(key,))
        self._limit.record_reached()
        return self._queue(call, self._threshold.admits(rank, progress), now_ms)

    def finished(
        self, *, key: Key, self_time_ms: float, outcome: BackendOutcome, now_ms: float
    ) -> GateDecision:
        """Update the estimates and give the free slot to the first waiting call."""
        running = self._running.pop(key, None)
        if running is None:
            return NO_ACTION
        held_ms = now_ms - running.started_at_ms
        if self._waiting:
            # A ramp goes on while calls wait, also if none has arrived in this round.
            self._limit.record_reached()
        if outcome is BackendOutcome.OK:
            self._times.record(running.operation, held_ms, now_ms)
            self._service_rate.record_success(held_ms)
        elif outcome is BackendOutcome.CANCELLED:
            self._times.record_cancelled(running.operation, held_ms, now_ms)
            self._service_rate.record_cancelled(held_ms)
        self._limit.finished(
            started_in=running.round,
            started_in_flight=running.in_flight,
            started_at_ms=running.started_at_ms,
            self_time_ms=self_time_ms,
            outcome=outcome,
            now_ms=now_ms,
        )
        return self._start_waiting(now_ms) if self._waiting else NO_ACTION

    def withdraw(self, key: Key, now_ms: float) -> GateDecision:
        """Remove the call if it waits."""
        self._waiting.remove(key)
        return NO_ACTION

    def tick(self, now_ms: float) -> GateDecision:
        """Refuse calls that waited too long or will miss their deadline; fill slots."""
        self._delays.sample(self._waiting, self._service_rate.delay_ms(1))
        if self._threshold.is_due(now_ms):
            self._update_threshold(now_ms)
        closed = self._evict_closed(now_ms)
        late = [call for call in self._waiting if self._is_late(call, now_ms)]
        refused = self._refuse_late(late, now_ms)
        started = self._start_waiting(now_ms)
        refused = closed + refused + started.refused
        return GateDecision(start=started.start, refused=refused)

    def load(self, now_ms: float) -> Load:
        """Return call counts, the queue delay of a new call, and the threshold."""
        full = bool(self._waiting) or len(self._running) >= self._limit.limit
        return Load(
            in_flight=len(self._running),
            queued=len(self._waiting),
            limit=self._limit.limit,
            queue_delay_ms=self._service_rate.delay_ms(len(self._waiting) + 1)
            if full
            else 0.0,
            leaving=self._leaving,
            threshold=self._strictest_rank(now_ms),
        )

    def leave(self) -> GateDecision:
        """Refuse all waiting and new calls; running calls may finish."""
        self._leaving = True
        calls = list(self._waiting)
        self._waiting = WaitingCalls()
        return GateDecision(
            refused=tuple(
                Refusal(key=call.key, reason=Reason.LEAVING, retry_after_ms=0)
                for call in calls
            )
        )

    def set_slots(self, slots: int | None) -> None:
        """Set the hint on slots; an unchanged hint has no effect."""
        self._limit.set_slots(slots)

    def _start(self, call: WaitingCall, now_ms: float) -> None:
        if call.key in self._running:
            facts = f"{call.key!r} was started while it was running"
            raise InvariantError(invariant="one-start-per-call", facts=facts)
        self._running[call.key] = _Running(
            operation=call.operation,
            started_at_ms=now_ms,
            in_flight=len(self._running) + 1,
            round=self._limit.started(),
        )

    def _queue(self, call: WaitingCall, admitted: bool, now_ms: float) -> GateDecision:
        if not admitted:
            return GateDecision(
                refused=self._refuse_with_lower(call, Reason.OVERLOADED, now_ms)
            )
        wait_ms = self._service_rate.delay_ms(self._waiting.ahead_of(call.claim) + 1)
        safe_ms = self._times.estimate(call.operation, now_ms).safe_ms
        if call.deadline_at_ms - now_ms <= wait_ms + safe_ms:
            return GateDecision(
                refused=self._refuse_with_lower(call, Reason.DEADLINE, now_ms)
            )
        self._waiting.add(call)
        if len(self._waiting) <= self._service_rate.queue_bound():
            return NO_ACTION
        lowest = self._waiting.pop_lowest()
        self._threshold.record_loss(lowest.claim.class_order)
        reason = Reason.OVERLOADED if lowest is call else Reason.EVICTED
        return GateDecision(refused=self._refuse_with_lower(lowest, reason, now_ms))

    def _start_waiting(self, now_ms: float) -> GateDecision:
        start, refused = [], []
        while self._waiting and len(self._running) < self._limit.allowed(now_ms):
            call = self._waiting.pop_first()
            if self._misses_deadline(call, now_ms):
                self._threshold.record_loss(call.claim.class_order)
                refused.extend(self._refuse_with_lower(call, Reason.DEADLINE, now_ms))
                continue
            self._start(call, now_ms)
            start.append(call.key)
        return GateDecision(start=tuple(start), refused=tuple(refused))

    def _update_threshold(self, now_ms: float) -> None:
        slot_gap_ms = self._service_rate.delay_ms(1)
        lowest = self._hold.lowest_open(now_ms)
        if lowest is not None:
            self._threshold.record_hold(lowest)
        self._delays.sample(self._waiting, slot_gap_ms)
        self._threshold.end_interval(
            capacity_per_s=self._service_rate.capacity_per_s(),
            excess_calls=self._service_rate.excess_calls(
                len(self._running) + len(self._waiting)
            ),
            standing=self._delays.end_interval(slot_gap_ms),
            now_ms=now_ms,
        )

    def _misses_deadline(self, call: WaitingCall, now_ms: float) -> bool:
        time = self._times.estimate(call.operation, now_ms)
        return call.deadline_at_ms - now_ms <= time.likely_ms

    def _is_late(self, call: WaitingCall, now_ms: float) -> bool:
        waited_ms = now_ms - call.offered_at_ms
        return waited_ms > MAX_WAIT_MS or self._misses_deadline(call, now_ms)

    def _strictest_rank(self, now_ms: float) -> Rank | None:
        threshold = self._threshold.rank
        lowest = self._hold.lowest_open(now_ms)
        if lowest is None:
            return threshold
        held = Rank(lowest, LEVELS - 1)
        return held if threshold is None else min(held, threshold)

    def _evict_closed(self, now_ms: float) -> tuple[Refusal, ...]:
        """Refuse waiting calls of classes that the threshold has closed.

        Ingress sidecars and nodes refuse calls of higher classes by the same threshold;
        calls of lower classes that wait here would start in the meantime.
        """
        refused = []
        while self._waiting and self._threshold.is_closed(self._waiting.last_class()):
            call = self._waiting.pop_last()
            refused.append(self._refusal(call, Reason.EVICTED, now_ms))
        return tuple(refused)

    def _refuse_late(
        self, late: list[WaitingCall], now_ms: float
    ) -> tuple[Refusal, ...]:
        refused = []
        for call in late:
            if self._waiting.remove(call.key) is None:
                continue
            self._threshold.record_loss(call.claim.class_order)
            misses_deadline = self._misses_deadline(call, now_ms)
            reason = Reason.DEADLINE if misses_deadline else Reason.OVERLOADED
            refused.extend(self._refuse_with_lower(call, reason, now_ms))
        return tuple(refused)

    def _refuse_with_lower(
        self, call: WaitingCall, reason: Reason, now_ms: float
    ) -> tuple[Refusal, ...]:
        """Refuse a call for lack of capacity, together with all lower classes.

        Waiting calls of lower classes are evicted and new ones are refused for a while.
        Otherwise a slot that becomes free shortly after would go to one of them.
        """
        order = call.claim.class_order
        self._hold.record_refusal(order, now_ms)
        self._threshold.record_hold(order)
        refused = [self._refusal(call, reason, now_ms)]
        while self._waiting and self._waiting.last_class() > order:
            evicted = self._waiting.pop_last()
            refused.append(self._refusal(evicted, Reason.EVICTED, now_ms))
        return tuple(refused)

    def _refusal(self, call: WaitingCall, reason: Reason, now_ms: float) -> Refusal:
        order = call.claim.class_order
        returns = self._returns.setdefault(order, RetryAfterSchedule())
        capacity_per_s = self._service_rate.capacity_per_s()
        spare_per_s = max(
            capacity_per_s - self._threshold.rate_above_per_s(order + 1),
            capacity_per_s * MIN_PROBE_SHARE,
        )
        return Refusal(
            key=call.key,
            reason=reason,
            retry_after_ms=returns.next_retry_after_ms(
                spare_per_s=spare_per_s, now_ms=now_ms, rng=self._rng
            ),
        )
