"""Classification of the end of a dispatch to a backend server."""

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.messages import Headers
from sassafraswinch.requests import BackendResult
from sassafraswinch.verdict import Reason, Verdict

SHED_STATUS = 503
SHED_HEADER = "x-not-run"
"""Header that marks a 503 as shed, if it is 1: the backend server started nothing."""


def is_shed(status: int, headers: Headers) -> bool:
    """Return whether a response states that the backend server started nothing."""
    return status == SHED_STATUS and (SHED_HEADER, "1") in headers


def judge(
    result: BackendResult, *, cancelled: bool, made_child_calls: bool
) -> tuple[Verdict, Reason | None, BackendOutcome]:
    """Return verdict, reason and gate outcome for the end of a dispatch.

    Only a 503 with the shed header proves NOT_RUN; a plain 500 or 503 is an answer. If
    a backend server sheds a call after it made child calls, the call may have run.
    """
    if result.verdict is Verdict.ANSWERED:
        if is_shed(result.status, result.headers):
            verdict = Verdict.MAY_HAVE_RUN if made_child_calls else Verdict.NOT_RUN
            return verdict, Reason.BACKEND_SHED, BackendOutcome.SHED
        return Verdict.ANSWERED, None, BackendOutcome.OK
    if cancelled:
        return result.verdict, Reason.CANCELLED, BackendOutcome.CANCELLED
    reason = result.reason or Reason.BACKEND_BROKEN
    return result.verdict, reason, BackendOutcome.BROKEN
