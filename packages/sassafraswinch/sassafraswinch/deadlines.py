"""Time limits of a request, derived from the deadline of its class."""

from sassafraswinch.classify import Classification
from sassafraswinch.requests import Request

ANSWER_MARGIN_MS = 120.0
"""Part of a deadline reserved for the final answer: 100 ms in which forwarder and owner
wait for a proof, and 3 ms each way to the caller, with a reserve for a busy node."""

MAX_MARGIN_SHARE = 0.25
"""Maximum share of a short deadline that is reserved for the final answer."""


def time_left_ms(request: Request, classification: Classification) -> float:
    """Return the time left for a request that may have been forwarded."""
    if request.deadline_ms is None:
        return answer_within_ms(classification)
    return min(request.deadline_ms, answer_within_ms(classification))


def answer_within_ms(classification: Classification) -> float:
    """Return the time after which a call times out.

    Failure: a caller whose own timeout equals the deadline of its class disconnects
    while the final answer is in transit, and never gets the outcome known to the node.
    """
    deadline_ms = classification.deadline_ms
    return deadline_ms - min(ANSWER_MARGIN_MS, deadline_ms * MAX_MARGIN_SHARE)
