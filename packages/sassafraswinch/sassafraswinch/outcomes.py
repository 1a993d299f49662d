"""Conversion between answers of nodes and outcomes of waiters."""

from sassafraswinch.messages import Answer
from sassafraswinch.requests import Outcome


def outcome_of(
    answer: Answer, *, ticket: str | None = None, retry_after_ms: int = 0
) -> Outcome:
    """Return the outcome that a waiter gets for ``answer``."""
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
        number: Number of the forwarded request.
        outcome: Outcome to convert. Its ticket is left out, since it would name this
            node instead of the forwarding one.
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
