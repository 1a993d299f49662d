"""What a document says about one request, for operators and scripts."""

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

_LABEL_WIDTH = 14
_IDENTITY_TEXTS = {
    IdentityState.KNOWN: "known",
    IdentityState.UNKNOWN: "a name is missing or not listed, so it has no labels",
    IdentityState.MISMATCHED: (
        "mismatched: the caller belongs to another organisation, so no labels count"
    ),
}


class UnknownOperationError(SassafraswinchError):
    """The document has no such operation.

    Attributes:
        operation: what was asked for.
        similar: names of operations that look like it.
    """

    def __init__(self, *, operation: str, similar: tuple[str, ...]):
        hint = f"; similar: {', '.join(similar)}" if similar else ""
        super().__init__(f"no operation {operation!r} in the document{hint}")
        self.operation = operation
        self.similar = similar


def explain_request(
    document: Document, caller: str, organisation: str, operation: str
) -> Explanation:
    """Return the labels, selectors, class and bounds of a request.

    Args:
        document: the document to go by.
        caller: value of the caller header; empty where there is none.
        organisation: value of the organisation header; empty likewise.
        operation: name of an operation, or a request as callers send it, such as
            ``POST /schvaleni/orders/7/approval``.

    Raises:
        UnknownOperationError: if the document has no such operation.
    """
    classifier = Classifier(document=document)
    found = _find_operation(document, classifier, operation)
    return classifier.explain(caller=caller, organisation=organisation, operation=found)


def _find_operation(document: Document, classifier: Classifier, text: str) -> Operation:
    by_name = {operation.name: operation for operation in document.operations}
    method, _, url = text.partition(" ")
    service, _, rest = url.strip().removeprefix("/").partition("/")
    found = by_name.get(text) or classifier.find_operation(service, method, f"/{rest}")
    if found is None:
        similar = difflib.get_close_matches(text, by_name)
        raise UnknownOperationError(operation=text, similar=tuple(similar))
    return found


def render_json(explanation: Explanation) -> str:
    """Return an explanation as JSON, one field for each of its attributes."""
    return json.dumps(dataclasses.asdict(explanation), default=_plain, indent=2)


def _plain(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"{type(value).__name__} has no form in JSON")


def render_text(explanation: Explanation) -> str:
    """Return an explanation as lines of text, without a newline at the end."""
    return "\n".join(_lines(explanation))


def _lines(explanation: Explanation) -> Iterator[str]:
    yield _line("document", f"version {explanation.document_version}")
    yield _line("caller", _named(explanation.caller, explanation.caller_labels))
    yield _line("organisation", _organisation(explanation))
    yield _line(
        "operation", _named(explanation.operation, explanation.operation_labels)
    )
    yield _line("identity", _IDENTITY_TEXTS[explanation.identity])
    yield ""
    for trial in explanation.classes:
        yield from _class_lines(trial)
    yield ""
    for trial in explanation.non_repeatable:
        yield _line("non-repeatable", _tried(trial))
    yield _line("class", explanation.class_name)
    yield _line("repeatable", "yes" if explanation.repeatable else "no, at most once")
    yield _line("deadline", f"{explanation.deadline_ms} ms")
    yield _line("retries", f"at most {explanation.allowance} in the whole call chain")


def _organisation(explanation: Explanation) -> str:
    labels = explanation.organisation_labels
    if explanation.organisation or explanation.effective_organisation is None:
        return _named(explanation.organisation, labels)
    return f"{_named(explanation.effective_organisation, labels)}, the caller's own"


def _class_lines(trial: ClassResult) -> Iterator[str]:
    yield f"class {trial.order} {trial.name}: {_verdict(trial.matched)}"
    for name, selector in (
        ("organisations", trial.organisations),
        ("callers", trial.callers),
        ("operations", trial.operations),
    ):
        if selector.requirements:
            yield f"  {_line(name, _tried(selector))}"


def _line(label: str, text: str) -> str:
    return f"{label:<{_LABEL_WIDTH}} {text}"


def _named(name: str, labels: Mapping[str, str]) -> str:
    text = ", ".join(f"{key}={value}" for key, value in sorted(labels.items()))
    return f"{name or '(none)'} [{text or 'no labels'}]"


def _tried(trial: SelectorResult) -> str:
    parts = "; ".join(
        f"{part.requirement}: {_verdict(part.matched)}" for part in trial.requirements
    )
    return parts or "(matches all)"


def _verdict(matched: bool) -> str:
    return "matched" if matched else "no match"
