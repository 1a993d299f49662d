"""Tests of the classification of dispatch results."""

import pytest

from sassafraswinch.dispatch_result import judge
from sassafraswinch.gate import BackendOutcome
from sassafraswinch.requests import BackendResult
from sassafraswinch.verdict import Reason, Verdict


@pytest.mark.parametrize(
    ("status", "value", "shed"),
    [(503, "1", True), (503, "0", False), (500, "1", False)],
)
def test_only_a_503_with_the_shed_header_counts_as_shed(status, value, shed):
    result = BackendResult(
        verdict=Verdict.ANSWERED, status=status, headers=(("x-not-run", value),)
    )
    verdict, _, outcome = judge(result, cancelled=False, made_child_calls=False)
    assert (verdict is Verdict.NOT_RUN) is shed
    assert (outcome is BackendOutcome.SHED) is shed


def test_shed_after_child_calls_is_may_have_run():
    """Guard against a duplicate release.

    A backend server makes a release as child call of an approval and then sheds the
    approval. After NOT_RUN the caller would retry it and the release would run twice.
    """
    result = BackendResult(
        verdict=Verdict.ANSWERED, status=503, headers=(("x-not-run", "1"),)
    )
    verdict, reason, _ = judge(result, cancelled=False, made_child_calls=True)
    assert verdict is Verdict.MAY_HAVE_RUN
    assert reason is Reason.BACKEND_SHED


@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
def test_verdict_of_the_backend_client_is_kept_without_an_answer(verdict):
    result = BackendResult(verdict=verdict, reason=Reason.BACKEND_UNREACHABLE)
    assert judge(result, cancelled=False, made_child_calls=False) == (
        verdict,
        Reason.BACKEND_UNREACHABLE,
        BackendOutcome.BROKEN,
    )
