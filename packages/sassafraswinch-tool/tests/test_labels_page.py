"""Tests that the code behaves as the examples in docs/LABELS.md state."""

import re
from pathlib import Path

import pytest

from sassafraswinch.document import parse_document
from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch.labels import parse_selector
from sassafraswinch_tool.explain import explain_request

PAGE = (Path(__file__).parents[3] / "docs" / "LABELS.md").read_text()
(DOCUMENT_TEXT,) = re.findall(r"^```yaml\n(.*?)^```$", PAGE, re.DOTALL | re.MULTILINE)
DOCUMENT = parse_document(DOCUMENT_TEXT.encode(), source="LABELS.md")


def table_rows(header):
    table = PAGE[PAGE.index(f"| {header} |") :].split("\n\n")[0]
    cells = [line.strip("| ").split(" | ") for line in table.splitlines()[2:]]
    assert cells
    return [[cell.strip("`") for cell in row] for row in cells]


def cell_value(cell):
    return "" if cell in ("(none)", "(empty)") else cell


@pytest.mark.parametrize(
    ("selector", "labels", "matches"), table_rows("selector | labels | matches")
)
def test_selectors(selector, labels, matches):
    pairs = [part.split("=") for part in cell_value(labels).split(", ") if part]
    matched = parse_selector(cell_value(selector)).matches(dict(pairs))
    assert matched == (matches == "yes")


@pytest.mark.parametrize(
    ("caller", "organisation", "request_line", "class_name", "repeatable"),
    table_rows("caller | organisation | request | class | repeatable"),
)
def test_requests(caller, organisation, request_line, class_name, repeatable):
    found = explain_request(DOCUMENT, caller, cell_value(organisation), request_line)
    assert found.class_name == class_name
    assert found.repeatable == (repeatable == "yes")


@pytest.mark.parametrize(
    ("line", "field", "reason"), table_rows("line | field | reason")
)
def test_faults(line, field, reason):
    with pytest.raises(InvalidFieldsError) as caught:
        parse_document(line.encode(), source="LABELS.md")
    assert (field, reason) in [
        (fault.field, fault.reason) for fault in caught.value.exceptions
    ]


def test_every_top_level_field_is_documented():
    documented = {cell for row in table_rows("field | meaning") for cell in row[:1]}
    top = {"version", "identity", "organisations", "callers", "services"}
    assert top | {"operations", "classes", "non_repeatable"} <= documented
