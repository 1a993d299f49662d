"""Explanation of a classification: the result of every selector evaluated."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from sassafraswinch.document import Document, Operation, ServiceClass
from sassafraswinch.identities import IdentityState, RequestIdentity, identify
from sassafraswinch.labels import Selector


@dataclass(frozen=True, slots=True, kw_only=True)
class RequirementResult:
    """Result of matching one requirement of a selector against labels."""

    requirement: str
    matched: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectorResult:
    """Result of matching a selector against one set of labels."""

    selector: str
    matched: bool
    requirements: tuple[RequirementResult, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassResult:
    """Result of matching a class against a request."""

    name: str
    order: int
    matched: bool
    """Whether all three selectors matched."""
    organisations: SelectorResult
    callers: SelectorResult
    operations: SelectorResult


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Classification of one request, with the selector results behind it."""

    document_version: int
    caller: str
    """Caller that the request names; empty if it names none."""
    organisation: str
    """Organisation that the request names; empty if it names none."""
    effective_organisation: str | None
    """Listed organisation whose labels are matched; None if there is none."""
    operation: str
    identity: IdentityState
    caller_labels: Mapping[str, str]
    organisation_labels: Mapping[str, str]
    operation_labels: Mapping[str, str]
    classes: tuple[ClassResult, ...]
    """Classes evaluated, in order, up to the first that matched."""
    non_repeatable: tuple[SelectorResult, ...]
    class_name: str
    repeatable: bool
    deadline_ms: int
    allowance: int


def explain(
    document: Document, *, caller: str, organisation: str, operation: Operation
) -> Explanation:
    """Return the result of every selector evaluated for a request."""
    identified = identify(document, caller=caller, organisation=organisation)
    classes = tuple(_match_classes(document.classes, identified, operation))
    non_repeatable = tuple(
        _match_selector(selector, operation.labels)
        for selector in document.non_repeatable
    )
    return Explanation(
        document_version=document.version,
        caller=caller,
        organisation=organisation,
        effective_organisation=identified.organisation.name or None,
        operation=operation.name,
        identity=identified.state,
        caller_labels=identified.caller.labels,
        organisation_labels=identified.organisation.labels,
        operation_labels=operation.labels,
        classes=classes,
        non_repeatable=non_repeatable,
        class_name=classes[-1].name,
        repeatable=not any(result.matched for result in non_repeatable),
        deadline_ms=document.classes[classes[-1].order].deadline_ms,
        allowance=document.retry.allowance,
    )


def _match_classes(
    classes: Iterable[ServiceClass], identified: RequestIdentity, operation: Operation
) -> Iterator[ClassResult]:
    for service_class in classes:
        organisations = _match_selector(
            service_class.organisations, identified.organisation.labels
        )
        callers = _match_selector(service_class.callers, identified.caller.labels)
        operations = _match_selector(service_class.operations, operation.labels)
        matched = organisations.matched and callers.matched and operations.matched
        yield ClassResult(
            name=service_class.name,
            order=service_class.order,
            matched=matched,
            organisations=organisations,
            callers=callers,
            operations=operations,
        )
        if matched:
            return


def _match_selector(selector: Selector, labels: Mapping[str, str]) -> SelectorResult:
    return SelectorResult(
        selector=str(selector),
        matched=selector.matches(labels),
        requirements=tuple(
            RequirementResult(
                requirement=str(requirement), matched=requirement.matches(labels)
            )
            for requirement in selector.requirements
        ),
    )
