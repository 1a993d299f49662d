"""Retry budgets: of one request across its call tree, and of callers' own retries."""

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
"""Organisations with a retry budget of their own."""
MAX_SAVED_RETRIES = 10.0
"""Retries that an organisation may accumulate."""
INITIAL_RETRIES = 1.0
"""Initial retries of an organisation that was never seen."""
IDLE_PER_RETRY_MS = 10_000.0
"""Idle time that earns one retry without first attempts, so that a small organisation
isn't refused its retries for good."""

MAX_CHILDREN = 4096
"""Distinct child calls that one parent call may make: about 1 MB of memory."""


class RetryAllowance:
    """Retries left to one call and its descendants.

    The total is conserved: a child call gets a part of it and returns the unspent rest
    with its answer. A part whose answer is lost counts as spent. So the retries in the
    call tree of a request never exceed what its root was granted.
    """

    def __init__(self, *, granted: int):
        self._granted = granted
        self._spent = 0
        self._granted_to_children: dict[Hashable, int] = {}
        self._lost = 0
        self._closed = False
        self.unspent = granted

    def spend(self) -> bool:
        """Spend one retry; False: none is left."""
        if self._closed or self.unspent == 0:
            return False
        self.unspent -= 1
        self._spent += 1
        self._check_conserved()
        return True

    def reserve_for_child(self, child: Hashable) -> int:
        """Reserve half of the unspent retries, rounded up, for a child call.

        Args:
            child: unique key of the child call, such as its number.
        """
        if self._closed or self.unspent == 0:
            return 0
        part = (self.unspent + 1) // 2
        self.unspent -= part
        self._granted_to_children[child] = part
        self._check_conserved()
        return part

    def reclaim(self, child: Hashable, unspent: int) -> None:
        """Reclaim the unspent retries of a child call.

        A second answer of the same child call has no effect. The count is capped at
        what the child call was granted.
        """
        part = self._granted_to_children.pop(child, 0)
        returned = 0 if self._closed else max(0, min(unspent, part))
        self.unspent += returned
        self._lost += part - returned
        self._check_conserved()

    def close(self) -> int:
        """Return the unspent retries for the answer, and permit no further retry.

        A backend server may make child calls after it has answered. Without the close,
        their retries would be spent both here and by the parent.
        """
        rest = 0 if self._closed else self.unspent
        if not self._closed:
            self.unspent = 0
            self._lost += rest
        self._closed = True
        self._check_conserved()
        return rest

    def _check_conserved(self) -> None:
        total = (
            self.unspent
            + self._spent
            + self._lost
            + sum(self._granted_to_children.values())
        )
        if total != self._granted or self.unspent < 0:
            raise InvariantError(
                invariant="retry-allowance-conserved",
                facts=f"granted {self._granted}, accounted for {total}",
            )


@dataclass(slots=True, kw_only=True)
class RetryBucket:
    """Retries that one organisation may make now."""

    retries: float
    updated_at_ms: float


class CallerRetryBudget:
    """Bounds the retries of each organisation to a share of its first attempts."""

    def __init__(
        self, *, share_percent: float, max_organisations: int = MAX_ORGANISATIONS
    ):
        self._share = share_percent / 100
        self._max_organisations = max_organisations
        self._buckets: OrderedDict[str, RetryBucket] = OrderedDict()
        self._initial_retries = INITIAL_RETRIES

    def set_share_percent(self, share_percent: float) -> None:
        """Set the share that the document says; retries earned before are kept."""
        self._share = share_percent / 100

    def record_first_attempt(self, organisation: str, now_ms: float) -> None:
        """Count a first attempt, which earns a share of a retry."""
        organisation_bucket = self._bucket(organisation, now_ms)
        organisation_bucket.retries = min(
            MAX_SAVED_RETRIES, organisation_bucket.retries + self._share
        )

    def spend_retry(self, organisation: str, now_ms: float) -> bool:
        """Spend one retry; False: refuse it."""
        organisation_bucket = self._bucket(organisation, now_ms)
        if organisation_bucket.retries < 1:
            return False
        organisation_bucket.retries -= 1
        return True

    def _bucket(self, organisation: str, now_ms: float) -> RetryBucket:
        organisation_bucket = self._buckets.get(organisation)
        if organisation_bucket is None:
            return self._new_bucket(organisation, now_ms)
        self._buckets.move_to_end(organisation)
        idle_ms = max(0.0, now_ms - organisation_bucket.updated_at_ms)
        organisation_bucket.updated_at_ms = max(
            now_ms, organisation_bucket.updated_at_ms
        )
        accumulated = organisation_bucket.retries + idle_ms / IDLE_PER_RETRY_MS
        organisation_bucket.retries = max(
            organisation_bucket.retries, min(1.0, accumulated)
        )
        return organisation_bucket

    def _new_bucket(self, organisation: str, now_ms: float) -> RetryBucket:
        if len(self._buckets) >= self._max_organisations:
            # An evicted organisation must not get its initial retries again.
            self._buckets.popitem(last=False)
            self._initial_retries = 0.0
        organisation_bucket = RetryBucket(
            retries=self._initial_retries, updated_at_ms=now_ms
        )
        self._buckets[organisation] = organisation_bucket
        return organisation_bucket


_REPEATABLE_PARENT = Refused(verdict=Verdict.NOT_RUN, reason=Reason.REPEATABLE_PARENT)
_TOO_MANY_CHILDREN = Refused(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED)
_RETRY_REFUSED = Refused(verdict=Verdict.NOT_RUN, reason=Reason.RETRY_REFUSED)


class ChildCalls:
    """Child calls that a backend server makes while it serves one parent call.

    The parent runs on this node alone, so all its child calls pass through here. A
    service's own retry is distinguished from a first call, and is joined to the running
    call, answered from the record, or charged to the retry allowance.
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
        """Decide whether a child call is dispatched, joined, answered or refused.

        Args:
            operation: name of the operation called.
            key: its ``Idempotency-Key``, or else its fingerprint.
            repeatable: whether the operation is repeatable.
        """
        if not repeatable and self._parent_repeatable:
            # A retry of the parent on another host would make this call again.
            return _REPEATABLE_PARENT
        number = self._numbers.get((operation, key))
        if number is None:
            return self._first_claim(operation, key)
        state = self._states[number]
        if state is RunState.RUNNING:
            return Join(number=number)
        if repeatable:
            return self._claim_retry(number)
        if state is RunState.NOT_RUN:
            return _RETRY_REFUSED
        answer = self._answers.get((self._parent, number))
        return NOT_KEPT if answer is None else Recorded(answer=answer)

    def finish(self, number: int, answer: Answer, *, repeatable: bool) -> None:
        """Record the outcome of a dispatched child call.

        Raises:
            InvariantError: The child call isn't running.
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
        """Drop the stored answers and refuse new calls, as the parent has ended."""
        self._closed = True
        for number in range(len(self._states)):
            self._answers.drop((self._parent, number))

    def _first_claim(self, operation: str, key: bytes) -> Claim:
        if self._closed or len(self._states) >= self._max_children:
            return _TOO_MANY_CHILDREN
        number = len(self._states)
        self._numbers[operation, key] = number
        self._states.append(RunState.RUNNING)
        return Dispatch(number=number)

    def _claim_retry(self, number: int) -> Claim:
        if not self._allowance.spend():
            return _RETRY_REFUSED
        self._states[number] = RunState.RUNNING
        return Dispatch(number=number)
