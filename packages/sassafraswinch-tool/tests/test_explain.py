"""Tests of the explanation of a request as text and as JSON."""

import json
from pathlib import Path

import pytest

from sassafraswinch_tool.check import read_document
from sassafraswinch_tool.explain import (
    UnknownOperationError,
    explain_request,
    render_json,
    render_text,
)

DOCUMENT = read_document(Path(__file__).parents[3] / "examples" / "reykjavik.yaml")


def test_text_shows_labels_selectors_and_limits():
    found = explain_request(DOCUMENT, "tablet-selfoss-2", "", "declare-rest")
    lines = render_text(found).splitlines()
    assert "caller         tablet-selfoss-2 [role=cab-tablet]" in lines
    assert (
        "organisation   selfoss-vorur [kind=haulier, tier=trial], the caller's own"
        in lines
    )
    assert "class 1 filings: no match" in lines
    assert "  organisations  tier in (authority,paying): no match" in lines
    assert "class 5 trial-filings: matched" in lines
    assert "repeatable     no, at most once" in lines
    assert "deadline       3000 ms" in lines


def test_json_has_the_fields_of_the_explanation():
    found = explain_request(
        DOCUMENT, "tablet-selfoss-2", "nordurleid", "GET /cab-clock/drivers/5/clock"
    )
    data = json.loads(render_json(found))
    assert data["operation"] == "show-clock"
    assert data["identity"] == "mismatched"
    assert data["class_name"] == "rest" == data["classes"][-1]["name"]
    assert data["effective_organisation"] is None
    assert data["repeatable"] is True


def test_unknown_operation_error_lists_similar_operations():
    with pytest.raises(UnknownOperationError) as caught:
        explain_request(DOCUMENT, "", "", "declare-rset")
    assert caught.value.similar[0] == "declare-rest"
    with pytest.raises(UnknownOperationError):
        explain_request(DOCUMENT, "", "", "POST /cab-clock/drivers/5/clock")
