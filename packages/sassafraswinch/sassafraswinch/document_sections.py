"""Validation of a document's sections, entry by entry and against one another."""

from collections.abc import Hashable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

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
from sassafraswinch.document_text import Faults, FieldPath, Plain
from sassafraswinch.labels import Selector
from sassafraswinch.paths import ambiguous_pairs, parse_path_template

Entry = TypeVar("Entry")
Place = TypeVar("Place", str, int)


@dataclass(frozen=True, slots=True, kw_only=True)
class Sections:
    """The valid entries of each section, by their key or place in the file."""

    top: DocumentFields | None
    """None where a field of the top level is wrong or missing."""
    organisations: dict[str, OrganisationFields]
    callers: dict[str, CallerFields]
    services: dict[str, ServiceFields]
    operations: dict[int, OperationFields]
    classes: dict[int, ClassFields]
    non_repeatable: dict[int, Selector]


_TOP = TypeAdapter(DocumentFields)
_ORGANISATION = TypeAdapter(OrganisationFields)
_CALLER = TypeAdapter(CallerFields)
_SERVICE = TypeAdapter(ServiceFields)
_OPERATION = TypeAdapter(OperationFields)
_CLASS = TypeAdapter(ClassFields)
_SELECTOR = TypeAdapter(SelectorText)
_IDENTITY_NAME = TypeAdapter(IdentityName)
_SERVICE_NAME = TypeAdapter(ServiceName)


def read_sections(data: Plain, *, faults: Faults) -> Sections:
    """Validate plain data as a document.

    One wrong field hides no fault of another: entries are validated apart, and
    those that are sound are checked against one another all the same.
    """
    raw = data if isinstance(data, dict) else {}
    if not isinstance(data, dict):
        if not faults.errors:
            faults.add((), "expected a map of fields")
        return Sections(
            top=None,
            organisations={},
            callers={},
            services={},
            operations={},
            classes={},
            non_repeatable={},
        )
    reader = _SectionReader(raw=raw, faults=faults)
    sections = Sections(
        top=reader.validate(_TOP, raw, ()),
        organisations=reader.by_name("organisations", _IDENTITY_NAME, _ORGANISATION),
        callers=reader.by_name("callers", _IDENTITY_NAME, _CALLER),
        services=reader.by_name("services", _SERVICE_NAME, _SERVICE),
        operations=reader.by_place("operations", _OPERATION),
        classes=reader.by_place("classes", _CLASS),
        non_repeatable=reader.by_place("non_repeatable", _SELECTOR),
    )
    _check_sections(sections, raw=raw, faults=faults)
    return sections


class _SectionReader(Generic[Entry]):
    def __init__(self, *, raw: Mapping[str, Plain], faults: Faults):
        self._raw = raw
        self._faults = faults

    def by_name(self, section, name_adapter, adapter) -> dict[str, Entry]:
        raw = self._raw.get(section)
        entries = raw.items() if isinstance(raw, dict) else ()
        return {
            name: entry
            for name, value in entries
            if self.validate(name_adapter, name, (section, name)) is not None
            and (entry := self.validate(adapter, value, (section, name))) is not None
        }

    def by_place(self, section, adapter) -> dict[int, Entry]:
        raw = self._raw.get(section)
        entries = enumerate(raw) if isinstance(raw, list) else ()
        return {
            place: entry
            for place, value in entries
            if (entry := self.validate(adapter, value, (section, place))) is not None
        }

    def validate(self, adapter: TypeAdapter, value, path: FieldPath) -> Entry | None:
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
    return fault["msg"]


def _check_sections(sections: Sections, *, raw, faults: Faults) -> None:
    _check_identity(sections, faults)
    _check_callers(sections, raw, faults)
    _check_operations(sections, raw, faults)
    _check_classes(sections, raw, faults)
    _check_non_repeatable(sections, raw, faults)


def _names(raw, section) -> frozenset[str]:
    """Return the names that a section declares, also those of faulty entries."""
    entries = raw.get(section)
    return frozenset(entries) if isinstance(entries, dict) else frozenset()


def _check_identity(sections: Sections, faults: Faults) -> None:
    if sections.top is None:
        return
    identity = sections.top.identity
    if identity.caller_header == identity.organisation_header:
        faults.add(
            ("identity", "organisation_header"), "the same header as caller_header"
        )


def _check_callers(sections: Sections, raw, faults: Faults) -> None:
    known = _names(raw, "organisations")
    for name, caller in sections.callers.items():
        if caller.organisation is not None and caller.organisation not in known:
            faults.add(
                ("callers", name, "organisation"),
                f"unknown organisation {caller.organisation!r}",
            )


def _check_operations(sections: Sections, raw, faults: Faults) -> None:
    known = _names(raw, "services")
    for place, operation in sections.operations.items():
        if operation.service not in known:
            faults.add(
                ("operations", place, "service"),
                f"unknown service {operation.service!r}",
            )
    _check_unique("operations", sections.operations, faults)
    _check_paths(sections.operations, faults)


def _check_unique(section: str, entries: Mapping[int, Entry], faults: Faults) -> None:
    first_places: dict[str, int] = {}
    for place, entry in entries.items():
        first = first_places.setdefault(entry.name, place)
        if first != place:
            faults.add(
                (section, place, "name"),
                f"{entry.name!r} is also the name of {section}.{first}",
            )


def _check_paths(operations: Mapping[int, OperationFields], faults: Faults) -> None:
    for group in _groups(
        operations.items(), key=lambda item: (item[1].service, item[1].method)
    ):
        templates = (
            (parse_path_template(operation.path), place) for place, operation in group
        )
        for first, second in ambiguous_pairs(templates):
            faults.add(
                ("operations", second, "path"),
                f"ambiguous with operations.{first} ({operations[first].path}): "
                "some paths match both, and neither is the more special one",
            )


def _groups(items: Iterable[Entry], *, key) -> Iterator[list[Entry]]:
    groups: dict[Hashable, list[Entry]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    yield from groups.values()


def _check_classes(sections: Sections, raw, faults: Faults) -> None:
    _check_unique("classes", sections.classes, faults)
    raw_classes = raw.get("classes")
    last = len(raw_classes) - 1 if isinstance(raw_classes, list) else -1
    for place, entry in sections.classes.items():
        matches_all = not any(
            selector.requirements
            for selector in (entry.organisations, entry.operations, entry.callers)
        )
        if place == last and not matches_all:
            faults.add(
                ("classes", place),
                "the last class must match every request: leave its selectors empty",
            )
        if place != last and matches_all:
            faults.add(
                ("classes", place),
                "matches every request, so no class after it is ever reached",
            )


def _check_non_repeatable(sections: Sections, raw, faults: Faults) -> None:
    """Refuse a selector without effect: a misspelt one lets approvals run twice."""
    raw_operations = raw.get("operations")
    total = len(raw_operations) if isinstance(raw_operations, list) else 0
    if len(sections.operations) < total:
        return
    for place, selector in sections.non_repeatable.items():
        if not any(
            selector.matches(operation.labels)
            for operation in sections.operations.values()
        ):
            faults.add(("non_repeatable", place), "matches no operation")
