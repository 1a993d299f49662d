"""Validation of a document's sections, each entry by itself."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from sassafraswinch.document_fields import (
    CallerFields,
    ClassFields,
    DocumentFields,
    IdentityName,
    OperationFields,
    OrganisationFields,
    SelectorText,
    ServiceFields,
    ServiceName,
)
from sassafraswinch.document_text import Faults
from sassafraswinch.labels import Selector
from sassafraswinch.yaml_events import FieldPath, Plain

Entry = TypeVar("Entry")

_TOP = TypeAdapter(DocumentFields)
_ORGANISATION = TypeAdapter(OrganisationFields)
_CALLER = TypeAdapter(CallerFields)
_SERVICE = TypeAdapter(ServiceFields)
_OPERATION = TypeAdapter(OperationFields)
_CLASS = TypeAdapter(ClassFields)
_SELECTOR = TypeAdapter(SelectorText)
_IDENTITY_NAME = TypeAdapter(IdentityName)
_SERVICE_NAME = TypeAdapter(ServiceName)


@dataclass(frozen=True, slots=True, kw_only=True)
class Sections:
    """The valid entries of each section, by their key or place in the file."""

    top: DocumentFields | None = None
    """None where a field of the top level is wrong or missing."""
    organisations: Mapping[str, OrganisationFields] = field(default_factory=dict)
    callers: Mapping[str, CallerFields] = field(default_factory=dict)
    services: Mapping[str, ServiceFields] = field(default_factory=dict)
    operations: Mapping[int, OperationFields] = field(default_factory=dict)
    classes: Mapping[int, ClassFields] = field(default_factory=dict)
    non_repeatable: Mapping[int, Selector] = field(default_factory=dict)


def read_sections(raw: Mapping[str, Plain], *, faults: Faults) -> Sections:
    """Validate the sections of a document.

    Entries are validated apart, so that a wrong field of one hides no fault of
    another.
    """
    reader = _SectionReader(raw=raw, faults=faults)
    return Sections(
        top=reader.validate(_TOP, raw, ()),
        organisations=reader.by_name("organisations", _IDENTITY_NAME, _ORGANISATION),
        callers=reader.by_name("callers", _IDENTITY_NAME, _CALLER),
        services=reader.by_name("services", _SERVICE_NAME, _SERVICE),
        operations=reader.by_place("operations", _OPERATION),
        classes=reader.by_place("classes", _CLASS),
        non_repeatable=reader.by_place("non_repeatable", _SELECTOR),
    )


class _SectionReader:
    def __init__(self, *, raw: Mapping[str, Plain], faults: Faults):
        self._raw = raw
        self._faults = faults

    def by_name(
        self, section: str, names: TypeAdapter, adapter: TypeAdapter[Entry]
    ) -> dict[str, Entry]:
        """Return the valid entries of a map, by name."""
        raw = self._raw.get(section)
        entries = raw if isinstance(raw, dict) else {}
        for name in entries:
            self.validate(names, name, (section, name))
        return self._valid(adapter, section, entries)

    def by_place(self, section: str, adapter: TypeAdapter[Entry]) -> dict[int, Entry]:
        """Return the valid entries of a list, by place."""
        raw = self._raw.get(section)
        entries = raw if isinstance(raw, list) else []
        return self._valid(adapter, section, dict(enumerate(entries)))

    def _valid(self, adapter: TypeAdapter[Entry], section: str, entries) -> dict:
        valid = {
            place: self.validate(adapter, value, (section, place))
            for place, value in entries.items()
        }
        return {place: entry for place, entry in valid.items() if entry is not None}

    def validate(
        self, adapter: TypeAdapter[Entry], value: Plain, path: FieldPath
    ) -> Entry | None:
        """Return the validated value; None with the faults recorded."""
        try:
            return adapter.validate_python(value)
        except ValidationError as error:
            for fault in error.errors(include_url=False, include_input=False):
                self._faults.add((*path, *_location(fault)), _reason(fault))
        return None


def _location(fault) -> FieldPath:
    return tuple(part for part in fault["loc"] if part != "[key]")


def _reason(fault) -> str:
    match fault["type"]:
        case "extra_forbidden":
            return "unknown field"
        case "missing":
            return "missing"
        case "string_type":
            return "expected text; quote it"
        case "string_pattern_mismatch":
            return f"does not match {fault['ctx']['pattern']}"
        case "value_error":
            return str(fault["ctx"]["error"])
        case "model_type" | "dict_type":
            return "expected a map"
    return fault["msg"].replace("Input should be", "should be")
