"""Reading the text of a YAML or JSON file into plain data, with all its faults."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

import yaml

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.yaml_events import Plain, read_yaml

WHOLE_FILE = "(file)"
"""Field that a fault of the whole text is reported under."""

MAX_FAULTS = 1_000
"""Faults listed of one file; 1 MB of empty entries would give over a million."""

_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")


def dotted(path: Iterable[str | int]) -> str:
    """Return a field path as operators read it, such as ``classes.0.name``."""
    return ".".join(map(str, path)) or WHOLE_FILE


@dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of one file, gathered so that they are reported together."""

    source: str
    errors: list[InvalidFieldError] = field(default_factory=list)

    def add(self, path: Iterable[str | int], reason: str) -> None:
        """Record that the field at ``path`` is wrong.

        Raises:
            InvalidFieldsError: if more faults were found than are listed.
        """
        if len(self.errors) == MAX_FAULTS:
            path, reason = (), f"more than {MAX_FAULTS} faults; the rest isn't listed"
        self.errors.append(
            InvalidFieldError(source=self.source, field=dotted(path), reason=reason)
        )
        if len(self.errors) > MAX_FAULTS:
            self.raise_any()

    def raise_any(self) -> None:
        """Raise all recorded faults, if there are any.

        Raises:
            InvalidFieldsError: the faults, in the order they were found.
        """
        if self.errors:
            raise InvalidFieldsError(f"{self.source} is invalid", self.errors)


def parse_fields(body: bytes, *, faults: Faults) -> dict[str, Plain]:
    """Parse YAML or JSON text whose top level is a map.

    Duplicate keys, aliases, keys that are no text and deep nesting are recorded
    as faults; what is sound beside them is still returned.

    Raises:
        InvalidFieldsError: if the text as a whole can't be read.
    """
    try:
        text = body.decode("utf-8-sig")
        data = _parse_json(text) or read_yaml(text, report=faults.add)
    except UnicodeDecodeError as error:
        data = None
        faults.add((), f"not UTF-8 at byte {error.start}")
    except yaml.YAMLError as error:
        data = None
        faults.add((), f"not YAML: {_describe(error)}")
    if not isinstance(data, dict):
        if not faults.errors:
            faults.add((), "expected a map of fields")
        faults.raise_any()
    return data


def _parse_json(text: str) -> dict | None:
    """Return the data of plain JSON; None for all that YAML must look at.

    JSON is YAML, but its own parser takes a fraction of the time.
    """
    if not text.startswith("{") or _SURROGATE_ESCAPE.search(text):
        return None
    try:
        return json.loads(
            text, object_pairs_hook=_unique_pairs, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError):
        return None


def _unique_pairs(pairs: list[tuple[str, Plain]]) -> dict[str, Plain]:
    data = dict(pairs)
    if len(data) < len(pairs):
        raise ValueError("a key stands twice")
    return data


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def _describe(error: yaml.YAMLError) -> str:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error).replace("\n", " ")
    if mark is None:
        return problem
    return f"{problem} (line {mark.line + 1}, column {mark.column + 1})"
