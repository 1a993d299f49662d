"""Path templates of operations, and the lookup of a request target among them."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar
from urllib.parse import unquote

MAX_SEGMENTS = 32
"""Segments of a template, and of a request target that can match one."""

_LITERAL = re.compile(r"[A-Za-z0-9._~!$&'()*+,=:@-]+", re.ASCII)
_PLACEHOLDER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}", re.ASCII)
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_UNSAFE = re.compile(r"[/\\;\x00-\x1f\x7f]")

Value = TypeVar("Value")
Segments = tuple[str | None, ...]
"""Segments of a template; None stands for a placeholder."""


def parse_path_template(text: str) -> Segments:
    """Parse a template such as ``/orders/{order}/approval``.

    Returns:
        Its segments; the root path ``/`` has none.

    Raises:
        ValueError: if ``text`` is no template, with the reason.
    """
    if not text.startswith("/"):
        raise ValueError("a path starts with '/'")
    if text == "/":
        return ()
    parts = text[1:].split("/")
    if len(parts) > MAX_SEGMENTS:
        raise ValueError(f"more than {MAX_SEGMENTS} segments")
    segments = tuple(map(_parse_segment, parts))
    names = [
        part for part, segment in zip(parts, segments, strict=True) if segment is None
    ]
    if len(set(names)) < len(names):
        raise ValueError("two placeholders of one name")
    return segments


def _parse_segment(part: str) -> str | None:
    if _PLACEHOLDER.fullmatch(part):
        return None
    if part in (".", "..") or not _LITERAL.fullmatch(part):
        raise ValueError(
            f"segment {part!r} is neither plain text nor one {{placeholder}}"
        )
    return part


def ambiguous(one: Segments, other: Segments) -> bool:
    """Return whether some path matches both, and neither is the more special one.

    ``/orders/new`` is more special than ``/orders/{order}`` and wins;
    ``/{kind}/new`` and ``/orders/{order}`` are ambiguous.
    """
    if len(one) != len(other):
        return False
    pairs = tuple(zip(one, other, strict=True))
    if any(None not in pair and pair[0] != pair[1] for pair in pairs):
        return False
    one_is_special = any(a is not None and b is None for a, b in pairs)
    other_is_special = any(a is None and b is not None for a, b in pairs)
    return one_is_special == other_is_special


def split_target(target: str) -> tuple[str, ...] | None:
    """Return the decoded path segments of a request target, or None.

    A backend server decodes the path before it routes. If a node compared the
    raw text, ``/orders/7/%61pproval`` or ``/orders/7%2Fapproval`` would pass as
    a repeatable lookup here and run as an approval there, outside at-most-once.
    So segments are compared decoded, and a path that servers are known to read
    in different ways (encoded slash, backslash, dot segments, empty segments,
    ``;`` parameters, control characters) matches nothing.
    """
    path = target.partition("?")[0]
    if not path.startswith("/") or "#" in path:
        return None
    if path == "/":
        return ()
    segments = path[1:].split("/")
    if len(segments) > MAX_SEGMENTS:
        return None
    if "%" in path:
        segments = _decode(segments)
        if segments is None:
            return None
    if any(part in ("", ".", "..") for part in segments):
        return None
    if _UNSAFE.search("".join(segments)):
        return None
    return tuple(segments)


def _decode(segments: list[str]) -> list[str] | None:
    if any(map(_BAD_ESCAPE.search, segments)):
        return None
    try:
        return [unquote(segment, errors="strict") for segment in segments]
    except UnicodeDecodeError:
        return None


@dataclass(slots=True)
class _Branch(Generic[Value]):
    literals: dict[str, "_Branch[Value]"] = field(default_factory=dict)
    placeholder: "_Branch[Value] | None" = None
    value: Value | None = None

    def child(self, segment: str | None) -> "_Branch[Value]":
        if segment is not None:
            return self.literals.setdefault(segment, _Branch())
        if self.placeholder is None:
            self.placeholder = _Branch()
        return self.placeholder

    def find(self, segments: tuple[str, ...], index: int) -> Value | None:
        if index == len(segments):
            return self.value
        literal = self.literals.get(segments[index])
        found = literal.find(segments, index + 1) if literal is not None else None
        if found is None and self.placeholder is not None:
            return self.placeholder.find(segments, index + 1)
        return found


class PathTable(Generic[Value]):
    """Values by path template; the most special template of a path wins.

    Literal segments are tried before placeholders, which finds the most special
    template because no two templates of a table are ambiguous.
    """

    def __init__(self, *, entries: Iterable[tuple[Segments, Value]]):
        self._root: _Branch[Value] = _Branch()
        for segments, value in entries:
            branch = self._root
            for segment in segments:
                branch = branch.child(segment)
            branch.value = value

    def find(self, segments: tuple[str, ...]) -> Value | None:
        """Return the value of the template that ``segments`` match, or None."""
        return self._root.find(segments, 0)


def ambiguous_pairs(
    templates: Iterable[tuple[Segments, Value]],
) -> Iterator[tuple[Value, Value]]:
    """Yield the values of each two templates that are ambiguous, in order."""
    seen: list[tuple[Segments, Value]] = []
    for segments, value in templates:
        for other_segments, other in seen:
            if ambiguous(segments, other_segments):
                yield other, value
        seen.append((segments, value))
