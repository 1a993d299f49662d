"""Calls that wait for a slot, in the order of their claims."""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.errors import InvariantError


class Claim(NamedTuple):
    """Order of starts at one gate: the smallest claim starts first.

    Levels decide who is refused, not who starts: a queue ordered by level lets
    the greatest admitted levels starve until they are too old, and the work
    already done for them at other hops is lost.
    """

    class_order: int
    unprogressed: int
    """Finished calls of the root request, negated: work done raises the claim."""

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
    """A queue ordered by claim, with both ends and each key at hand.

    The queue is short (it is bounded by delay), so a sorted list with binary
    search beats trees and pairs of heaps.
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
        """Put a call in its place."""
        if call.key in self._by_key:
            facts = f"{call.key!r} is offered while it waits"
            raise InvariantError(invariant="one-start-per-call", facts=facts)
        insort(self._claims, call.claim)
        self._calls[call.claim] = call
        self._by_key[call.key] = call.claim

    def ahead_of(self, claim: Claim) -> int:
        """Return how many calls would start before one of this claim."""
        return bisect_left(self._claims, claim)

    def last_class(self) -> int:
        """Return the class order of the lowest claim; there must be one."""
        return self._claims[-1].class_order

    def pop_first(self) -> WaitingCall:
        """Take the call with the highest claim."""
        return self._forget(self._claims.pop(0))

    def pop_last(self) -> WaitingCall:
        """Take the call that would start last."""
        return self._forget(self._claims.pop())

    def pop_lowest(self) -> WaitingCall:
        """Take the call to refuse: of the last class and progress, by level."""
        last = self._claims[-1]
        first_of_group = Claim(last.class_order, last.unprogressed, 0)
        group = self._claims[bisect_left(self._claims, first_of_group) :]
        lowest = max(group, key=lambda claim: (self._calls[claim].level, claim))
        return self.remove(self._calls[lowest].key)

    def remove(self, key: Hashable) -> WaitingCall | None:
        """Take the call of this key, None if it doesn't wait."""
        claim = self._by_key.get(key)
        if claim is None:
            return None
        del self._claims[bisect_left(self._claims, claim)]
        return self._forget(claim)

    def _forget(self, claim: Claim) -> WaitingCall:
        call = self._calls.pop(claim)
        del self._by_key[call.key]
        return call
