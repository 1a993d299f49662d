"""What the end of a dispatch proves."""

import pytest

from sassafraswinch.dispatch_end import judge
from sassafraswinch.gate import BackendOutcome
from sassafraswinch.requests import BackendResult
from sassafraswinch.verdict import Reason, Verdict


@pytest.mark.parametrize(
    ("status", "value", "shed"),
    [(503, "1", True), (503, "0", False), (500, "1", False)],
)
def test_only_the_documented_form_is_a_shed(status, value, shed):
    result = BackendResult(
        verdict=Verdict.ANSWERED, status=status, headers=(("x-not-run", value),)
    )
    verdict, _, outcome = judge(result, cancelled=False, began_children=False)
    assert (verdict is Verdict.NOT_RUN) is shed
    assert (outcome is BackendOutcome.SHED) is shed


def test_shed_after_calling_onward_proves_nothing():
    """A backend server makes a release below an approval, then says it did nothing.

    Told NOT_RUN, the caller sends the approval again, and the release runs twice.
    """
    result = BackendResult(
        verdict=Verdict.ANSWERED, status=503, headers=(("x-not-run", "1"),)
    )
    verdict, reason, _ = judge(result, cancelled=False, began_children=True)
    assert verdict is Verdict.MAY_HAVE_RUN
    assert reason is Reason.BACKEND_SHED


@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
def test_without_an_answer_the_client_s_verdict_holds(verdict):
    result = BackendResult(verdict=verdict, reason=Reason.BACKEND_UNREACHABLE)
    assert judge(result, cancelled=False, began_children=False) == (
        verdict,
        Reason.BACKEND_UNREACHABLE,
        BackendOutcome.BROKEN,
    )
