"""How long a request may take, from the deadline of its class."""

from sassafraswinch.classify import Classification
from sassafraswinch.requests import Request

ANSWER_MARGIN_MS = 120.0
"""Part of a deadline kept for the final answer: 100 ms that forwarder and owner wait
for a proof, and 3 ms each way to the caller, with room for a busy node."""

MAX_MARGIN_SHARE = 0.25
"""Greatest part of a short deadline kept for the final answer."""


def time_left_ms(request: Request, classification: Classification) -> float:
    """Return the time left for a request that may have been forwarded."""
    if request.deadline_ms is None:
        return answer_within_ms(classification)
    return min(request.deadline_ms, answer_within_ms(classification))


def answer_within_ms(classification: Classification) -> float:
    """Return the time after which a call is given up.

    Failure guarded against: a caller whose own timeout is the deadline of its class
    hangs up while the final answer is on its way, and knows less than the node.
    """
    deadline_ms = classification.deadline_ms
    return deadline_ms - min(ANSWER_MARGIN_MS, deadline_ms * MAX_MARGIN_SHARE)
