"""Explanation of how a document classifies one request, as text or JSON."""

import dataclasses
import difflib
import enum
import json
from collections.abc import Iterator, Mapping

from sassafraswinch.classify import Classifier
from sassafraswinch.document import Document, Operation
from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.explanation import ClassResult, Explanation, SelectorResult
from sassafraswinch.identities import IdentityState

_HEADING_WIDTH = 14
_IDENTITY_TEXTS = {
    IdentityState.KNOWN: "known",
    IdentityState.UNKNOWN: "a name is missing or not listed, so it has no labels",
    IdentityState.MISMATCHED: (
        "mismatched: the caller belongs to another organisation, "
        "so neither's labels apply"
    ),
}


class UnknownOperationError(SassafraswinchError):
    """The document has no such operation.

    Attributes:
        operation: Name or request line that was given.
        similar: Similarly spelt operation names in the document.
    """

    def __init__(self, *, operation: str, similar: tuple[str, ...]):
        hint = f"; similar operations: {', '.join(similar)}" if similar else ""
        super().__init__(f"no operation {operation!r} in the document{hint}")
        self.operation = operation
        self.similar = similar


def explain_request(
    document: Document, caller: str, organisation: str, operation: str
) -> Explanation:
    """Return the labels, selector results, class and limits that apply to a request.

    Args:
        document: Document to classify the request with.
        caller: Value of the caller header; empty if the request has none.
        organisation: Value of the organisation header; empty if the request has none.
        operation: Name of an operation, or method and URL path of a request, such as
            ``POST /schvaleni/orders/7/approval``.

    Raises:
        UnknownOperationError: The document has no such operation.
    """
    classifier = Classifier(document=document)
    resolved = _find_operation(document, classifier, operation)
    return classifier.explain(
        caller=caller, organisation=organisation, operation=resolved
    )


def _find_operation(document: Document, classifier: Classifier, text: str) -> Operation:
    by_name = {operation.name: operation for operation in document.operations}
    method, _, url = text.partition(" ")
    service, _, path = url.strip().removeprefix("/").partition("/")
    found = by_name.get(text) or classifier.find_operation(service, method, f"/{path}")
    if found is None:
        similar = difflib.get_close_matches(text, by_name)
        raise UnknownOperationError(operation=text, similar=tuple(similar))
    return found


def render_json(explanation: Explanation) -> str:
    """Return an explanation as JSON, with a key for each attribute."""
    return json.dumps(dataclasses.asdict(explanation), default=_encode_enum, indent=2)


def _encode_enum(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"{type(value).__name__} cannot be serialized as JSON")


def render_text(explanation: Explanation) -> str:
    """Return an explanation as lines of text, without a trailing newline."""
    return "\n".join(_format_explanation(explanation))


def _format_explanation(explanation: Explanation) -> Iterator[str]:
    yield _format_line("document", f"version {explanation.document_version}")
    yield _format_line(
        "caller", _format_name(explanation.caller, explanation.caller_labels)
    )
    yield _format_line("organisation", _format_organisation(explanation))
    yield _format_line(
        "operation", _format_name(explanation.operation, explanation.operation_labels)
    )
    yield _format_line("identity", _IDENTITY_TEXTS[explanation.identity])
    yield ""
    for result in explanation.classes:
        yield from _format_class(result)
    yield ""
    for result in explanation.non_repeatable:
        yield _format_line("non-repeatable", _format_selector(result))
    yield _format_line("class", explanation.class_name)
    yield _format_line(
        "repeatable", "yes" if explanation.repeatable else "no, at most once"
    )
    yield _format_line("deadline", f"{explanation.deadline_ms} ms")
    yield _format_line(
        "retries", f"at most {explanation.allowance} in the whole call chain"
    )


def _format_organisation(explanation: Explanation) -> str:
    labels = explanation.organisation_labels
    if explanation.organisation or explanation.effective_organisation is None:
        return _format_name(explanation.organisation, labels)
    return (
        f"{_format_name(explanation.effective_organisation, labels)}, the caller's own"
    )


def _format_class(result: ClassResult) -> Iterator[str]:
    yield f"class {result.order} {result.name}: {_format_match(result.matched)}"
    for name, selector in (
        ("organisations", result.organisations),
        ("callers", result.callers),
        ("operations", result.operations),
    ):
        if selector.requirements:
            yield f"  {_format_line(name, _format_selector(selector))}"


def _format_line(heading: str, text: str) -> str:
    return f"{heading:<{_HEADING_WIDTH}} {text}"


def _format_name(name: str, labels: Mapping[str, str]) -> str:
    text = ", ".join(f"{key}={value}" for key, value in sorted(labels.items()))
    return f"{name or '(none)'} [{text or 'no labels'}]"


def _format_selector(result: SelectorResult) -> str:
    parts = "; ".join(
        f"{part.requirement}: {_format_match(part.matched)}"
        for part in result.requirements
    )
    return parts or "(matches all)"


def _format_match(matched: bool) -> str:
    return "matched" if matched else "no match"
