"""The document that operators publish: who calls, what is served, which class."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sassafraswinch.document_checks import check_sections
from sassafraswinch.document_fields import (
    ClassFields,
    DocumentFields,
    ObjectiveFields,
    OperationFields,
)
from sassafraswinch.document_sections import Sections, read_sections
from sassafraswinch.document_text import Faults, parse_fields
from sassafraswinch.labels import Selector

MAX_DOCUMENT_BYTES = 1_000_000
"""Longest body; the platform holds values up to a megabyte."""

Labels = Mapping[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Request headers that carry who calls, in lower case."""

    caller_header: str = "x-caller-id"
    organisation_header: str = "x-organisation-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer, paying or on trial."""

    name: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A person or device that sends requests."""

    name: str
    organisation: str | None = None
    """The only organisation it may name; None leaves it to the header."""
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A kind of backend server; slots and connections are those of one server."""

    name: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """What callers can ask of a service, found by method and path."""

    name: str
    service: str
    method: str
    path: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """What a class is promised: a share answered, each within a latency."""

    answered_percent: float
    latency_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceClass:
    """Requests that three selectors choose; a smaller order is refused later."""

    name: str
    order: int
    organisations: Selector = Selector()
    callers: Selector = Selector()
    operations: Selector = Selector()
    deadline_ms: int
    objective: Objective | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Bounds of retries."""

    allowance: int = 3
    """Retries of a whole request, counted over its call chain."""
    caller_share_percent: float = 10
    """Repeats that an organisation's callers may send per 100 first attempts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """One version of what operators publish, valid as a whole."""

    version: int
    body: bytes = field(repr=False)
    digest: str
    identity: Identity
    organisations: Mapping[str, Organisation]
    callers: Mapping[str, Caller]
    services: Mapping[str, Service]
    operations: tuple[Operation, ...]
    classes: tuple[ServiceClass, ...]
    """Most important first; the last one matches every request."""
    non_repeatable: tuple[Selector, ...]
    """An operation whose labels match any of them runs at most once."""
    retry: RetryPolicy


def digest(body: bytes) -> str:
    """Return 16 hex digits that tell one content of a version from another."""
    return hashlib.sha256(body).hexdigest()[:16]


def parse_document(body: bytes, *, source: str) -> Document:
    """Parse and check a document.

    Args:
        body: YAML or JSON text in UTF-8, at most ``MAX_DOCUMENT_BYTES``.
        source: where it came from, for the faults.

    Raises:
        InvalidFieldsError: every fault of the document.
    """
    faults = Faults(source=source)
    if len(body) > MAX_DOCUMENT_BYTES:
        faults.add((), f"{len(body)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed")
        faults.raise_any()
    raw = parse_fields(body, faults=faults)
    sections = read_sections(raw, faults=faults)
    check_sections(raw, non_repeatable=sections.non_repeatable, faults=faults)
    faults.raise_any()
    return _build(body, sections)


def _build(body: bytes, sections: Sections) -> Document:
    top: DocumentFields = sections.top
    return Document(
        version=top.version,
        body=body,
        digest=digest(body),
        identity=Identity(**dict(top.identity)),
        organisations={
            name: Organisation(name=name, labels=fields.labels)
            for name, fields in sections.organisations.items()
        },
        callers={
            name: Caller(name=name, **dict(fields))
            for name, fields in sections.callers.items()
        },
        services={
            name: Service(name=name, **dict(fields))
            for name, fields in sections.services.items()
        },
        operations=_operations(sections.operations.values()),
        classes=_classes(sections.classes.values()),
        non_repeatable=tuple(sections.non_repeatable.values()),
        retry=RetryPolicy(**dict(top.retry)),
    )


def _operations(entries: Iterable[OperationFields]) -> tuple[Operation, ...]:
    return tuple(Operation(**dict(fields)) for fields in entries)


def _classes(entries: Iterable[ClassFields]) -> tuple[ServiceClass, ...]:
    return tuple(
        ServiceClass(
            order=order,
            **{**dict(fields), "objective": _objective(fields.objective)},
        )
        for order, fields in enumerate(entries)
    )


def _objective(fields: ObjectiveFields | None) -> Objective | None:
    return Objective(**dict(fields)) if fields is not None else None
