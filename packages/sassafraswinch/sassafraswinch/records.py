"""Data classes to JSON and back, with every fault of a bad text named."""

from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError

Record = TypeVar("Record")


def parse_record(
    adapter: TypeAdapter[Record], body: bytes | str, *, source: str
) -> Record:
    """Read a record from JSON; fields that this version doesn't know are ignored.

    Args:
        adapter: says which data class the text must hold.
        body: JSON text.
        source: the address or file the text came from, for the errors.

    Returns:
        The record, with every field checked.

    Raises:
        InvalidFieldsError: names each field that is missing or wrong.
    """
    try:
        return adapter.validate_json(body)
    except ValidationError as error:
        faults = [
            InvalidFieldError(
                source=source,
                field=".".join(map(str, fault["loc"])) or "(whole text)",
                reason=fault["msg"],
            )
            for fault in error.errors(include_url=False, include_input=False)
        ]
        raise InvalidFieldsError(f"{source} can't be read", faults) from error


def serialize_record(adapter: TypeAdapter[Record], record: Record) -> bytes:
    """Write a record as compact JSON that ``parse_record`` reads back."""
    return adapter.dump_json(record)
