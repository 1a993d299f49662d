"""Validation of the sections of a document, entry by entry."""

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
from sassafraswinch.yaml_events import FieldPath, PlainValue

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
    """Valid entries of each section, by their key or index in the section."""

    top: DocumentFields | None = None
    """Top-level fields; None if one of them is invalid or missing."""
    organisations: Mapping[str, OrganisationFields] = field(default_factory=dict)
    callers: Mapping[str, CallerFields] = field(default_factory=dict)
    services: Mapping[str, ServiceFields] = field(default_factory=dict)
    operations: Mapping[int, OperationFields] = field(default_factory=dict)
    classes: Mapping[int, ClassFields] = field(default_factory=dict)
    non_repeatable: Mapping[int, Selector] = field(default_factory=dict)


def read_sections(raw: Mapping[str, PlainValue], *, faults: Faults) -> Sections:
    """Validate the sections of a document.

    Each entry is validated separately, so that an invalid field in one entry doesn't
    hide the faults of another.
    """
    validator = _SectionValidator(raw=raw, faults=faults)
    return Sections(
        top=validator.validate(_TOP, raw, ()),
        organisations=validator.by_name("organisations", _IDENTITY_NAME, _ORGANISATION),
        callers=validator.by_name("callers", _IDENTITY_NAME, _CALLER),
        services=validator.by_name("services", _SERVICE_NAME, _SERVICE),
        operations=validator.by_index("operations", _OPERATION),
        classes=validator.by_index("classes", _CLASS),
        non_repeatable=validator.by_index("non_repeatable", _SELECTOR),
    )


class _SectionValidator:
    def __init__(self, *, raw: Mapping[str, PlainValue], faults: Faults):
        self._raw = raw
        self._faults = faults

    def by_name(
        self, section: str, name_adapter: TypeAdapter, adapter: TypeAdapter[Entry]
    ) -> dict[str, Entry]:
        """Return the valid entries of a section that is a map, by name."""
        raw = self._raw.get(section)
        entries = raw if isinstance(raw, dict) else {}
        for name in entries:
            self.validate(name_adapter, name, (section, name))
        return self._validate_entries(adapter, section, entries)

    def by_index(self, section: str, adapter: TypeAdapter[Entry]) -> dict[int, Entry]:
        """Return the valid entries of a section that is a list, by index."""
        raw = self._raw.get(section)
        entries = raw if isinstance(raw, list) else []
        return self._validate_entries(adapter, section, dict(enumerate(entries)))

    def _validate_entries(
        self, adapter: TypeAdapter[Entry], section: str, entries
    ) -> dict:
        valid = {
            key: self.validate(adapter, value, (section, key))
            for key, value in entries.items()
        }
        return {key: entry for key, entry in valid.items() if entry is not None}

    def validate(
        self, adapter: TypeAdapter[Entry], value: PlainValue, path: FieldPath
    ) -> Entry | None:
        """Return the validated value, or record its faults and return None."""
        try:
            return adapter.validate_python(value)
        except ValidationError as error:
            for fault in error.errors(include_url=False, include_input=False):
                self._faults.add((*path, *_fault_path(fault)), _fault_reason(fault))
        return None


def _fault_path(fault) -> FieldPath:
    return tuple(part for part in fault["loc"] if part != "[key]")


def _fault_reason(fault) -> str:
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
