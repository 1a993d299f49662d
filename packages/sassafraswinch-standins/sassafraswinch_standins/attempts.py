"""Result of one attempt of a caller stand-in."""

from dataclasses import dataclass

from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.answers import check_answer
from sassafraswinch_standins.http_client import HttpAnswer
from sassafraswinch_standins.tally import Outcome

TICKET_HEADER = "sassafraswinch-ticket"
VERDICT_HEADER = "sassafraswinch-verdict"
REASON_HEADER = "sassafraswinch-reason"


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of one attempt."""

    outcome: Outcome
    reason: str | None = None
    ticket: str | None = None
    retry_after_ms: float | None = None


def read_answer(answer: HttpAnswer, *, request_id: str) -> AttemptResult:
    """Classify a response by its status, verdict and body."""
    headers = answer.headers
    verdict = headers.get(VERDICT_HEADER)
    shed = answer.status == 503 and headers.get("x-not-run") == "1"
    if answer.status == 428:
        outcome = Outcome.TICKET_NEEDED
    elif verdict == Verdict.NOT_RUN.value or (verdict is None and shed):
        outcome = Outcome.NOT_RUN
    elif verdict == Verdict.MAY_HAVE_RUN.value:
        outcome = Outcome.MAY_HAVE_RUN
    elif answer.status != 200:
        outcome = Outcome.FAILED
    elif check_answer(answer.body, request_id=request_id) is None:
        outcome = Outcome.GOOD
    else:
        outcome = Outcome.WRONG
    return AttemptResult(
        outcome=outcome,
        reason=headers.get(REASON_HEADER),
        ticket=headers.get(TICKET_HEADER),
        retry_after_ms=retry_after_ms(headers),
    )


def retry_after_ms(headers: dict[str, str]) -> float | None:
    """Return the retry delay of a response; ``Retry-After-Ms`` takes precedence."""
    if "retry-after-ms" in headers:
        return float(headers["retry-after-ms"])
    if "retry-after" in headers:
        return float(headers["retry-after"]) * 1000
    return None
