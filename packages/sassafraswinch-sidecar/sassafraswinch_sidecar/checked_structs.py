"""Validation of external data against msgspec structs, with an error for each field.

msgspec validates while it decodes. Building its types takes a hundredth of a second,
where pydantic takes a quarter of a second. Each process start pays this cost: callers
wait for a restarted host, and after a power failure all hosts start at once.
"""

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError

WHOLE_TEXT_FIELD = "(whole text)"
"""Field name in errors that concern the text as a whole, not one field."""

Checked = TypeVar("Checked", bound=msgspec.Struct)

_PLACE = re.compile(r"(?P<reason>.*?)(?: - at `\$(?P<path>.*)`)?", re.DOTALL)
_MISSING = re.compile(r"Object missing required field `(?P<name>[^`]*)`")


def parse_struct(kind: type[Checked], text: bytes, *, source: str) -> Checked:
    """Decode a struct from JSON; undeclared fields are ignored.

    Args:
        kind: the type of the struct.
        text: the JSON text.
        source: address or file of the text, for the errors.

    Raises:
        InvalidFieldsError: names the missing and invalid fields.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except (ValueError, RecursionError) as error:
        faults = list(_text_faults(kind, text)) or [(WHOLE_TEXT_FIELD, str(error))]
        raise invalid_fields_error(source, faults) from error


def convert_struct(kind: type[Checked], raw: Any, *, source: str) -> Checked:
    """Convert parsed YAML to a struct; an undeclared field is an error.

    Args:
        kind: the type of the struct.
        raw: the fields by name.
        source: the file that they were read from, for the errors.

    Raises:
        InvalidFieldsError: names the missing, invalid and unknown fields.
    """
    if not isinstance(raw, dict):
        raise invalid_fields_error(
            source, [(WHOLE_TEXT_FIELD, "expected a mapping of fields")]
        )
    faults = [*_field_faults(kind, raw), *_unknown_faults(kind, raw)]
    if faults:
        raise invalid_fields_error(source, faults)
    return msgspec.convert(raw, kind)


def invalid_fields_error(
    source: str, faults: list[tuple[str, str]]
) -> InvalidFieldsError:
    """Return the error for a list of faults, each a field and a reason."""
    errors = [
        InvalidFieldError(source=source, field=field, reason=reason)
        for field, reason in faults
    ]
    return InvalidFieldsError(f"{source} has invalid fields", errors)


def _text_faults(kind: type[Checked], text: bytes) -> Iterator[tuple[str, str]]:
    """Yield the faults of the fields if the text is a JSON object."""
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
    return ((str(name), "unknown field") for name in unknown)


def _located(field: str, error: msgspec.ValidationError) -> tuple[str, str]:
    """Return the dotted path of a validation error below a field, and its reason."""
    match = _PLACE.fullmatch(str(error))
    path = re.sub(r"\[(\d+|\.\.\.)\]", r".\1", match["path"] or "")
    missing = _MISSING.match(match["reason"])
    if missing is not None:
        path += f".{missing['name']}"
    return (field + path).strip(".") or WHOLE_TEXT_FIELD, match["reason"]
