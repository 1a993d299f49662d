"""Tests that the operators' page documents every setting and every log event."""

import re
from pathlib import Path

import pytest

import sassafraswinch_node
from sassafraswinch_node.settings import SettingsModel

PAGE = Path(__file__).resolve().parents[3] / "docs" / "OPERATIONS.md"
SOURCES = Path(sassafraswinch_node.__file__).parent
EVENT = re.compile(r'log_(?:event|message)\(\s*"(\w+)"')


def documented_rows():
    """Return the cells of each table row of the page, keyed by the first cell."""
    lines = PAGE.read_text().splitlines()
    cells = [
        [c.strip() for c in line.split("|")[1:-1]] for line in lines if "|" in line
    ]
    return {row[0].strip("`"): row[1:] for row in cells}


def log_events():
    sources = [source.read_text() for source in SOURCES.glob("*.py")]
    return sorted({event for text in sources for event in EVENT.findall(text)})


@pytest.mark.parametrize("name", SettingsModel.model_fields)
def test_setting_is_documented_with_its_default(name):
    field = SettingsModel.model_fields[name]
    default, meaning = documented_rows()[name]
    expected = "" if field.is_required() else str(field.default or "none").lower()
    assert default.strip("`") == expected
    assert meaning


@pytest.mark.parametrize("event", log_events())
def test_log_event_is_documented(event):
    assert documented_rows()[event][1]
