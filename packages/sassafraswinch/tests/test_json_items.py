"""Tests of parsing JSON whose items come from several writers."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.json_items import parse_json_items

UNREADABLE = [
    b"[" * 5_000 + b"]" * 5_000,
    b'{"a": ' * 5_000 + b"1" + b"}" * 5_000,
    b'{"number": ' + b"9" * 5_000 + b"}",
]

ITEMS = st.dictionaries(
    st.text(max_size=8),
    st.text(max_size=8) | st.lists(st.text(alphabet='[]{}",\\', max_size=8)),
    max_size=3,
)


@settings(derandomize=True, deadline=None)
@given(st.lists(ITEMS | st.sampled_from(UNREADABLE), max_size=6))
def test_unreadable_items_become_none_and_the_others_stay(items):
    """Guards against one item that makes all others unreadable."""
    texts = [
        item if isinstance(item, bytes) else json.dumps(item).encode() for item in items
    ]
    expected = [None if isinstance(item, bytes) else item for item in items]
    body = b"[" + b",".join(texts) + b"]"
    assert parse_json_items(body, depth=2) == expected
    page = b'{"items": ' + body + b', "next": "]}"}'
    assert parse_json_items(page, depth=3) == {"items": expected, "next": "]}"}


@pytest.mark.parametrize(
    "body", [b"", b"[", b"[" * 200_000, b'{"a": [}', b'["', b"[1,]"]
)
def test_text_that_is_no_json_is_rejected(body):
    with pytest.raises(ValueError, match=r"\w"):
        parse_json_items(body, depth=2)
