"""Parser of YAML and JSON files that collects all faults of a file."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

import yaml

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.yaml_events import PlainValue, read_yaml

WHOLE_FILE = "(file)"
"""Field name reported for a fault that concerns the whole file."""

MAX_FAULTS = 1_000
"""Faults reported of one file; 1 MB of empty entries would give over a million."""

_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")


def format_field_path(path: Iterable[str | int]) -> str:
    """Return a field path in dotted form, such as ``classes.0.name``."""
    return ".".join(map(str, path)) or WHOLE_FILE


@dataclass(slots=True, kw_only=True)
class Faults:
    """Collector of the faults of one file, which are raised together."""

    source: str
    errors: list[InvalidFieldError] = field(default_factory=list)

    def add(self, path: Iterable[str | int], reason: str) -> None:
        """Record that the field at ``path`` is invalid.

        Raises:
            InvalidFieldsError: if there are more than ``MAX_FAULTS`` faults.
        """
        if len(self.errors) == MAX_FAULTS:
            path, reason = (), f"more than {MAX_FAULTS} faults; the rest is omitted"
        self.errors.append(
            InvalidFieldError(
                source=self.source, field=format_field_path(path), reason=reason
            )
        )
        if len(self.errors) > MAX_FAULTS:
            self.raise_any()

    def raise_any(self) -> None:
        """Raise all recorded faults, if there are any.

        Raises:
            InvalidFieldsError: if there are faults, in the order of detection.
        """
        if self.errors:
            raise InvalidFieldsError(f"{self.source} is invalid", self.errors)


def parse_fields(body: bytes, *, faults: Faults) -> dict[str, PlainValue]:
    """Parse YAML or JSON text whose top level is a map.

    Duplicate keys, aliases, keys that aren't text and deep nesting are recorded as
    faults; all other data is still returned.

    Raises:
        InvalidFieldsError: if the text can't be parsed or its top level isn't a map.
    """
    try:
        text = body.decode("utf-8-sig")
        data = _parse_json(text) or read_yaml(text, report=faults.add)
    except UnicodeDecodeError as error:
        data = None
        faults.add((), f"not UTF-8 at byte {error.start}")
    except yaml.YAMLError as error:
        data = None
        faults.add((), f"not YAML: {_describe_yaml_error(error)}")
    if not isinstance(data, dict):
        if not faults.errors:
            faults.add((), "expected a map of fields")
        faults.raise_any()
    return data


def _parse_json(text: str) -> dict | None:
    """Return the data of valid JSON; None if the YAML parser must read the text.

    JSON is a subset of YAML, but the JSON parser takes a fraction of the time.
    """
    if not text.startswith("{") or _SURROGATE_ESCAPE.search(text):
        return None
    try:
        return json.loads(
            text,
            object_pairs_hook=_dict_of_unique_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError):
        return None


def _dict_of_unique_keys(pairs: list[tuple[str, PlainValue]]) -> dict[str, PlainValue]:
    data = dict(pairs)
    if len(data) < len(pairs):
        raise ValueError("duplicate key in a JSON object")
    return data


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")


def _describe_yaml_error(error: yaml.YAMLError) -> str:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None) or str(error).replace("\n", " ")
    if mark is None:
        return problem
    return f"{problem} (line {mark.line + 1}, column {mark.column + 1})"
