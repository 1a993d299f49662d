"""Reading the text of a YAML or JSON file into plain data, with all its faults."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import yaml

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError

MAX_DEPTH = 16
"""Levels of nesting; documents and settings need five."""

WHOLE_FILE = "(file)"
"""Field that a fault of the whole text is reported under."""

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_MAP_TAG = "tag:yaml.org,2002:map"
_SEQUENCE_TAG = "tag:yaml.org,2002:seq"
_TEXT_TAG = "tag:yaml.org,2002:str"

Plain = dict | list | str | int | float | bool | None
FieldPath = tuple[str | int, ...]


def dotted(path: Iterable[str | int]) -> str:
    """Return a field path as operators read it, such as ``classes.0.name``."""
    return ".".join(map(str, path)) or WHOLE_FILE


@dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of one file, gathered so that they are reported together."""

    source: str
    errors: list[InvalidFieldError] = field(default_factory=list)

    def add(self, path: Iterable[str | int], reason: str) -> None:
        """Record that the field at ``path`` is wrong."""
        self.errors.append(
            InvalidFieldError(source=self.source, field=dotted(path), reason=reason)
        )

    def raise_any(self) -> None:
        """Raise all recorded faults, if there are any.

        Raises:
            InvalidFieldsError: the faults, in the order they were found.
        """
        if self.errors:
            raise InvalidFieldsError(f"{self.source} is invalid", self.errors)


def parse_text(body: bytes, *, faults: Faults) -> Plain:
    """Parse YAML, of which JSON is a part, into plain data.

    Duplicate keys, aliases, keys that are no text and deep nesting are recorded
    as faults; what is sound beside them is still returned.

    Returns:
        The data; None where the text as a whole can't be read.
    """
    try:
        text = body.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        faults.add((), f"not UTF-8 at byte {error.start}")
        return None
    loader = _Loader(text)
    try:
        node = loader.get_single_node()
        return _PlainData(loader=loader, faults=faults).convert(node, ())
    except yaml.YAMLError as error:
        faults.add((), f"not YAML: {_describe(error)}")
    except RecursionError:
        faults.add((), "not YAML that can be read: nested too deeply")
    finally:
        loader.dispose()
    return None


def _describe(error: yaml.YAMLError) -> str:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error).replace("\n", " ")
    if mark is None:
        return problem
    return f"{problem} (line {mark.line + 1}, column {mark.column + 1})"


class _PlainData:
    """Conversion of composed YAML nodes.

    An alias makes one node stand at two places, so a few hundred bytes of nested
    aliases would expand to billions of entries. Every collection is visited once:
    a second visit is a fault and goes no deeper, which also ends a cycle.
    """

    def __init__(self, *, loader, faults: Faults):
        self._loader = loader
        self._faults = faults
        self._visited: set[int] = set()

    def convert(self, node, path: FieldPath) -> Plain:
        if node is None:
            return None
        if len(path) > MAX_DEPTH:
            self._faults.add(path, f"nested deeper than {MAX_DEPTH} levels")
            return None
        if id(node) in self._visited:
            self._faults.add(path, "aliases are not supported")
            return None
        self._visited.add(id(node))
        if isinstance(node, yaml.ScalarNode):
            return self._scalar(node, path)
        if isinstance(node, yaml.SequenceNode):
            return self._sequence(node, path)
        return self._mapping(node, path)

    def _scalar(self, node, path: FieldPath) -> Plain:
        if node.tag == _TEXT_TAG:
            return node.value
        try:
            return self._loader.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError) as error:
            reason = getattr(error, "problem", None) or str(error)
            self._faults.add(path, reason)
            return None

    def _sequence(self, node, path: FieldPath) -> list | None:
        if node.tag != _SEQUENCE_TAG:
            self._faults.add(path, f"tag {node.tag} is not supported")
            return None
        return [
            self.convert(child, (*path, index))
            for index, child in enumerate(node.value)
        ]

    def _mapping(self, node, path: FieldPath) -> dict | None:
        if node.tag != _MAP_TAG:
            self._faults.add(path, f"tag {node.tag} is not supported")
            return None
        data = {}
        for key_node, value_node in node.value:
            key = self._key(key_node, path)
            if key is None:
                continue
            if key in data:
                self._faults.add((*path, key), "stands twice")
                continue
            data[key] = self.convert(value_node, (*path, key))
        return data

    def _key(self, node, path: FieldPath) -> str | None:
        line = node.start_mark.line + 1
        if not isinstance(node, yaml.ScalarNode):
            self._faults.add(path, f"a key is no text (line {line})")
            return None
        if node.tag != _TEXT_TAG:
            self._faults.add(
                (*path, node.value), f"the key is no text; quote it (line {line})"
            )
            return None
        return node.value
