"""Tests of the bound on what of a response isn't its body."""

import pytest

from sassafraswinch_node.framing_budget import (
    BODY_BYTES_PER_FRAMING_BYTE,
    MAX_FRAMING_BYTES,
    FramingBudget,
)


def budget_of(*, framing_bytes: int, body_bytes: int) -> FramingBudget:
    budget = FramingBudget()
    budget.body_bytes = body_bytes
    budget.received_bytes = framing_bytes + body_bytes
    return budget


@pytest.mark.parametrize("body_bytes", [0, 1_600, 30_000_000])
def test_framing_may_grow_with_the_body(body_bytes):
    allowed = MAX_FRAMING_BYTES + body_bytes // BODY_BYTES_PER_FRAMING_BYTE
    assert not budget_of(framing_bytes=allowed, body_bytes=body_bytes).is_exceeded()
    assert budget_of(framing_bytes=allowed + 1, body_bytes=body_bytes).is_exceeded()


def test_next_response_has_a_budget_of_its_own():
    budget = budget_of(framing_bytes=MAX_FRAMING_BYTES + 1, body_bytes=0)
    budget.reset()
    assert not budget.is_exceeded()
