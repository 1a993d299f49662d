"""Structs that check what comes from outside."""

from typing import Annotated

import msgspec
import pytest
from msgspec import Meta

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_sidecar.checked_structs import (
    WHOLE_TEXT_FIELD,
    convert_struct,
    parse_struct,
)


class Part(msgspec.Struct):
    """A nested struct."""

    size: int


class Thing(msgspec.Struct):
    """A struct with a field of each sort."""

    name: str
    count: Annotated[int, Meta(ge=1)]
    parts: list[Part] = []


def faults_of(action):
    with pytest.raises(InvalidFieldsError) as caught:
        action()
    return {error.field: error.reason for error in caught.value.exceptions}


def test_fields_become_the_struct_and_others_are_ignored():
    text = b'{"name": "a", "count": 2, "parts": [{"size": 3}], "new": true}'
    read = parse_struct(Thing, text, source="there")
    assert read == Thing(name="a", count=2, parts=[Part(size=3)])


def test_every_wrong_field_is_named_by_its_place():
    text = b'{"count": 0, "parts": [{"size": 3}, {}]}'
    found = faults_of(lambda: parse_struct(Thing, text, source="there"))
    assert found["name"] == "missing"
    assert ">= 1" in found["count"]
    assert "parts.1.size" in found or "parts.....size" in found


@pytest.mark.parametrize("text", [b"", b"[]", b"{", b"\xff", b"[" * 100_000])
def test_text_that_holds_no_fields_is_a_fault_of_the_whole(text):
    found = faults_of(lambda: parse_struct(Thing, text, source="there"))
    assert list(found) == [WHOLE_TEXT_FIELD]


def test_unknown_field_of_a_file_is_a_fault():
    raw = {"name": "a", "count": 1, "cuont": 2}
    found = faults_of(lambda: convert_struct(Thing, raw, source="there"))
    assert list(found) == ["cuont"]
    assert convert_struct(Thing, {"name": "a", "count": 1}, source="there").count == 1
