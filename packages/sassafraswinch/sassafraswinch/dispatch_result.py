"""What the end of a dispatch to a backend server proves."""

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.requests import BackendResult
from sassafraswinch.verdict import Reason, Verdict

SHED_STATUS = 503
SHED_HEADER = "x-not-run"
"""With this header set to 1 a backend server's 503 says that nothing was started."""


def judge(
    result: BackendResult, *, cancelled: bool, began_children: bool
) -> tuple[Verdict, Reason | None, BackendOutcome]:
    """Return verdict, reason and gate outcome for the end of a dispatch.

    Only the documented shed form proves NOT_RUN; a plain 500 or 503 is an answer.
    A backend server that sheds a call after calling onward contradicts itself.
    """
    if result.verdict is Verdict.ANSWERED:
        if result.status == SHED_STATUS and (SHED_HEADER, "1") in result.headers:
            verdict = Verdict.MAY_HAVE_RUN if began_children else Verdict.NOT_RUN
            return verdict, Reason.BACKEND_SHED, BackendOutcome.SHED
        return Verdict.ANSWERED, None, BackendOutcome.OK
    if cancelled:
        return result.verdict, Reason.CANCELLED, BackendOutcome.CANCELLED
    reason = result.reason or Reason.BACKEND_BROKEN
    return result.verdict, reason, BackendOutcome.BROKEN
