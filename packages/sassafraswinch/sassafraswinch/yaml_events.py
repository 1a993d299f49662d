"""Plain data from the events of a YAML parser, with the path of every fault.

PyYAML's own constructor expands aliases, keeps the last of two equal keys without a
word, and takes longer on a text of 1 MB than reading and checking it from events.
"""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import yaml
from yaml.constructor import SafeConstructor

MAX_DEPTH = 16
"""Levels of nesting; documents and settings need five."""

MAX_NUMBER_LENGTH = 40
"""Characters of the longest text that is read as a number, date or truth value."""

Plain = dict | list | str | int | float | bool | None
FieldPath = tuple[str | int, ...]
Report = Callable[[FieldPath, str], None]

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_TEXT_TAGS = ("!", "tag:yaml.org,2002:str")
_MAP_TAGS = (None, "!", "tag:yaml.org,2002:map")
_SEQUENCE_TAGS = (None, "!", "tag:yaml.org,2002:seq")


class _Dropped:
    """Stands for the key of a value that is read and thrown away."""


def read_yaml(text: str, *, report: Report) -> Plain:
    """Read the one YAML document of a text.

    Args:
        text: the whole text.
        report: called with path and reason of each fault; the entry concerned is
            None or left out, the rest is still returned.

    Raises:
        yaml.YAMLError: if the text isn't YAML.
    """
    builder = _Builder(report=report)
    for event in yaml.parse(text, Loader=_Loader):
        builder.accept(event)
    return builder.result


@dataclass(slots=True)
class _Open:
    """A map or list whose end has not been read yet."""

    container: dict | list
    key: str | type[_Dropped] | None = None
    """Key of a map's next value; None where the key itself is awaited."""

    @property
    def awaits_key(self) -> bool:
        return self.key is None and isinstance(self.container, dict)

    @property
    def place(self) -> str | int | None:
        if isinstance(self.container, list):
            return len(self.container)
        return self.key if isinstance(self.key, str) else None

    def put(self, value: Plain) -> None:
        if isinstance(self.container, list):
            self.container.append(value)
            return
        if self.key is not _Dropped:
            self.container[self.key] = value
        self.key = None


class _Builder:
    """Consumer of events; what it holds grows with the text, never with aliases."""

    def __init__(self, *, report: Report):
        self.result: Plain = None
        self._report = report
        self._open: list[_Open] = []
        self._skipped_levels = 0
        self._documents = 0

    def accept(self, event: yaml.Event) -> None:
        match event:
            case yaml.CollectionStartEvent():
                self._start(event)
            case yaml.CollectionEndEvent():
                self._end()
            case yaml.DocumentStartEvent():
                self._start_document()
            case yaml.ScalarEvent() if not self._skipped_levels:
                self._scalar(event)
            case yaml.AliasEvent() if not self._skipped_levels:
                # One alias inside another's anchor, ten levels deep, would expand
                # a few hundred bytes to billions of entries, so none is expanded.
                self._refuse(event, "aliases are not supported")

    def _start_document(self) -> None:
        self._documents += 1
        if self._documents > 1:
            raise yaml.YAMLError("more than one document in the file")

    def _start(self, event: yaml.CollectionStartEvent) -> None:
        fault = None if self._skipped_levels else self._collection_fault(event)
        if fault is not None:
            self._report(self._path(), f"{fault} (line {_line(event)})")
        if fault is not None or self._skipped_levels:
            self._skipped_levels += 1
            return
        is_map = isinstance(event, yaml.MappingStartEvent)
        self._open.append(_Open({} if is_map else []))

    def _collection_fault(self, event: yaml.CollectionStartEvent) -> str | None:
        is_map = isinstance(event, yaml.MappingStartEvent)
        if self._open and self._open[-1].awaits_key:
            return "a key is no text"
        if event.tag not in (_MAP_TAGS if is_map else _SEQUENCE_TAGS):
            return f"tag {event.tag} is not supported"
        if len(self._open) >= MAX_DEPTH:
            return f"nested deeper than {MAX_DEPTH} levels"
        return None

    def _end(self) -> None:
        if not self._skipped_levels:
            self._put(self._open.pop().container)
            return
        self._skipped_levels -= 1
        if not self._skipped_levels:
            self._put_nothing()

    def _scalar(self, event: yaml.ScalarEvent) -> None:
        if self._open and self._open[-1].awaits_key:
            self._key(event)
            return
        if event.tag is not None and event.tag not in _TEXT_TAGS:
            self._refuse(event, f"tag {event.tag} is not supported")
            return
        try:
            self._put(_scalar_value(event))
        except (yaml.YAMLError, ValueError, OverflowError) as error:
            self._refuse(event, getattr(error, "problem", None) or str(error))

    def _key(self, event: yaml.ScalarEvent) -> None:
        holder = self._open[-1]
        try:
            is_text = isinstance(_scalar_value(event), str)
        except (yaml.YAMLError, ValueError, OverflowError):
            is_text = False
        if not is_text:
            path = (*self._path(), event.value)
            self._report(path, f"the key is no text; quote it (line {_line(event)})")
            holder.key = _Dropped
        elif event.value in holder.container:
            path = (*self._path(), event.value)
            self._report(path, f"stands twice (line {_line(event)})")
            holder.key = _Dropped
        else:
            holder.key = event.value

    def _refuse(self, event: yaml.Event, reason: str) -> None:
        self._report(self._path(), f"{reason} (line {_line(event)})")
        self._put_nothing()

    def _put(self, value: Plain) -> None:
        if self._open:
            self._open[-1].put(value)
        else:
            self.result = value

    def _put_nothing(self) -> None:
        if self._open and self._open[-1].awaits_key:
            self._open[-1].key = _Dropped
        else:
            self._put(None)

    def _path(self) -> FieldPath:
        places = (holder.place for holder in self._open)
        return tuple(place for place in places if place is not None)


def _line(event: yaml.Event) -> int:
    return event.start_mark.line + 1


def _scalar_value(event: yaml.ScalarEvent) -> Plain:
    if event.tag is None and event.implicit[0]:
        return _plain_value(event.value)
    return event.value


@functools.lru_cache(maxsize=4096)
def _plain_value(text: str) -> Plain:
    """Return the value of an unquoted scalar.

    Only short texts are taken for numbers: YAML 1.1 reads ``1:1:1...`` in base
    60, and 1 MB of it would keep a node busy for minutes.
    """
    if len(text) > MAX_NUMBER_LENGTH:
        return text
    for tag, pattern in _Loader.yaml_implicit_resolvers.get(text[:1], ()):
        if pattern.match(text):
            return SafeConstructor().construct_object(yaml.ScalarNode(tag, text))
    return text
