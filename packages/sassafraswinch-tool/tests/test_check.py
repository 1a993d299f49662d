"""Tests of the checks of a document file."""

from pathlib import Path

import pytest

from sassafraswinch_tool.check import check_file, find_cautions, read_document

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["brno", "reykjavik"])
def test_examples_have_neither_faults_nor_cautions(name):
    path = EXAMPLES / f"{name}.yaml"
    assert check_file(path) == []
    assert find_cautions(read_document(path)) == []


def test_every_fault_names_file_field_and_reason(tmp_path):
    path = tmp_path / "document.yaml"
    path.write_text("version: 0\nservices: {}\noperations: []\nclasses: []\nx: 1\n")
    assert [(fault.source, fault.field) for fault in check_file(path)] == [
        (str(path), field) for field in ("version", "classes", "x")
    ]


def test_missing_file_is_a_fault(tmp_path):
    (fault,) = check_file(tmp_path / "none.yaml")
    assert "can't be read" in fault.reason


def test_misspelt_value_of_a_selector_is_a_caution(tmp_path):
    """A misspelt label value in ``non_repeatable`` gives a caution.

    With 'relase' in place of 'release' the document is still valid, but releases,
    which must run at most once, may be retried.
    """
    path = tmp_path / "document.yaml"
    text = (EXAMPLES / "brno.yaml").read_text()
    misspelt = text.replace(
        '- "action in (approval, release)"', '- "action in (approval, relase)"'
    )
    path.write_text(misspelt.replace('callers: "role=approver"', 'callers: "rol"'))
    assert list(map(str, find_cautions(read_document(path)))) == [
        "classes.1.callers: no caller has a label 'rol'",
        "non_repeatable.0: no operation has action=relase",
    ]
