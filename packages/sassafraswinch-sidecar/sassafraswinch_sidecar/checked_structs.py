"""Structs that check what comes in from outside, with every fault named.

msgspec checks while it decodes; building its types takes a hundredth of a second where
pydantic takes a quarter, and each start of a process pays for it: callers wait for a
host that is back, and after a loss of power all hosts start at once.
"""

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError

WHOLE_TEXT_FIELD = "(whole text)"
"""Stands for the field where the text as a whole is wrong."""

Checked = TypeVar("Checked", bound=msgspec.Struct)

_PLACE = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<path>.*)`)?", re.DOTALL)
_MISSING = re.compile(r"Object missing required field `(?P<name>[^`]*)`")


def parse_struct(kind: type[Checked], text: bytes, *, source: str) -> Checked:
    """Read a struct from JSON; fields that it doesn't declare are ignored.

    Args:
        kind: the struct.
        text: JSON.
        source: the address or file the text came from, for the errors.

    Raises:
        InvalidFieldsError: names the fields that are missing or wrong.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (ValueError, RecursionError) as error:
        found = list(_text_faults(kind, text)) or [(WHOLE_TEXT_FIELD, str(error))]
        raise invalid_fields_error(source, found) from error


def convert_struct(kind: type[Checked], raw: Any, *, source: str) -> Checked:
    """Check what was read from YAML; a field that isn't declared is a fault.

    Args:
        kind: the struct.
        raw: the fields by name.
        source: the file they came from, for the errors.

    Raises:
        InvalidFieldsError: names the fields that are missing, wrong or unknown.
    """
    if not isinstance(raw, dict):
        raise invalid_fields_error(
            source, [(WHOLE_TEXT_FIELD, "expected a mapping of fields")]
        )
    found = [*_field_faults(kind, raw), *_unknown_faults(kind, raw)]
    if found:
        raise invalid_fields_error(source, found)
    return msgspec.convert(raw, kind)


def invalid_fields_error(
    source: str, found: list[tuple[str, str]]
) -> InvalidFieldsError:
    """Return the error that names faults, each as its field and the reason."""
    errors = [
        InvalidFieldError(source=source, field=field, reason=reason)
        for field, reason in found
    ]
    return InvalidFieldsError(f"{source} can't be read", errors)


def _text_faults(kind: type[Checked], text: bytes) -> Iterator[tuple[str, str]]:
    """Yield the faults of the fields, if the text has any."""
    try:
        raw = msgspec.json.decode(text)
    except (ValueError, RecursionError):
        return
    if isinstance(raw, dict):
        yield from _field_faults(kind, raw)


def _field_faults(kind: type[Checked], raw: dict) -> Iterator[tuple[str, str]]:
    """Yield the first fault of each field."""
    for field in msgspec.structs.fields(kind):
        if field.name not in raw:
            if field.required:
                yield field.name, "missing"
            continue
        try:
            msgspec.convert(raw[field.name], field.type)
        except msgspec.ValidationError as error:
            yield _located(field.name, error)


def _unknown_faults(kind: type[Checked], raw: dict) -> Iterator[tuple[str, str]]:
    unknown = [name for name in raw if name not in kind.__struct_fields__]
    return ((str(name), "no such field") for name in unknown)


def _located(field: str, error: msgspec.ValidationError) -> tuple[str, str]:
    """Return the dotted path of a fault below a field, and what is wrong there."""
    found = _PLACE.fullmatch(str(error))
    path = re.sub(r"\[(\d+|\.\.\.)\]", r".\1", found["path"] or "")
    missing = _MISSING.match(found["reason"])
    if missing is not None:
        path += f".{missing['name']}"
    return (field + path).strip(".") or WHOLE_TEXT_FIELD, found["reason"]
