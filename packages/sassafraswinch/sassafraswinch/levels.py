"""Thresholds on rank: what an overloaded node asks for, and what an entry learns."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, inf

from sassafraswinch.class_hold import ClassHold
from sassafraswinch.messages import LEVELS, Rank, ServiceThreshold
from sassafraswinch.retry_after import MIN_RETURNS_SHARE, ReturnSchedule

REOPEN_MS = 1_000.0
"""Time in which an entry opens from the strictest threshold to none, unless
answers renew it: pressure that has passed is found out within it."""

STRICTER_GAIN = 0.4
"""Weight of an answer whose threshold is stricter than the learnt one."""

LAXER_GAIN = 0.1
"""Weight of one that is laxer. A quarter of the hosts being strict thus moves the
learnt threshold halfway to them."""

MAX_OPERATIONS = 1024
"""Operations whose needed services an entry remembers; the oldest goes first."""

MAX_SERVICES = 128
"""Services under pressure that an entry follows; twice the fifty designed for."""


def position(rank: Rank) -> float:
    """Return a place on one axis of ranks: 1 for each class."""
    return rank.class_order + rank.level / LEVELS


def rank_at(place: float) -> Rank:
    """Return the greatest rank whose ``position`` is below ``place``."""
    steps = max(ceil(place * LEVELS) - 1, 0)
    return Rank(steps // LEVELS, steps % LEVELS)


@dataclass(slots=True, kw_only=True)
class _ServiceLevel:
    """What an entry knows of one service that holds calls back."""

    place: float
    updated_at_ms: float
    since_ms: float
    admitted: int = 0
    hold: ClassHold = field(default_factory=ClassHold)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)

    def drift(self, classes: int, now_ms: float) -> None:
        """Open with time, unless answers say otherwise."""
        elapsed_ms = max(0.0, now_ms - self.updated_at_ms)
        drifted = self.place + classes * elapsed_ms / REOPEN_MS
        self.place = min(drifted, float(classes))
        self.updated_at_ms = now_ms

    def told(self, place: float) -> None:
        """Move towards the place that an answer tells."""
        gain = STRICTER_GAIN if place < self.place else LAXER_GAIN
        self.place += gain * (place - self.place)

    def refuses(self, rank: Rank, now_ms: float) -> bool:
        """Return whether a call of this rank would be held back."""
        if self.hold.closes(rank.class_order, now_ms):
            return True
        if position(rank) < self.place:
            return False
        self.hold.refused(rank.class_order, now_ms)
        return True

    def is_open(self, classes: int, now_ms: float) -> bool:
        """Return whether nothing is held back any more."""
        return self.place >= classes and self.hold.lowest_open(now_ms) is None


class IngressShedder:
    """Refuses at the entry what nodes below would refuse.

    One place on the axis of ranks is kept for each service under pressure, and
    for each operation the services that its calls were seen to need. So
    operations that need the same service are held back by the same place: a
    lower class is never let in to a service where a higher one is refused. The
    place follows the thresholds on answers, and drifts open by itself: the few
    calls that pass by the drift are the probes. Services that hold nothing back
    take no memory.
    """

    def __init__(self):
        self._services: dict[str, _ServiceLevel] = {}
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
        """Take in the thresholds of one answer.

        Args:
            operation: name of the operation that was answered.
            thresholds: of the services under pressure that it met.
            now_ms: monotonic time.
            complete: whether the call went its whole way. Then the services that
                it needs and that told no threshold admit all; a refused call
                hasn't asked them.
        """
        met = dict(thresholds)
        needed = self._needed.get(operation, {})
        if complete:
            for service in needed.keys() - met.keys():
                self._told(service, inf, now_ms)
        for service, rank in met.items():
            self._need(operation, service)
            self._told(service, position(rank) + 1 / LEVELS, now_ms)

    def admits(self, operation: str, rank: Rank, now_ms: float) -> bool:
        """Return whether a call of this rank may go on."""
        if rank.class_order >= self._classes:
            self._classes = rank.class_order + 1
        held = self._held(operation, now_ms)
        if any(level.refuses(rank, now_ms) for _, level in held):
            return False
        for service, level in held:
            level.admitted += 1
            if level.is_open(self._classes, now_ms):
                del self._services[service]
        return True

    def is_shedding(self, operation: str, class_order: int, now_ms: float) -> bool:
        """Return whether some calls of a class are held back now; changes nothing."""
        return any(
            level.place < class_order + 1 or level.hold.closes(class_order, now_ms)
            for _, level in self._held(operation, now_ms)
        )

    def retry_after_ms(
        self, operation: str, rank: Rank, now_ms: float, rng: random.Random
    ) -> int:
        """Return when a call refused here may come back.

        Args:
            operation: name of the operation.
            rank: rank of the refused call.
            now_ms: monotonic time.
            rng: source of the jitter.
        """
        levels = [level for _, level in self._held(operation, now_ms)]
        if not levels:
            return ReturnSchedule().next_ms(spare_per_s=inf, now_ms=now_ms, rng=rng)
        level = min(levels, key=lambda level: level.place)
        seconds = max(now_ms - level.since_ms, REOPEN_MS) / 1000
        spare_per_s = level.admitted / seconds * MIN_RETURNS_SHARE
        return level.returns.next_ms(spare_per_s=spare_per_s, now_ms=now_ms, rng=rng)

    def _held(self, operation: str, now_ms: float) -> list[tuple[str, _ServiceLevel]]:
        """Return the services under pressure that an operation needs, as of now."""
        if not self._services:
            return []
        held = [
            (service, self._services[service])
            for service in self._needed.get(operation, ())
            if service in self._services
        ]
        for _, level in held:
            level.drift(self._classes, now_ms)
        return held

    def _need(self, operation: str, service: str) -> None:
        needed = self._needed.get(operation)
        if needed is None:
            if len(self._needed) >= MAX_OPERATIONS:
                del self._needed[next(iter(self._needed))]
            needed = self._needed[operation] = {}
        if len(needed) < MAX_SERVICES:
            needed[service] = None

    def _told(self, service: str, place: float, now_ms: float) -> None:
        level = self._services.get(service)
        if level is None:
            if place >= self._classes or len(self._services) >= MAX_SERVICES:
                return
            level = self._services[service] = _ServiceLevel(
                place=float(self._classes), updated_at_ms=now_ms, since_ms=now_ms
            )
        level.drift(self._classes, now_ms)
        level.told(min(place, float(self._classes)))
