"""YAML reader that builds plain data from parser events and reports all faults.

PyYAML's constructor is not used: it expands aliases, silently keeps the last of two
equal keys, and takes longer on a text of 1 MB than building and checking the data
from events.
"""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import yaml
from yaml.constructor import SafeConstructor

MAX_NESTING_LEVELS = 16
"""Deepest nesting of collections; documents and settings need five levels."""

MAX_NUMBER_CHARS = 40
"""Longest scalar, in characters, that is parsed as a number, date or boolean."""

PlainValue = dict | list | str | int | float | bool | None
FieldPath = tuple[str | int, ...]
Report = Callable[[FieldPath, str], None]

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_TEXT_TAGS = ("!", "tag:yaml.org,2002:str")
_MAP_TAGS = (None, "!", "tag:yaml.org,2002:map")
_SEQUENCE_TAGS = (None, "!", "tag:yaml.org,2002:seq")


class _DiscardedKey:
    """Marker for the key of a value that is discarded."""


def read_yaml(text: str, *, report: Report) -> PlainValue:
    """Parse a text that holds one YAML document.

    Args:
        text: the full text.
        report: called with the path and the reason of each fault. The value at that
            path is None or missing in the result; all other data is returned.

    Raises:
        yaml.YAMLError: if the text isn't valid YAML or holds several documents.
    """
    builder = _DataBuilder(report=report)
    for event in yaml.parse(text, Loader=_Loader):
        builder.accept(event)
    return builder.result


@dataclass(slots=True)
class _OpenCollection:
    """Map or list whose end event has not been processed yet."""

    container: dict | list
    key: str | type[_DiscardedKey] | None = None
    """Key of the next value of a map; None if the next event is the key itself."""

    @property
    def awaits_key(self) -> bool:
        return self.key is None and isinstance(self.container, dict)

    @property
    def key_or_index(self) -> str | int | None:
        if isinstance(self.container, list):
            return len(self.container)
        return self.key if isinstance(self.key, str) else None

    def add(self, value: PlainValue) -> None:
        if isinstance(self.container, list):
            self.container.append(value)
            return
        if self.key is not _DiscardedKey:
            self.container[self.key] = value
        self.key = None


class _DataBuilder:
    """Event consumer; aliases aren't expanded, so the text bounds its memory use."""

    def __init__(self, *, report: Report):
        self.result: PlainValue = None
        self._report = report
        self._open: list[_OpenCollection] = []
        self._skipped_levels = 0
        self._documents = 0

    def accept(self, event: yaml.Event) -> None:
        match event:
            case yaml.CollectionStartEvent():
                self._start_collection(event)
            case yaml.CollectionEndEvent():
                self._end_collection()
            case yaml.DocumentStartEvent():
                self._start_document()
            case yaml.ScalarEvent() if not self._skipped_levels:
                self._add_scalar(event)
            case yaml.AliasEvent() if not self._skipped_levels:
                # Aliases are never expanded: nested ten levels deep, a few hundred
                # bytes would expand to billions of entries.
                self._reject(event, "aliases are not supported")

    def _start_document(self) -> None:
        self._documents += 1
        if self._documents > 1:
            raise yaml.YAMLError("more than one document in the file")

    def _start_collection(self, event: yaml.CollectionStartEvent) -> None:
        fault = None if self._skipped_levels else self._collection_fault(event)
        if fault is not None:
            self._report(self._path(), f"{fault} (line {_line(event)})")
        if fault is not None or self._skipped_levels:
            self._skipped_levels += 1
            return
        is_map = isinstance(event, yaml.MappingStartEvent)
        self._open.append(_OpenCollection({} if is_map else []))

    def _collection_fault(self, event: yaml.CollectionStartEvent) -> str | None:
        is_map = isinstance(event, yaml.MappingStartEvent)
        if self._open and self._open[-1].awaits_key:
            return "a key is not text"
        if event.tag not in (_MAP_TAGS if is_map else _SEQUENCE_TAGS):
            return f"tag {event.tag} is not supported"
        if len(self._open) >= MAX_NESTING_LEVELS:
            return f"nested deeper than {MAX_NESTING_LEVELS} levels"
        return None

    def _end_collection(self) -> None:
        if not self._skipped_levels:
            self._add_value(self._open.pop().container)
            return
        self._skipped_levels -= 1
        if not self._skipped_levels:
            self._add_missing_value()

    def _add_scalar(self, event: yaml.ScalarEvent) -> None:
        if self._open and self._open[-1].awaits_key:
            self._set_key(event)
            return
        if event.tag is not None and event.tag not in _TEXT_TAGS:
            self._reject(event, f"tag {event.tag} is not supported")
            return
        try:
            self._add_value(_scalar_value(event))
        except (yaml.YAMLError, ValueError, OverflowError) as error:
            self._reject(event, getattr(error, "problem", None) or str(error))

    def _set_key(self, event: yaml.ScalarEvent) -> None:
        collection = self._open[-1]
        try:
            is_text = isinstance(_scalar_value(event), str)
        except (yaml.YAMLError, ValueError, OverflowError):
            is_text = False
        if not is_text:
            path = (*self._path(), event.value)
            self._report(path, f"the key is no text; quote it (line {_line(event)})")
            collection.key = _DiscardedKey
        elif event.value in collection.container:
            path = (*self._path(), event.value)
            self._report(path, f"duplicate key (line {_line(event)})")
            collection.key = _DiscardedKey
        else:
            collection.key = event.value

    def _reject(self, event: yaml.Event, reason: str) -> None:
        self._report(self._path(), f"{reason} (line {_line(event)})")
        self._add_missing_value()

    def _add_value(self, value: PlainValue) -> None:
        if self._open:
            self._open[-1].add(value)
        else:
            self.result = value

    def _add_missing_value(self) -> None:
        if self._open and self._open[-1].awaits_key:
            self._open[-1].key = _DiscardedKey
        else:
            self._add_value(None)

    def _path(self) -> FieldPath:
        parts = (collection.key_or_index for collection in self._open)
        return tuple(part for part in parts if part is not None)


def _line(event: yaml.Event) -> int:
    return event.start_mark.line + 1


def _scalar_value(event: yaml.ScalarEvent) -> PlainValue:
    if event.tag is None and event.implicit[0]:
        return _plain_value(event.value)
    return event.value


@functools.lru_cache(maxsize=4096)
def _plain_value(text: str) -> PlainValue:
    """Return the value of an unquoted scalar.

    Only short texts are parsed as numbers: YAML 1.1 parses ``1:1:1...`` in base 60,
    and 1 MB of it would keep a node busy for minutes.
    """
    if len(text) > MAX_NUMBER_CHARS:
        return text
    for tag, pattern in _Loader.yaml_implicit_resolvers.get(text[:1], ()):
        if pattern.match(text):
            return SafeConstructor().construct_object(yaml.ScalarNode(tag, text))
    return text
