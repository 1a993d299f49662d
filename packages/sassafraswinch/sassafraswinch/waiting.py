"""Wait queue of a gate: calls that wait for a slot, in the order of their claims."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.errors import InvariantError


class Claim(NamedTuple):
    """Priority of a call in the queue of one gate: the smallest claim starts first.

    Levels decide which call is refused, not which starts. In a queue ordered by level
    the greatest admitted levels starve until their deadline, and the work done for
    them at other hops is wasted.
    """

    class_order: int
    negated_progress: int
    """Finished calls of the root request, negated: work done raises the priority."""

    sequence: int
    """Number of the offer at this gate; makes claims unique."""


@dataclass(slots=True, kw_only=True)
class WaitingCall:
    """One call in the queue."""

    key: Hashable
    claim: Claim
    level: int
    operation: str
    deadline_at_ms: float
    offered_at_ms: float


class WaitingCalls:
    """A queue ordered by claim, with access to both ends and by key.

    The queue is short, as it is bounded by delay, so a sorted list with binary search
    is faster than trees and pairs of heaps.
    """

    def __init__(self):
        self._claims: list[Claim] = []
        self._calls: dict[Claim, WaitingCall] = {}
        self._by_key: dict[Hashable, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self) -> Iterator[WaitingCall]:
        return iter([self._calls[claim] for claim in self._claims])

    def add(self, call: WaitingCall) -> None:
        """Add a call in the order of its claim."""
        if call.key in self._by_key:
            facts = f"{call.key!r} was offered while it is queued"
            raise InvariantError(invariant="one-start-per-call", facts=facts)
        insort(self._claims, call.claim)
        self._calls[call.claim] = call
        self._by_key[call.key] = call.claim

    def ahead_of(self, claim: Claim) -> int:
        """Return how many calls would start before one of this claim."""
        return bisect_left(self._claims, claim)

    def last_class(self) -> int:
        """Return the class order of the last call; the queue must not be empty."""
        return self._claims[-1].class_order

    def pop_first(self) -> WaitingCall:
        """Remove and return the call that would start first."""
        return self._discard(self._claims.pop(0))

    def pop_last(self) -> WaitingCall:
        """Remove and return the call that would start last."""
        return self._discard(self._claims.pop())

    def pop_lowest(self) -> WaitingCall:
        """Remove and return the greatest level of the last class and progress."""
        last = self._claims[-1]
        first_of_group = Claim(last.class_order, last.negated_progress, 0)
        group = self._claims[bisect_left(self._claims, first_of_group) :]
        lowest = max(group, key=lambda claim: (self._calls[claim].level, claim))
        return self.remove(self._calls[lowest].key)

    def remove(self, key: Hashable) -> WaitingCall | None:
        """Remove and return the call of this key; None if it isn't queued."""
        claim = self._by_key.get(key)
        if claim is None:
            return None
        del self._claims[bisect_left(self._claims, claim)]
        return self._discard(claim)

    def _discard(self, claim: Claim) -> WaitingCall:
        call = self._calls.pop(claim)
        del self._by_key[call.key]
        return call
