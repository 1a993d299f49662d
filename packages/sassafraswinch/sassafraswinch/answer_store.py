"""Answer store: answers kept for retries, bounded in bytes."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sassafraswinch.messages import Answer

RECORD_OVERHEAD_BYTES = 512
"""Overhead counted per answer besides its fields, so that small ones are bounded."""
MIN_ANSWERS_PER_STORE = 4
"""Least number of answers that fit a store: one may take at most 1/4 of its bytes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSize:
    """Memory use of a ledger."""

    records: int
    answer_bytes: int
    """Bytes of the kept answers, as counted by ``answer_bytes``."""
    state_bytes: int = 0


Key = TypeVar("Key", bound=Hashable)


def answer_bytes(answer: Answer) -> int:
    """Return the size of an answer as counted by a store, in bytes."""
    headers_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    return RECORD_OVERHEAD_BYTES + headers_bytes + len(answer.body)


class AnswerStore(Generic[Key]):
    """Bounded store of answers by key; drops the oldest answers when it is full."""

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._answers: OrderedDict[Key, Answer] = OrderedDict()
        self.kept_bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    def keep(self, key: Key, answer: Answer) -> tuple[Key, ...]:
        """Keep an answer.

        Returns:
            The keys whose answers were dropped: the oldest ones, or ``key`` itself if
            its answer is too large.
        """
        size_bytes = answer_bytes(answer)
        if size_bytes * MIN_ANSWERS_PER_STORE > self._max_bytes:
            return (key,)
        self.drop(key)
        self._answers[key] = answer
        self.kept_bytes += size_bytes
        dropped = []
        while self.kept_bytes > self._max_bytes:
            oldest_key, oldest_answer = self._answers.popitem(last=False)
            self.kept_bytes -= answer_bytes(oldest_answer)
            dropped.append(oldest_key)
        return tuple(dropped)

    def get(self, key: Key) -> Answer | None:
        """Return the answer kept for ``key``, or None."""
        return self._answers.get(key)

    def drop(self, key: Key) -> None:
        """Drop the answer of ``key``, if there is one."""
        answer = self._answers.pop(key, None)
        if answer is not None:
            self.kept_bytes -= answer_bytes(answer)
