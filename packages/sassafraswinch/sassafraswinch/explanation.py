"""How a classification came about: every selector tried, with its result."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from sassafraswinch.document import Document, Operation, ServiceClass
from sassafraswinch.identities import IdentityState, RequestIdentity, identify
from sassafraswinch.labels import Selector


@dataclass(frozen=True, slots=True, kw_only=True)
class RequirementTrial:
    """One requirement of a selector, tried on labels."""

    requirement: str
    matched: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectorTrial:
    """One selector tried on one set of labels."""

    selector: str
    matched: bool
    requirements: tuple[RequirementTrial, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassTrial:
    """One class tried on a request."""

    name: str
    order: int
    matched: bool
    """Whether all three selectors matched."""
    organisations: SelectorTrial
    callers: SelectorTrial
    operations: SelectorTrial


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """What the document says about one request, and why."""

    document_version: int
    caller: str
    """As the request names it; empty where it names none."""
    organisation: str
    """As the request names it; empty where it names none."""
    effective_organisation: str | None
    """The listed one whose labels count; None where none do."""
    operation: str
    identity: IdentityState
    caller_labels: Mapping[str, str]
    organisation_labels: Mapping[str, str]
    operation_labels: Mapping[str, str]
    classes: tuple[ClassTrial, ...]
    """Classes in order, up to the first that matched."""
    non_repeatable: tuple[SelectorTrial, ...]
    class_name: str
    repeatable: bool
    deadline_ms: int
    allowance: int


def explain(
    document: Document, *, caller: str, organisation: str, operation: Operation
) -> Explanation:
    """Return every selector tried on a request, with its result."""
    known = identify(document, caller=caller, organisation=organisation)
    classes = tuple(_try_classes(document.classes, known, operation))
    non_repeatable = tuple(
        _try(selector, operation.labels) for selector in document.non_repeatable
    )
    return Explanation(
        document_version=document.version,
        caller=caller,
        organisation=organisation,
        effective_organisation=known.organisation.name or None,
        operation=operation.name,
        identity=known.state,
        caller_labels=known.caller.labels,
        organisation_labels=known.organisation.labels,
        operation_labels=operation.labels,
        classes=classes,
        non_repeatable=non_repeatable,
        class_name=classes[-1].name,
        repeatable=not any(trial.matched for trial in non_repeatable),
        deadline_ms=document.classes[classes[-1].order].deadline_ms,
        allowance=document.retry.allowance,
    )


def _try_classes(
    classes: Iterable[ServiceClass], known: RequestIdentity, operation: Operation
) -> Iterator[ClassTrial]:
    for entry in classes:
        organisations = _try(entry.organisations, known.organisation.labels)
        callers = _try(entry.callers, known.caller.labels)
        operations = _try(entry.operations, operation.labels)
        matched = organisations.matched and callers.matched and operations.matched
        yield ClassTrial(
            name=entry.name,
            order=entry.order,
            matched=matched,
            organisations=organisations,
            callers=callers,
            operations=operations,
        )
        if matched:
            return


def _try(selector: Selector, labels: Mapping[str, str]) -> SelectorTrial:
    return SelectorTrial(
        selector=str(selector),
        matched=selector.matches(labels),
        requirements=tuple(
            RequirementTrial(
                requirement=str(requirement), matched=requirement.matches(labels)
            )
            for requirement in selector.requirements
        ),
    )
