"""What an entry refuses at once, and when it tells callers to come back."""

import random

from sassafraswinch import tickets
from sassafraswinch.early_repeats import EarlyRepeats
from sassafraswinch.levels import EntryShedder
from sassafraswinch.messages import Answer, Rank
from sassafraswinch.pending import Pending
from sassafraswinch.requests import Request
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.verdict import Reason, Verdict

COME_BACK_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.EVICTED,
        Reason.DEADLINE,
        Reason.BACKEND_SHED,
        Reason.NO_HOST,
    }
)
"""Refusals that pass; the caller is told when to come back."""


class EntryLimits:
    """Sheds what would be refused below, and bounds repeats that come too early."""

    def __init__(
        self,
        *,
        shedder: EntryShedder,
        budget: CallerRetryBudget,
        repeats: EarlyRepeats,
        rng: random.Random,
    ):
        self.shedder = shedder
        self.budget = budget
        self.repeats = repeats
        self.rng = rng

    def refusal(self, pending: Pending, rank: Rank, now_ms: float) -> Answer | None:
        """Return the NOT_RUN answer for a request that is not let in, else None.

        A caller that comes back before its time is refused only where its class is
        being shed anyway. So a paying caller's haste never lets trial work pass it.
        """
        operation = pending.classification.operation.name
        if not self.shedder.admits(operation, rank, now_ms):
            delay_ms = self.shedder.retry_after_ms(operation, rank, now_ms, self.rng)
            return not_run(Reason.OVERLOADED, delay_ms)
        wait_ms = self.repeats.wait_left_ms(pending.repeat_key, now_ms)
        if not wait_ms:
            self.budget.first(pending.organisation, now_ms)
            return None
        if not self.shedder.sheds(operation, rank.class_order, now_ms):
            return None
        if self.budget.repeat(pending.organisation, now_ms):
            return None
        return not_run(Reason.CALLER_RETRIES, int(wait_ms) + 1)

    def come_back_ms(
        self, pending: Pending, rank: Rank, answer: Answer, now_ms: float
    ) -> int:
        """Return when the caller may come back after ``answer``; 0: nothing is said."""
        if answer.verdict is not Verdict.NOT_RUN or pending.parent is not None:
            return answer.retry_after_ms
        delay_ms = answer.retry_after_ms
        if not delay_ms and answer.reason in COME_BACK_REASONS:
            operation = pending.classification.operation.name
            delay_ms = self.shedder.retry_after_ms(operation, rank, now_ms, self.rng)
        if delay_ms and pending.repeat_key is not None:
            self.repeats.refused(pending.repeat_key, now_ms + delay_ms)
        return delay_ms


def repeat_key(request: Request) -> bytes:
    """Return what stays the same when a caller sends a request again."""
    who = f"{request.organisation}\n{request.caller}\n{request.service}".encode()
    return who + tickets.fingerprint(request.method, request.target, request.body)


def not_run(reason: Reason, retry_after_ms: int) -> Answer:
    """Return the answer of a request that was refused before its start."""
    return Answer(
        number=0,
        verdict=Verdict.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
