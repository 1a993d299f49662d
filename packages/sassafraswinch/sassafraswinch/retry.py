"""Bounds on retries: of one request across its calls, and of the callers' own."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

from sassafraswinch.answer_store import AnswerStore
from sassafraswinch.claims import (
    NOT_KEPT,
    Claim,
    Dispatch,
    Join,
    Recorded,
    Refused,
    RunState,
    final_state,
)
from sassafraswinch.errors import InvariantError
from sassafraswinch.messages import Answer
from sassafraswinch.verdict import Reason, Verdict

MAX_ORGANISATIONS = 16_384
"""Organisations whose repeats are counted apart."""
MAX_BURST_REPEATS = 10.0
"""Repeats that an organisation may save up."""
FIRST_REPEATS = 1.0
"""Repeats open to an organisation that was never seen."""
IDLE_REPEAT_MS = 10_000.0
"""A repeat is earned each such time without first attempts, so that a small
organisation isn't shut out for good."""

MAX_CHILDREN = 4096
"""Different child calls that one parent call may make: about 1 MB of memory."""


class RetryAllowance:
    """Retries left to one call and everything below it.

    Conserved: a child call gets a part, and what it didn't use comes back with its
    answer. A part whose answer is lost counts as spent. So all retries in the tree of
    a request are at most what its root was granted.
    """

    def __init__(self, *, granted: int):
        self._granted = granted
        self._spent = 0
        self._handed: dict[Hashable, int] = {}
        self._lost = 0
        self._closed = False
        self.unspent = granted

    def spend(self) -> bool:
        """Take one retry; False: there is none."""
        if self._closed or self.unspent == 0:
            return False
        self.unspent -= 1
        self._spent += 1
        self._check()
        return True

    def hand_over(self, child: Hashable) -> int:
        """Take half of the rest, rounded up, for a child call.

        Args:
            child: names the child call, once; its number does.
        """
        if self._closed or self.unspent == 0:
            return 0
        part = (self.unspent + 1) // 2
        self.unspent -= part
        self._handed[child] = part
        self._check()
        return part

    def give_back(self, child: Hashable, unspent: int) -> None:
        """Return what a child call didn't use, once: a second answer has no effect.

        More than the child was handed isn't believed.
        """
        part = self._handed.pop(child, 0)
        returned = 0 if self._closed else max(0, min(unspent, part))
        self.unspent += returned
        self._lost += part - returned
        self._check()

    def close(self) -> int:
        """Return the unused rest for the answer, and permit no retry from now on.

        A backend server may go on calling after it has answered. Its retries would be
        spent here and above, had the rest not been taken out.
        """
        rest = 0 if self._closed else self.unspent
        if not self._closed:
            self.unspent = 0
            self._lost += rest
        self._closed = True
        self._check()
        return rest

    def _check(self) -> None:
        total = self.unspent + self._spent + self._lost + sum(self._handed.values())
        if total != self._granted or self.unspent < 0:
            raise InvariantError(
                invariant="retry-allowance-conserved",
                facts=f"granted {self._granted}, accounted for {total}",
            )


@dataclass(slots=True, kw_only=True)
class RepeatBucket:
    """The repeats that one organisation may make now."""

    repeats: float
    updated_at_ms: float


