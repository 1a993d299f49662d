"""Checks of a document file before it is published."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from sassafraswinch.document import MAX_DOCUMENT_BYTES, Document, parse_document
from sassafraswinch.document_text import WHOLE_FILE
from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.labels import Operator, Requirement, Selector


@dataclass(frozen=True, slots=True, kw_only=True)
class Caution:
    """A field that is valid but probably a mistake."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def check_file(path: Path) -> list[InvalidFieldError]:
    """Return all faults of a document file; an empty list if it is valid."""
    try:
        read_document(path)
    except InvalidFieldsError as error:
        return list(error.exceptions)
    return []


def read_document(path: Path) -> Document:
    """Read a document file.

    Raises:
        InvalidFieldsError: The file can't be read, or is not a valid document. The
            group holds every fault.
    """
    try:
        with path.open("rb") as file:
            body = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        fault = InvalidFieldError(
            source=str(path), field=WHOLE_FILE, reason=f"can't be read: {error}"
        )
        raise InvalidFieldsError(f"{path} is invalid", [fault]) from error
    return parse_document(body, source=str(path))


@dataclass(frozen=True, slots=True, kw_only=True)
class _SelectorUse:
    """A selector, its field in the document, and the label sets it is matched with."""

    field: str
    selector: Selector
    subject: str
    label_sets: list[Mapping[str, str]]


def find_cautions(document: Document) -> list[Caution]:
    """Return a caution for each label in a selector that nothing in the document has.

    An unknown label is not a fault, because a later version of the document may
    add it. If it is a misspelling, however, requests fall through to a later
    class, or an action that must run at most once may be retried.
    """
    return [
        Caution(field=use.field, reason=reason)
        for use in _selector_uses(document)
        for requirement in use.selector.requirements
        for reason in _describe_unknown_labels(requirement, use)
    ]


def _selector_uses(document: Document) -> Iterator[_SelectorUse]:
    label_sets = {
        "organisation": [entry.labels for entry in document.organisations.values()],
        "caller": [entry.labels for entry in document.callers.values()],
        "operation": [entry.labels for entry in document.operations],
    }
    for entry in document.classes:
        for subject in label_sets:
            yield _SelectorUse(
                field=f"classes.{entry.order}.{subject}s",
                selector=getattr(entry, f"{subject}s"),
                subject=subject,
                label_sets=label_sets[subject],
            )
    for index, selector in enumerate(document.non_repeatable):
        yield _SelectorUse(
            field=f"non_repeatable.{index}",
            selector=selector,
            subject="operation",
            label_sets=label_sets["operation"],
        )


def _describe_unknown_labels(
    requirement: Requirement, use: _SelectorUse
) -> Iterator[str]:
    key = requirement.key
    known_values = {labels[key] for labels in use.label_sets if key in labels}
    if requirement.operator is Operator.ABSENT:
        return
    if not known_values:
        yield f"no {use.subject} has a label {key!r}"
        return
    for value in sorted(requirement.values - known_values):
        yield f"no {use.subject} has {key}={value}"
