"""Answers between nodes and the outcomes told to waiters, each from the other."""

from sassafraswinch.messages import Answer
from sassafraswinch.requests import Outcome


def outcome_of(
    answer: Answer, *, ticket: str | None = None, retry_after_ms: int = 0
) -> Outcome:
    """Return what a waiter is told of ``answer``."""
    return Outcome(
        verdict=answer.verdict,
        reason=answer.reason,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        retry_after_ms=retry_after_ms,
        ticket=ticket,
    )


def answer_of(number: int, outcome: Outcome) -> Answer:
    """Return the answer that carries ``outcome`` to the node that forwarded it.

    Args:
        number: of the forwarded request.
        outcome: its ticket stays here: it would name this node, not the other.
    """
    return Answer(
        number=number,
        verdict=outcome.verdict,
        reason=outcome.reason,
        status=outcome.status,
        headers=outcome.headers,
        body=outcome.body,
        retry_after_ms=outcome.retry_after_ms,
    )
