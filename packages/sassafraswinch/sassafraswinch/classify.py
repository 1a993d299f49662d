"""Which operation a request is, and which class it falls in."""

import enum
import functools
import hashlib
from dataclasses import dataclass

from sassafraswinch.document import Caller, Document, Operation, Organisation
from sassafraswinch.labels import Selector
from sassafraswinch.messages import LEVELS
from sassafraswinch.paths import PathTable, parse_path_template, split_target

MEMO_ENTRIES = 8_192
"""Remembered combinations of known caller, known organisation and operation."""

_DIGEST_BYTES = 8


class IdentityState(enum.Enum):
    """How the names that a request carries fit the document."""

    KNOWN = "known"
    """Caller and organisation are in the document and belong together."""
    UNKNOWN = "unknown"
    """A name is missing or not in the document, and so has no labels."""
    MISMATCHED = "mismatched"
    """The caller belongs to another organisation; neither one's labels count."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Classification:
    """What the document says about one request."""

    class_name: str
    class_order: int
    operation: Operation
    repeatable: bool
    deadline_ms: int
    allowance: int
    organisation: str | None
    """The organisation whose labels counted; None where none did."""
    identity: IdentityState


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectorTrial:
    """One selector tried on one set of labels."""

    selector: Selector
    matched: bool
    requirements: tuple[tuple[str, bool], ...]
    """Text of each requirement, and whether it was met."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassTrial:
    """One class tried on a request."""

    name: str
    order: int
    organisations: SelectorTrial
    callers: SelectorTrial
    operations: SelectorTrial

    @property
    def matched(self) -> bool:
        """Whether all three selectors matched."""
        return all(
            trial.matched
            for trial in (self.organisations, self.callers, self.operations)
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """How a classification came about."""

    document_version: int
    caller: str
    organisation: str
    caller_labels: dict[str, str]
    organisation_labels: dict[str, str]
    operation_labels: dict[str, str]
    classes: tuple[ClassTrial, ...]
    """Classes in order, up to the first that matched."""
    non_repeatable: tuple[SelectorTrial, ...]
    classification: Classification


class Classifier:
    """Finds operation and class of requests, under one document.

    Names that the document doesn't list are treated alike, so callers with
    made-up names can't fill the memory.
    """

    def __init__(self, *, document: Document):
        self._document = document
        self._operations = {
            operation.name: operation for operation in document.operations
        }
        self._tables = _tables(document.operations)
        self._repeatable = {
            operation.name: not any(
                selector.matches(operation.labels)
                for selector in document.non_repeatable
            )
            for operation in document.operations
        }
        self._decide = functools.lru_cache(maxsize=MEMO_ENTRIES)(self._classify)

    def operation(self, service: str, method: str, target: str) -> Operation | None:
        """Return the operation that a request asks for, or None.

        Args:
            service: name of the service.
            method: HTTP method; case counts.
            target: path and query as the backend server would see them.
        """
        table = self._tables.get((service, method))
        segments = split_target(target) if table is not None else None
        return table.find(segments) if segments is not None else None

    def classify(
        self, *, caller: str, organisation: str, operation: Operation
    ) -> Classification:
        """Return what the document says about a request.

        Args:
            caller: name from the caller header; empty where there is none.
            organisation: name from the organisation header; empty likewise.
            operation: one of the document's operations.
        """
        document = self._document
        return self._decide(
            caller if caller in document.callers else "",
            self._organisation_key(organisation),
            operation.name,
        )

    def _organisation_key(self, organisation: str) -> str | None:
        if not organisation:
            return ""
        return organisation if organisation in self._document.organisations else None

    def lowest(self, operation: Operation) -> Classification:
        """Return the last class without retries, for a call of unknown origin."""
        return self._result(
            class_index=-1,
            operation=operation,
            allowance=0,
            organisation=None,
            identity=IdentityState.UNKNOWN,
        )

    def explain(
        self, *, caller: str, organisation: str, operation: Operation
    ) -> Explanation:
        """Return every selector tried on a request, with its result."""
        document = self._document
        known = self._identify(
            caller if caller in document.callers else "",
            self._organisation_key(organisation),
        )
        return Explanation(
            document_version=document.version,
            caller=caller,
            organisation=organisation,
            caller_labels=dict(known.caller.labels),
            organisation_labels=dict(known.organisation.labels),
            operation_labels=dict(operation.labels),
            classes=self._class_trials(known, operation),
            non_repeatable=tuple(
                _try(selector, operation.labels) for selector in document.non_repeatable
            ),
            classification=self.classify(
                caller=caller, organisation=organisation, operation=operation
            ),
        )

    def _class_trials(
        self, known: "_Identified", operation: Operation
    ) -> tuple[ClassTrial, ...]:
        trials = []
        for entry in self._document.classes:
            trial = ClassTrial(
                name=entry.name,
                order=entry.order,
                organisations=_try(entry.organisations, known.organisation.labels),
                callers=_try(entry.callers, known.caller.labels),
                operations=_try(entry.operations, operation.labels),
            )
            trials.append(trial)
            if trial.matched:
                break
        return tuple(trials)

    def _classify(
        self, caller: str, organisation: str | None, operation_name: str
    ) -> Classification:
        operation = self._operations[operation_name]
        known = self._identify(caller, organisation)
        index = next(
            entry.order
            for entry in self._document.classes
            if entry.organisations.matches(known.organisation.labels)
            and entry.callers.matches(known.caller.labels)
            and entry.operations.matches(operation.labels)
        )
        return self._result(
            class_index=index,
            operation=operation,
            allowance=self._document.retry.allowance,
            organisation=known.organisation.name or None,
            identity=known.state,
        )

    def _identify(self, caller_name: str, organisation: str | None) -> "_Identified":
        """Return whose labels count.

        Args:
            caller_name: a caller of the document, or empty.
            organisation: one of the document, empty for none named, or None for
                one that the document doesn't list.
        """
        caller = self._document.callers.get(caller_name, _NO_CALLER)
        name = organisation
        if caller.organisation is not None:
            if organisation not in ("", caller.organisation):
                return _Identified(state=IdentityState.MISMATCHED)
            name = caller.organisation
        found = self._document.organisations.get(name or "", _NO_ORGANISATION)
        complete = caller is not _NO_CALLER and found is not _NO_ORGANISATION
        return _Identified(
            caller=caller,
            organisation=found,
            state=IdentityState.KNOWN if complete else IdentityState.UNKNOWN,
        )

    def _result(
        self,
        *,
        class_index: int,
        operation: Operation,
        allowance: int,
        organisation: str | None,
        identity: IdentityState,
    ) -> Classification:
        entry = self._document.classes[class_index]
        return Classification(
            class_name=entry.name,
            class_order=entry.order,
            operation=operation,
            repeatable=self._repeatable[operation.name],
            deadline_ms=entry.deadline_ms,
            allowance=allowance,
            organisation=organisation,
            identity=identity,
        )


_NO_CALLER = Caller(name="")
_NO_ORGANISATION = Organisation(name="")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Identified:
    caller: Caller = _NO_CALLER
    organisation: Organisation = _NO_ORGANISATION
    state: IdentityState


def _tables(
    operations: tuple[Operation, ...],
) -> dict[tuple[str, str], PathTable[Operation]]:
    entries: dict[tuple[str, str], list] = {}
    for operation in operations:
        entries.setdefault((operation.service, operation.method), []).append(
            (parse_path_template(operation.path), operation)
        )
    return {key: PathTable(entries=group) for key, group in entries.items()}


def _try(selector: Selector, labels) -> SelectorTrial:
    return SelectorTrial(
        selector=selector,
        matched=selector.matches(labels),
        requirements=tuple(
            (str(requirement), requirement.matches(labels))
            for requirement in selector.requirements
        ),
    )


def admission_level(organisation: str, root_id: str) -> int:
    """Return the admission level of a whole request, 0 to ``LEVELS - 1``.

    Every node computes the same level for the same request, so that hops that
    shed load shed the same requests.

    Args:
        organisation: name of the organisation; empty where there is none.
        root_id: 32 hex digits that name the whole request.
    """
    hashed = hashlib.blake2b(
        f"{organisation}\0{root_id}".encode(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(hashed.digest()) % LEVELS
