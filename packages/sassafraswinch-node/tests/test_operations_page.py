"""The operators' page names every field of the settings and every event of the log."""

import re
from pathlib import Path

import pytest

import sassafraswinch_node
from sassafraswinch_node.settings import SettingsModel

PAGE = Path(__file__).resolve().parents[3] / "docs" / "OPERATIONS.md"
SOURCES = Path(sassafraswinch_node.__file__).parent
EVENT = re.compile(r'log_(?:event|message)\(\s*"(\w+)"')


def rows():
    """Return the cells of each table row of the page, by its first cell."""
    lines = PAGE.read_text().splitlines()
    cells = [
        [c.strip() for c in line.split("|")[1:-1]] for line in lines if "|" in line
    ]
    return {row[0].strip("`"): row[1:] for row in cells}


def events():
    texts = [source.read_text() for source in SOURCES.glob("*.py")]
    return sorted({event for text in texts for event in EVENT.findall(text)})


@pytest.mark.parametrize("name", SettingsModel.model_fields)
def test_field_of_the_settings_stands_there_with_its_default(name):
    field = SettingsModel.model_fields[name]
    default, meaning = rows()[name]
    expected = "" if field.is_required() else str(field.default or "none").lower()
    assert default.strip("`") == expected
    assert meaning


@pytest.mark.parametrize("event", events())
def test_event_of_the_log_stands_there(event):
    assert rows()[event][1]