class CallerRetryBudget:
    """Bounds the repeats of each organisation to a share of its first attempts."""

    def __init__(
        self, *, share_percent: float, max_organisations: int = MAX_ORGANISATIONS
    ):
        self._share = share_percent / 100
        self._max_organisations = max_organisations
        self._buckets: OrderedDict[str, RepeatBucket] = OrderedDict()
        self._first_repeats = FIRST_REPEATS

    def set_share_percent(self, share_percent: float) -> None:
        """Follow the document; what was earned before stays."""
        self._share = share_percent / 100

    def first(self, organisation: str, now_ms: float) -> None:
        """Count a first attempt, which earns a share of a repeat."""
        bucket = self._bucket(organisation, now_ms)
        bucket.repeats = min(MAX_BURST_REPEATS, bucket.repeats + self._share)

    def repeat(self, organisation: str, now_ms: float) -> bool:
        """Take one repeat; False: refuse it."""
        bucket = self._bucket(organisation, now_ms)
        if bucket.repeats < 1:
            return False
        bucket.repeats -= 1
        return True

    def _bucket(self, organisation: str, now_ms: float) -> RepeatBucket:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return self._new_bucket(organisation, now_ms)
        self._buckets.move_to_end(organisation)
        idle_ms = max(0.0, now_ms - bucket.updated_at_ms)
        bucket.updated_at_ms = max(now_ms, bucket.updated_at_ms)
        earned = bucket.repeats + idle_ms / IDLE_REPEAT_MS
        bucket.repeats = max(bucket.repeats, min(1.0, earned))
        return bucket

    def _new_bucket(self, organisation: str, now_ms: float) -> RepeatBucket:
        if len(self._buckets) >= self._max_organisations:
            # One that is dropped and comes back must not have gained by that.
            self._buckets.popitem(last=False)
            self._first_repeats = 0.0
        bucket = RepeatBucket(repeats=self._first_repeats, updated_at_ms=now_ms)
        self._buckets[organisation] = bucket
        return bucket


_REPEATABLE_PARENT = Refused(verdict=Verdict.NOT_RUN, reason=Reason.REPEATABLE_PARENT)
_TOO_MANY = Refused(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED)
_NOT_RUN = Refused(verdict=Verdict.NOT_RUN, reason=Reason.RETRY_REFUSED)


class ChildCalls:
    """The calls that a backend server makes while it serves one parent call.

    The parent runs on this node alone, so all its child calls come through here: this
    is where a service's own repeats are told from first calls, joined, answered from
    the record, or paid for with the allowance.
    """

    def __init__(
        self,
        *,
        parent: Hashable,
        parent_repeatable: bool,
        allowance: RetryAllowance,
        answers: AnswerStore[tuple[Hashable, int]],
        max_children: int = MAX_CHILDREN,
    ):
        self._parent = parent
        self._parent_repeatable = parent_repeatable
        self._allowance = allowance
        self._answers = answers
        self._max_children = max_children
        self._numbers: dict[tuple[str, bytes], int] = {}
        self._states: list[RunState] = []
        self._closed = False

    def claim(self, operation: str, key: bytes, *, repeatable: bool) -> Claim:
        """Decide what a child call gets.

        Args:
            operation: name of the operation called.
            key: its ``Idempotency-Key``, or else its fingerprint.
            repeatable: whether the operation is.
        """
        if not repeatable and self._parent_repeatable:
            # The parent may be run again elsewhere, and would make this call again.
            return _REPEATABLE_PARENT
        number = self._numbers.get((operation, key))
        if number is None:
            return self._first_claim(operation, key)
        state = self._states[number]
        if state is RunState.RUNNING:
            return Join(number=number)
        if repeatable:
            return self._repeat(number)
        if state is RunState.NOT_RUN:
            return _NOT_RUN
        answer = self._answers.get((self._parent, number))
        return NOT_KEPT if answer is None else Recorded(answer=answer)

    def finish(self, number: int, answer: Answer, *, repeatable: bool) -> None:
        """Record the outcome of a dispatched child call.

        Raises:
            InvariantError: the child call isn't running.
        """
        if self._states[number] is not RunState.RUNNING:
            raise InvariantError(
                invariant="one-outcome-per-dispatch",
                facts=f"child {number} of {self._parent} finished twice",
            )
        self._states[number] = final_state(answer.verdict)
        if answer.verdict is Verdict.ANSWERED and not repeatable and not self._closed:
            self._answers.keep((self._parent, number), answer)

    def close(self) -> None:
        """Drop the kept answers and refuse new calls: the parent has ended."""
        self._closed = True
        for number in range(len(self._states)):
            self._answers.drop((self._parent, number))

    def _first_claim(self, operation: str, key: bytes) -> Claim:
        if self._closed or len(self._states) >= self._max_children:
            return _TOO_MANY
        number = len(self._states)
        self._numbers[operation, key] = number
        self._states.append(RunState.RUNNING)
        return Dispatch(number=number)

    def _repeat(self, number: int) -> Claim:
        if not self._allowance.spend():
            return _NOT_RUN
        self._states[number] = RunState.RUNNING
        return Dispatch(number=number)
