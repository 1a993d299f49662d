"""Tests of HTTP status and headers for outcomes: verdict, reason and retry-after."""

import pytest

from sassafraswinch.requests import Outcome
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.http_status import outcome_headers, outcome_status


@pytest.mark.parametrize(
    ("verdict", "reason", "status"),
    [
        (Verdict.NOT_RUN, Reason.OVERLOADED, 503),
        (Verdict.NOT_RUN, Reason.TICKET_REQUIRED, 428),
        (Verdict.NOT_RUN, Reason.UNKNOWN_OPERATION, 404),
        (Verdict.NOT_RUN, Reason.DEADLINE, 503),
        (Verdict.MAY_HAVE_RUN, Reason.DEADLINE, 504),
        (Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, 502),
    ],
)
def test_status(verdict, reason, status):
    assert outcome_status(Outcome(verdict=verdict, reason=reason)) == status


def test_response_keeps_status_headers_and_body():
    outcome = Outcome(
        verdict=Verdict.ANSWERED,
        status=201,
        headers=(("set-cookie", "a=1"), ("set-cookie", "b=2"), ("connection", "x")),
        body=b"done",
    )
    headers = outcome_headers(outcome)
    assert outcome_status(outcome) == 201
    cookies = [value for name, value in headers if name == b"set-cookie"]
    assert cookies == [b"a=1", b"b=2"]
    assert (b"content-length", b"4") in headers
    assert (b"sassafraswinch-verdict", b"answered") in headers
    assert b"connection" not in dict(headers)


def test_backend_server_cannot_forge_a_verdict():
    """A backend server sends a verdict header; it must not reach the caller."""
    outcome = Outcome(
        verdict=Verdict.ANSWERED,
        status=200,
        headers=(("sassafraswinch-verdict", "not-run"),),
    )
    verdicts = [
        value
        for name, value in outcome_headers(outcome)
        if name == b"sassafraswinch-verdict"
    ]
    assert verdicts == [b"answered"]


def test_retry_after_rounds_up():
    outcome = Outcome(
        verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED, retry_after_ms=1001
    )
    headers = dict(outcome_headers(outcome))
    assert headers[b"retry-after"] == b"2"
    assert headers[b"retry-after-ms"] == b"1001"
