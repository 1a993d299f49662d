"""JSON serialization of data classes; parse errors name every invalid field."""

from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError

Record = TypeVar("Record")


def parse_record(
    adapter: TypeAdapter[Record], body: bytes | str, *, source: str
) -> Record:
    """Parse a record from JSON; unknown fields are ignored.

    Args:
        adapter: type adapter of the data class.
        body: JSON text.
        source: address or file that the text came from, for error messages.

    Returns:
        The validated record.

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
    """Serialize a record as compact JSON for ``parse_record``."""
    return adapter.dump_json(record)
