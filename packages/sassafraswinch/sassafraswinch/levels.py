"""Rank thresholds at the ingress: sheds calls that overloaded services would refuse."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, inf

from sassafraswinch.class_hold import ClassHold
from sassafraswinch.messages import LEVELS, Rank, ServiceThreshold
from sassafraswinch.retry_after import MIN_PROBE_SHARE, RetryAfterSchedule

REOPEN_MS = 1_000.0
"""Time in which the ingress opens from the strictest threshold to none, unless answers
renew it: the end of an overload is detected within this time."""

STRICTER_GAIN = 0.4
"""Weight of an answer whose threshold is stricter than the current estimate."""

LAXER_GAIN = 0.1
"""Weight of an answer whose threshold is laxer. If a quarter of the hosts are strict,
the estimate thus moves halfway to them."""

MAX_OPERATIONS = 1024
"""Operations whose required services are stored; the oldest is evicted first."""

MAX_SERVICES = 128
"""Overloaded services that are tracked; twice the design limit of fifty services."""


def rank_position(rank: Rank) -> float:
    """Return the position of a rank on one axis, on which each class has length 1."""
    return rank.class_order + rank.level / LEVELS


def rank_below(boundary: float) -> Rank:
    """Return the greatest rank whose ``rank_position`` is below ``boundary``."""
    steps = max(ceil(boundary * LEVELS) - 1, 0)
    return Rank(steps // LEVELS, steps % LEVELS)


@dataclass(slots=True, kw_only=True)
class _ServiceState:
    """Estimated threshold of one overloaded service."""

    boundary: float
    updated_at_ms: float
    since_ms: float
    admitted: int = 0
    hold: ClassHold = field(default_factory=ClassHold)
    returns: RetryAfterSchedule = field(default_factory=RetryAfterSchedule)

    def reopen(self, classes: int, now_ms: float) -> None:
        """Raise the boundary by the elapsed time, so that the service reopens."""
        elapsed_ms = max(0.0, now_ms - self.updated_at_ms)
        reopened = self.boundary + classes * elapsed_ms / REOPEN_MS
        self.boundary = min(reopened, float(classes))
        self.updated_at_ms = now_ms

    def apply_answer(self, boundary: float) -> None:
        """Move towards the boundary that an answer reported."""
        gain = STRICTER_GAIN if boundary < self.boundary else LAXER_GAIN
        self.boundary += gain * (boundary - self.boundary)

    def refuses(self, rank: Rank, now_ms: float) -> bool:
        """Return whether a call of this rank is held back; records a refusal."""
        if self.hold.is_closed(rank.class_order, now_ms):
            return True
        if rank_position(rank) < self.boundary:
            return False
        self.hold.record_refusal(rank.class_order, now_ms)
        return True

    def is_open(self, classes: int, now_ms: float) -> bool:
        """Return whether no calls are held back any more."""
        return self.boundary >= classes and self.hold.lowest_open(now_ms) is None


class IngressShedder:
    """Refuses calls at the ingress that nodes further down the call tree would refuse.

    It keeps one boundary on the axis of ranks for each overloaded service, and for each
    operation the services that its calls were observed to need. So operations that need
    the same service are held back by the same boundary: a lower class is never admitted
    to a service where a higher one is refused. The boundary follows the thresholds on
    answers, and opens with time: the few calls that pass as it opens serve as probes.
    Services that hold no calls back use no memory.
    """

    def __init__(self):
        self._services: dict[str, _ServiceState] = {}
        self._needed: dict[str, dict[str, None]] = {}
        self._classes = 1

    def apply_thresholds(
        self,
        operation: str,
        thresholds: Iterable[ServiceThreshold],
        now_ms: float,
        *,
        complete: bool,
    ) -> None:
        """Apply the thresholds of one answer.

        Args:
            operation: name of the operation that was answered.
            thresholds: thresholds of the overloaded services in its call tree.
            now_ms: monotonic time.
            complete: whether the call ran its complete call tree. If so, the services
                that it needs and that reported no threshold admit all calls; a refused
                call has not reached them.
        """
        reported = dict(thresholds)
        needed = self._needed.get(operation, {})
        if complete:
            for service in needed.keys() - reported.keys():
                self._apply_boundary(service, inf, now_ms)
        for service, rank in reported.items():
            self._record_need(operation, service)
            self._apply_boundary(service, rank_position(rank) + 1 / LEVELS, now_ms)

    def admits(self, operation: str, rank: Rank, now_ms: float) -> bool:
        """Return whether a call of this rank is admitted."""
        if rank.class_order >= self._classes:
            self._classes = rank.class_order + 1
        overloaded = self._overloaded(operation, now_ms)
        if any(state.refuses(rank, now_ms) for _, state in overloaded):
            return False
        for service, state in overloaded:
            state.admitted += 1
            if state.is_open(self._classes, now_ms):
                del self._services[service]
        return True

    def is_shedding(self, operation: str, class_order: int, now_ms: float) -> bool:
        """Return whether some calls of a class are held back; records no refusal."""
        return any(
            state.boundary < class_order + 1
            or state.hold.is_closed(class_order, now_ms)
            for _, state in self._overloaded(operation, now_ms)
        )

    def retry_after_ms(
        self, operation: str, rank: Rank, now_ms: float, rng: random.Random
    ) -> int:
        """Return the time after which a refused call may be retried.

        Args:
            operation: name of the operation.
            rank: rank of the refused call.
            now_ms: monotonic time.
            rng: source of the jitter.
        """
        states = [state for _, state in self._overloaded(operation, now_ms)]
        if not states:
            return RetryAfterSchedule().next_retry_after_ms(
                spare_per_s=inf, now_ms=now_ms, rng=rng
            )
        state = min(states, key=lambda state: state.boundary)
        seconds = max(now_ms - state.since_ms, REOPEN_MS) / 1000
        spare_per_s = state.admitted / seconds * MIN_PROBE_SHARE
        return state.returns.next_retry_after_ms(
            spare_per_s=spare_per_s, now_ms=now_ms, rng=rng
        )

    def _overloaded(
        self, operation: str, now_ms: float
    ) -> list[tuple[str, _ServiceState]]:
        """Return the up-to-date states of the overloaded services of an operation."""
        if not self._services:
            return []
        overloaded = [
            (service, self._services[service])
            for service in self._needed.get(operation, ())
            if service in self._services
        ]
        for _, state in overloaded:
            state.reopen(self._classes, now_ms)
        return overloaded

    def _record_need(self, operation: str, service: str) -> None:
        needed = self._needed.get(operation)
        if needed is None:
            if len(self._needed) >= MAX_OPERATIONS:
                del self._needed[next(iter(self._needed))]
            needed = self._needed[operation] = {}
        if len(needed) < MAX_SERVICES:
            needed[service] = None

    def _apply_boundary(self, service: str, boundary: float, now_ms: float) -> None:
        state = self._services.get(service)
        if state is None:
            if boundary >= self._classes or len(self._services) >= MAX_SERVICES:
                return
            state = self._services[service] = _ServiceState(
                boundary=float(self._classes), updated_at_ms=now_ms, since_ms=now_ms
            )
        state.reopen(self._classes, now_ms)
        state.apply_answer(min(boundary, float(self._classes)))
