"""Path templates of operations, and the matching of request targets to them."""

import itertools
import re
from collections import defaultdict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar
from urllib.parse import unquote

MAX_SEGMENTS = 32
"""Most segments of a path template, and of a request target that can match one."""

_LITERAL = re.compile(r"[A-Za-z0-9._~!$&'()*+,=:@-]+", re.ASCII)
_PLACEHOLDER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}", re.ASCII)
_ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_UNSAFE = re.compile(r"[\\;\x00-\x1f\x7f]|/\.{0,2}(?=/|$)")
"""Backslashes, ``;`` parameters, control characters, empty and dot segments."""

Value = TypeVar("Value")
Segments = tuple[str | None, ...]
"""Segments of a template; None stands for a placeholder."""


def parse_path_template(text: str) -> Segments:
    """Parse a template such as ``/orders/{order}/approval``.

    Returns:
        Its segments; the root path ``/`` has none.

    Raises:
        ValueError: if ``text`` is not a valid template; the message gives the reason.
    """
    if not text.startswith("/"):
        raise ValueError("a path template must start with '/'")
    if text == "/":
        return ()
    parts = text[1:].split("/")
    if len(parts) > MAX_SEGMENTS:
        raise ValueError(f"a path template has at most {MAX_SEGMENTS} segments")
    segments = tuple(map(_parse_segment, parts))
    names = [
        part for part, segment in zip(parts, segments, strict=True) if segment is None
    ]
    if len(set(names)) < len(names):
        raise ValueError("a path template has two placeholders of the same name")
    return segments


def _parse_segment(part: str) -> str | None:
    if _PLACEHOLDER.fullmatch(part):
        return None
    if part in (".", "..") or not _LITERAL.fullmatch(part):
        raise ValueError(
            f"segment {part!r} must be plain text or a single {{placeholder}}"
        )
    return part


def ambiguous(one: Segments, other: Segments) -> bool:
    """Return whether some path matches both templates and neither is more specific.

    ``/orders/new`` is more specific than ``/orders/{order}`` and wins;
    ``/{kind}/new`` and ``/orders/{order}`` are ambiguous.
    """
    if len(one) != len(other):
        return False
    pairs = tuple(zip(one, other, strict=True))
    if any(None not in pair and pair[0] != pair[1] for pair in pairs):
        return False
    one_is_specific = any(a is not None and b is None for a, b in pairs)
    other_is_specific = any(a is None and b is not None for a, b in pairs)
    return one_is_specific == other_is_specific


def split_target(target: str) -> tuple[str, ...] | None:
    """Return the decoded path segments of a request target, None if it is unsafe.

    A backend server decodes the path before it routes. If a node compared the raw
    text, ``/orders/7/%61pproval`` or ``/orders/7%2Fapproval`` would be classified as
    a repeatable lookup by the node and executed as an approval by the server, which
    breaks the at-most-once guarantee. Paths are therefore compared decoded, and a
    path that servers are known to interpret differently (encoded slash, double
    encoding, backslash, dot segments, empty segments, ``;`` parameters, control
    characters) matches no template.
    """
    path = target.partition("?")[0]
    if not path.isascii() or "#" in path:
        return None
    if "%" in path:
        path = _decode(path)
    if path == "/":
        return ()
    if path is None or not path.startswith("/") or _UNSAFE.search(path):
        return None
    segments = tuple(path[1:].split("/"))
    return segments if len(segments) <= MAX_SEGMENTS else None


def _decode(path: str) -> str | None:
    if _BAD_ESCAPE.search(path):
        return None
    try:
        decoded = unquote(path, errors="strict")
    except UnicodeDecodeError:
        return None
    if decoded.count("/") != path.count("/") or _ESCAPE.search(decoded):
        return None
    return decoded


@dataclass(slots=True)
class _Branch(Generic[Value]):
    """Trie node."""

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
    """Trie that maps path templates to values; the most specific match wins.

    Literal segments are tried before placeholders. This finds the most specific
    template because no two templates of a table are ambiguous.
    """

    def __init__(self):
        self._root: _Branch[Value] = _Branch()

    def add(self, segments: Segments, value: Value) -> None:
        """Add a template that must not be ambiguous with those added before."""
        branch = self._root
        for segment in segments:
            branch = branch.child(segment)
        branch.value = value

    def find(self, segments: tuple[str, ...]) -> Value | None:
        """Return the value of the template that matches ``segments``, or None."""
        return self._root.find(segments, 0)


class AmbiguityIndex(Generic[Value]):
    """Index of path templates that finds one ambiguous with a given template.

    Comparing all pairs of templates of a 1 MB document would take seconds. Of two
    ambiguous templates, wherever one has a literal, the other has the same literal
    or a placeholder. So only the templates listed under the least frequent such
    position are compared.
    """

    def __init__(self):
        self._templates: defaultdict[Hashable, list[tuple[Segments, Value]]]
        self._templates = defaultdict(list)

    def add(self, segments: Segments, value: Value) -> None:
        """Add a template."""
        self._templates[len(segments)].append((segments, value))
        for position, segment in enumerate(segments):
            key = (len(segments), position, segment)
            self._templates[key].append((segments, value))

    def find(self, segments: Segments) -> Value | None:
        """Return the value of a template that is ambiguous with ``segments``."""
        return next(
            (
                value
                for other, value in self._candidates(segments)
                if ambiguous(segments, other)
            ),
            None,
        )

    def _candidates(self, segments: Segments) -> Iterable[tuple[Segments, Value]]:
        length = len(segments)
        lists_by_position = [
            (
                self._templates.get((length, position, segment), ()),
                self._templates.get((length, position, None), ()),
            )
            for position, segment in enumerate(segments)
            if segment is not None
        ]
        if not lists_by_position:
            return self._templates.get(length, ())
        return itertools.chain(
            *min(lists_by_position, key=lambda lists: sum(map(len, lists)))
        )
