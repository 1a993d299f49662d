"""Thresholds on rank: what an overloaded node asks for, and what an entry learns."""

import random
from dataclasses import dataclass, field
from math import ceil, inf

from sassafraswinch.messages import LEVELS, Rank
from sassafraswinch.retry_after import ReturnSchedule

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

RATE_WINDOW_MS = 1_000.0
"""Time constant of an entry's count of admitted calls."""


def position(rank: Rank) -> float:
    """Return a place on one axis of ranks: 1 for each class."""
    return rank.class_order + rank.level / LEVELS


def rank_at(place: float) -> Rank:
    """Return the greatest rank whose ``position`` is below ``place``."""
    steps = max(ceil(place * LEVELS) - 1, 0)
    return Rank(steps // LEVELS, steps % LEVELS)


@dataclass(slots=True, kw_only=True)
class _Learnt:
    """What an entry knows of one operation."""

    place: float
    updated_at_ms: float
    admitted_per_s: float = 0.0
    returns: ReturnSchedule = field(
        default_factory=lambda: ReturnSchedule(rng=random.Random(0))
    )


class EntryShedder:
    """Refuses at the entry what nodes below would refuse.

    One place on the axis of ranks is kept for each operation, so a lower
    class or a greater level is never admitted where a higher one is refused.
    The place follows the thresholds on answers, and drifts open by itself:
    the few calls that pass by the drift are the probes.
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
            learnt = _Learnt(place=float(self._classes), updated_at_ms=now_ms)
            self._learnt[operation] = learnt
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
        if learnt.place >= self._classes:
            del self._learnt[operation]
            return True
        return position(rank) < learnt.place

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
        returns = learnt.returns if learnt else ReturnSchedule(rng=rng)
        return returns.next_ms(spare_per_s=10.0, now_ms=now_ms)

    def _drift(self, learnt: _Learnt, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - learnt.updated_at_ms)
        learnt.place += self._classes * elapsed_ms / REOPEN_MS
        learnt.updated_at_ms = now_ms
