"""Checks of files before they are published."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

from sassafraswinch.document import MAX_DOCUMENT_BYTES, Document, parse_document
from sassafraswinch.document_text import WHOLE_FILE
from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.labels import Operator, Requirement, Selector


@dataclass(frozen=True, slots=True, kw_only=True)
class Caution:
    """A field that is valid, and yet is probably not what was meant."""

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


def check_file(path: Path) -> list[InvalidFieldError]:
    """Return every fault of a document file; none where it may be published."""
    try:
        read_document(path)
    except InvalidFieldsError as error:
        return list(error.exceptions)
    return []


def read_document(path: Path) -> Document:
    """Read a document file.

    Raises:
        InvalidFieldsError: every fault, also that the file can't be read.
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
class _Use:
    """A selector at its place in the document, and the labels it chooses among."""

    field: str
    selector: Selector
    noun: str
    label_sets: list[Mapping[str, str]]


def find_cautions(document: Document) -> list[Caution]:
    """Return the selectors that name a label which nothing in the document has.

    A misspelt value in a selector is no fault, for the label may come with a
    later version. But then a class loses its requests to the classes after it,
    or an action that must run at most once may be repeated.
    """
    return [
        Caution(field=use.field, reason=reason)
        for use in _uses(document)
        for requirement in use.selector.requirements
        for reason in _unknown_labels(requirement, use)
    ]


def _uses(document: Document) -> Iterator[_Use]:
    label_sets = {
        "organisation": [entry.labels for entry in document.organisations.values()],
        "caller": [entry.labels for entry in document.callers.values()],
        "operation": [entry.labels for entry in document.operations],
    }
    for entry in document.classes:
        for noun in label_sets:
            yield _Use(
                field=f"classes.{entry.order}.{noun}s",
                selector=getattr(entry, f"{noun}s"),
                noun=noun,
                label_sets=label_sets[noun],
            )
    for place, selector in enumerate(document.non_repeatable):
        yield _Use(
            field=f"non_repeatable.{place}",
            selector=selector,
            noun="operation",
            label_sets=label_sets["operation"],
        )


def _unknown_labels(requirement: Requirement, use: _Use) -> Iterator[str]:
    key = requirement.key
    known = {labels[key] for labels in use.label_sets if key in labels}
    if requirement.operator is Operator.ABSENT:
        return
    if not known:
        yield f"no {use.noun} has a label {key!r}"
        return
    for value in sorted(requirement.values - known):
        yield f"no {use.noun} has {key}={value}"
