"""Tests of the serialization of test requests and of response checks."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch_standins.answers import (
    AnswerFault,
    RequestFields,
    check_answer,
    make_answer,
    parse_request,
    serialize_request,
)

requests = st.builds(
    RequestFields,
    request_id=st.text(min_size=1, max_size=20),
    answer_bytes=st.integers(0, 5000),
)


@settings(derandomize=True, deadline=None)
@given(request=requests, method=st.sampled_from(["GET", "POST"]))
def test_request_round_trip(request, method):
    target, body = serialize_request(request, method=method, path="/x")
    query = target.partition("?")[2].encode()
    assert parse_request(query=query, body=body) == request


@settings(derandomize=True, deadline=None)
@given(request=requests, cut=st.integers(1, 5000))
def test_every_truncation_is_detected(request, cut):
    answer = make_answer(request, server="a")
    assert check_answer(answer, request_id=request.request_id) is None
    assert check_answer(answer[:-cut], request_id=request.request_id) is not None


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (lambda complete, other: other, AnswerFault.OTHER_REQUEST),
        (lambda complete, other: complete[:-7] + other[-7:], AnswerFault.CORRUPT),
        (lambda complete, other: complete + b"x", AnswerFault.TRUNCATED),
        (lambda complete, other: b"oops", AnswerFault.UNREADABLE),
    ],
)
def test_foreign_and_mixed_answers_are_detected(change, fault):
    complete, other = (
        make_answer(RequestFields(request_id=i, answer_bytes=100), server="a")
        for i in ("one", "two")
    )
    assert check_answer(change(complete, other), request_id="one") is fault
