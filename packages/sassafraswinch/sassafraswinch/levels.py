"""Thresholds on rank: what an overloaded node asks for, and what an entry learns."""

import random
from dataclasses import dataclass, field
from math import ceil, inf

from sassafraswinch.class_hold import ClassHold
from sassafraswinch.messages import LEVELS, Rank
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
"""Operations whose thresholds an entry remembers."""


def position(rank: Rank) -> float:
    """Return a place on one axis of ranks: 1 for each class."""
    return rank.class_order + rank.level / LEVELS


def rank_at(place: float) -> Rank:
    """Return the greatest rank whose ``position`` is below ``place``."""
    steps = max(ceil(place * LEVELS) - 1, 0)
    return Rank(steps // LEVELS, steps % LEVELS)


@dataclass(slots=True, kw_only=True)
class _Learnt:
    """What an entry knows of one operation that is held back."""

    place: float
    updated_at_ms: float
    since_ms: float
    admitted: int = 0
    hold: ClassHold = field(default_factory=ClassHold)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)


class EntryShedder:
    """Refuses at the entry what nodes below would refuse.

    One place on the axis of ranks is kept for each operation, so a lower
    class or a greater level is never admitted where a higher one is refused.
    The place follows the thresholds on answers, and drifts open by itself:
    the few calls that pass by the drift are the probes. Operations that are
    not held back take no memory.
    """

    def __init__(self):
        self._learnt: dict[str, _Learnt] = {}
        self._classes = 1

    def learn(self, operation: str, threshold: Rank | None, now_ms: float) -> None:
        """Take in the threshold of one answer; None: all were admitted."""
        learnt = self._learnt.get(operation)
        if learnt is None:
            if threshold is None or len(self._learnt) >= MAX_OPERATIONS:
                return
            learnt = self._learnt[operation] = _Learnt(
                place=float(self._classes), updated_at_ms=now_ms, since_ms=now_ms
            )
        self._drift(learnt, now_ms)
        told = inf if threshold is None else position(threshold) + 1 / LEVELS
        told = min(told, float(self._classes))
        gain = STRICTER_GAIN if told < learnt.place else LAXER_GAIN
        learnt.place += gain * (told - learnt.place)

    def admits(self, operation: str, rank: Rank, now_ms: float) -> bool:
        """Return whether a call of this rank may go on."""
        if rank.class_order >= self._classes:
            self._classes = rank.class_order + 1
        learnt = self._learnt.get(operation)
        if learnt is None:
            return True
        self._drift(learnt, now_ms)
        if learnt.hold.closes(rank.class_order, now_ms):
            return False
        if position(rank) >= learnt.place:
            learnt.hold.refused(rank.class_order, now_ms)
            return False
        held = learnt.hold.lowest_open(now_ms) is not None
        if learnt.place >= self._classes and not held:
            del self._learnt[operation]
        learnt.admitted += 1
        return True

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
        learnt = self._learnt.get(operation)
        if learnt is None:
            return ReturnSchedule().next_ms(spare_per_s=inf, now_ms=now_ms, rng=rng)
        seconds = max(now_ms - learnt.since_ms, REOPEN_MS) / 1000
        spare_per_s = learnt.admitted / seconds * MIN_RETURNS_SHARE
        return learnt.returns.next_ms(spare_per_s=spare_per_s, now_ms=now_ms, rng=rng)

    def _drift(self, learnt: _Learnt, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - learnt.updated_at_ms)
        drifted = learnt.place + self._classes * elapsed_ms / REOPEN_MS
        learnt.place = min(drifted, float(self._classes))
        learnt.updated_at_ms = now_ms
