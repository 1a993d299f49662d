"""Ingress limits of a node: load shedding, early retries and retry-after delays."""

import random

from sassafraswinch import tickets
from sassafraswinch.early_retries import EarlyRetries
from sassafraswinch.levels import IngressShedder
from sassafraswinch.messages import Answer, Rank
from sassafraswinch.pending import Pending
from sassafraswinch.requests import Request
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.verdict import Reason, Verdict

RETRY_AFTER_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.EVICTED,
        Reason.DEADLINE,
        Reason.BACKEND_SHED,
        Reason.NO_HOST,
    }
)
"""Reasons of transient refusals, which carry a retry-after delay."""


class IngressLimits:
    """Sheds requests that would be refused downstream, and bounds early retries."""

    def __init__(
        self,
        *,
        shedder: IngressShedder,
        budget: CallerRetryBudget,
        early_retries: EarlyRetries,
        rng: random.Random,
    ):
        self.shedder = shedder
        self.budget = budget
        self.early_retries = early_retries
        self.rng = rng

    def refusal(self, pending: Pending, rank: Rank, now_ms: float) -> Answer | None:
        """Return the NOT_RUN answer for a request that is not admitted, else None.

        A retry before its retry-after time is refused only while its class is being
        shed anyway. So an early retry of a paying caller is never refused while trial
        requests are admitted.
        """
        operation = pending.classification.operation.name
        if not self.shedder.admits(operation, rank, now_ms):
            delay_ms = self.shedder.retry_after_ms(operation, rank, now_ms, self.rng)
            return not_run(Reason.OVERLOADED, delay_ms)
        wait_ms = self.early_retries.wait_left_ms(pending.retry_key, now_ms)
        if not wait_ms:
            self.budget.record_first_attempt(pending.organisation, now_ms)
            return None
        if not self.shedder.is_shedding(operation, rank.class_order, now_ms):
            return None
        if self.budget.spend_retry(pending.organisation, now_ms):
            return None
        return not_run(Reason.CALLER_RETRIES, int(wait_ms) + 1)

    def retry_after_delay_ms(
        self, pending: Pending, rank: Rank, answer: Answer, now_ms: float
    ) -> int:
        """Return the retry-after delay for ``answer``; 0: none is sent."""
        if answer.verdict is not Verdict.NOT_RUN or pending.parent is not None:
            return answer.retry_after_ms
        delay_ms = answer.retry_after_ms
        if not delay_ms and answer.reason in RETRY_AFTER_REASONS:
            operation = pending.classification.operation.name
            delay_ms = self.shedder.retry_after_ms(operation, rank, now_ms, self.rng)
        if delay_ms and pending.retry_key is not None:
            self.early_retries.record_refusal(pending.retry_key, now_ms + delay_ms)
        return delay_ms


def retry_key(request: Request) -> bytes:
    """Return a key that is the same for a request and its retries by the caller."""
    sender = f"{request.organisation}\n{request.caller}\n{request.service}".encode()
    return sender + tickets.fingerprint(request.method, request.target, request.body)


def not_run(reason: Reason, retry_after_ms: int) -> Answer:
    """Return the answer to a request that was refused before its start."""
    return Answer(
        number=0,
        verdict=Verdict.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
