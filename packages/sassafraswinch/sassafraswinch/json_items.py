"""Parsing of JSON whose items come from several writers."""

import json
import re
from collections.abc import Iterator
from typing import Any

_STRUCTURE = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)
"""Strings, which may contain brackets, and brackets."""


def parse_json(body: bytes) -> Any:
    """Parse a JSON text.

    Raises:
        ValueError: the text isn't valid JSON, or is nested too deeply.
    """
    try:
        return json.loads(body)
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None


def parse_json_items(body: bytes, *, depth: int) -> Any:
    """Parse a JSON text; items that can't be parsed are None.

    Failure: one item is nested some thousand deep, or has a number of some thousand
    digits. If it made the whole text unreadable, the source would seem to be away for
    as long as the item is there.

    Args:
        body: the text.
        depth: nesting of an item: 2 in a list, 3 in a list in a field of an object.

    Raises:
        ValueError: the text isn't valid JSON even without those items.
    """
    try:
        return parse_json(body)
    except ValueError:
        return parse_json(_without_unreadable_items(body, depth))


def _without_unreadable_items(body: bytes, depth: int) -> bytes:
    """Replace the unreadable items by null."""
    parts, end = [], 0
    for start, stop in _item_spans(body, depth):
        try:
            parse_json(body[start:stop])
        except ValueError:
            parts += [body[end:start], b"null"]
            end = stop
    return b"".join([*parts, body[end:]])


def _item_spans(body: bytes, depth: int) -> Iterator[tuple[int, int]]:
    """Yield start and end of each list or object at a depth, whatever its nesting."""
    nesting = start = 0
    for token in _STRUCTURE.finditer(body):
        text = token[0]
        if text in (b"{", b"["):
            nesting += 1
            if nesting == depth:
                start = token.start()
        elif text in (b"}", b"]"):
            if nesting == depth:
                yield start, token.end()
            nesting -= 1
