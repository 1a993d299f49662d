"""Operators' document: organisations, callers, services, operations and classes."""

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
"""Longest document body; the platform stores values of up to a megabyte."""

Labels = Mapping[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Names of the request headers that identify the caller, in lower case."""

    caller_header: str = "x-caller-id"
    organisation_header: str = "x-organisation-id"


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Organisation that callers belong to, for example a paying or a trial one."""

    name: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Person or device that sends requests."""

    name: str
    organisation: str | None = None
    """Only organisation that its requests may name; None accepts the header's value."""
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service that backend servers run; slots and connections are per server."""

    name: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """Operation of a service, identified by HTTP method and path template."""

    name: str
    service: str
    method: str
    path: str
    labels: Labels = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Service-level objective: share of requests answered within a latency."""

    answered_percent: float
    latency_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceClass:
    """Class of requests that match three selectors.

    Under load, classes with a greater order are refused before those with a smaller.
    """

    name: str
    order: int
    organisations: Selector = Selector()
    callers: Selector = Selector()
    operations: Selector = Selector()
    deadline_ms: int
    objective: Objective | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Limits on retries."""

    allowance: int = 3
    """Retries of a root request, counted over its call chain."""
    caller_share_percent: float = 10
    """Retries that an organisation's callers may send per 100 first attempts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """One valid version of the document that operators publish."""

    version: int
    body: bytes = field(repr=False)
    digest: str
    identity: Identity
    organisations: Mapping[str, Organisation]
    callers: Mapping[str, Caller]
    services: Mapping[str, Service]
    operations: tuple[Operation, ...]
    classes: tuple[ServiceClass, ...]
    """Classes, most important first; the last one matches every request."""
    non_repeatable: tuple[Selector, ...]
    """Selectors of operations that run at most once: those that match any of them."""
    retry: RetryPolicy


def digest(body: bytes) -> str:
    """Return 16 hex digits that distinguish two contents of the same version."""
    return hashlib.sha256(body).hexdigest()[:16]


def parse_document(body: bytes, *, source: str) -> Document:
    """Parse and validate a document.

    Args:
        body: YAML or JSON text in UTF-8, at most ``MAX_DOCUMENT_BYTES``.
        source: origin of the document, reported with each fault.

    Raises:
        InvalidFieldsError: if the document is invalid, with every fault.
    """
    faults = Faults(source=source)
    if len(body) > MAX_DOCUMENT_BYTES:
        faults.add((), f"{len(body)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed")
        faults.raise_any()
    raw = parse_fields(body, faults=faults)
    sections = read_sections(raw, faults=faults)
    check_sections(raw, non_repeatable=sections.non_repeatable, faults=faults)
    faults.raise_any()
    return _build_document(body, sections)


def _build_document(body: bytes, sections: Sections) -> Document:
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
        operations=_build_operations(sections.operations.values()),
        classes=_build_classes(sections.classes.values()),
        non_repeatable=tuple(sections.non_repeatable.values()),
        retry=RetryPolicy(**dict(top.retry)),
    )


def _build_operations(entries: Iterable[OperationFields]) -> tuple[Operation, ...]:
    return tuple(Operation(**dict(fields)) for fields in entries)


def _build_classes(entries: Iterable[ClassFields]) -> tuple[ServiceClass, ...]:
    return tuple(
        ServiceClass(
            order=order,
            **{**dict(fields), "objective": _build_objective(fields.objective)},
        )
        for order, fields in enumerate(entries)
    )


def _build_objective(fields: ObjectiveFields | None) -> Objective | None:
    return Objective(**dict(fields)) if fields is not None else None
