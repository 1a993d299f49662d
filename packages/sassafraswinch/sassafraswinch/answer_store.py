"""Answers kept for repeats, bounded in bytes."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sassafraswinch.messages import Answer

RECORD_OVERHEAD_BYTES = 512
"""Counted for each kept answer besides its fields, so that small ones are bounded."""
LARGEST_SHARE = 4
"""One answer may take at most this fraction (1/4) of a store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LedgerSize:
    """What a ledger holds in memory."""

    records: int
    answer_bytes: int
    """As counted by ``answer_bytes``."""
    state_bytes: int = 0


Key = TypeVar("Key", bound=Hashable)


def answer_bytes(answer: Answer) -> int:
    """Return the bytes that an answer counts for in a store."""
    headers_bytes = sum(len(name) + len(value) for name, value in answer.headers)
    return RECORD_OVERHEAD_BYTES + headers_bytes + len(answer.body)


class AnswerStore(Generic[Key]):
    """Keeps answers by key and drops the oldest ones when its bytes run out."""

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._answers: OrderedDict[Key, Answer] = OrderedDict()
        self.kept_bytes = 0

    def __len__(self) -> int:
        return len(self._answers)

    def keep(self, key: Key, answer: Answer) -> tuple[Key, ...]:
        """Keep an answer.

        Returns:
            The keys whose answers had to be dropped: the oldest ones, or ``key``
            itself where the answer alone is too large.
        """
        size_bytes = answer_bytes(answer)
        if size_bytes * LARGEST_SHARE > self._max_bytes:
            return (key,)
        self.drop(key)
        self._answers[key] = answer
        self.kept_bytes += size_bytes
        dropped = []
        while self.kept_bytes > self._max_bytes:
            oldest, old_answer = self._answers.popitem(last=False)
            self.kept_bytes -= answer_bytes(old_answer)
            dropped.append(oldest)
        return tuple(dropped)

    def get(self, key: Key) -> Answer | None:
        """Return the kept answer, or None."""
        return self._answers.get(key)

    def drop(self, key: Key) -> None:
        """Drop an answer, if it is kept."""
        answer = self._answers.pop(key, None)
        if answer is not None:
            self.kept_bytes -= answer_bytes(answer)
