"""Which operation a request is, and which class it falls in."""

import functools
import hashlib
from collections import defaultdict
from dataclasses import dataclass

from sassafraswinch.document import Document, Operation
from sassafraswinch.explanation import Explanation, explain
from sassafraswinch.identities import IdentityState, identify
from sassafraswinch.messages import LEVELS
from sassafraswinch.paths import PathTable, parse_path_template, split_target

MEMO_ENTRIES = 8_192
"""Remembered combinations of listed caller, listed organisation and operation."""

_HASH_BYTES = 8


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
    """The listed organisation whose labels counted; None where none did."""
    identity: IdentityState


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
        self._tables = _path_tables(document.operations)
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
        listed = not organisation or organisation in document.organisations
        return self._decide(
            caller if caller in document.callers else "",
            organisation if listed else None,
            operation.name,
        )

    def lowest(self, operation: Operation) -> Classification:
        """Return the last class without retries, for a call of unknown origin."""
        return self._build(
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
        return explain(
            self._document,
            caller=caller,
            organisation=organisation,
            operation=operation,
        )

    def _classify(
        self, caller: str, organisation: str | None, operation_name: str
    ) -> Classification:
        operation = self._operations[operation_name]
        known = identify(self._document, caller=caller, organisation=organisation)
        index = next(
            entry.order
            for entry in self._document.classes
            if entry.organisations.matches(known.organisation.labels)
            and entry.callers.matches(known.caller.labels)
            and entry.operations.matches(operation.labels)
        )
        return self._build(
            class_index=index,
            operation=operation,
            allowance=self._document.retry.allowance,
            organisation=known.organisation.name or None,
            identity=known.state,
        )

    def _build(
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
            repeatable=not any(
                selector.matches(operation.labels)
                for selector in self._document.non_repeatable
            ),
            deadline_ms=entry.deadline_ms,
            allowance=allowance,
            organisation=organisation,
            identity=identity,
        )


def _path_tables(
    operations: tuple[Operation, ...],
) -> dict[tuple[str, str], PathTable[Operation]]:
    tables: defaultdict[tuple[str, str], PathTable] = defaultdict(PathTable)
    for operation in operations:
        table = tables[operation.service, operation.method]
        table.add(parse_path_template(operation.path), operation)
    return dict(tables)


def admission_level(organisation: str, root_id: str) -> int:
    """Return the admission level of a whole request, 0 to ``LEVELS - 1``.

    Every node computes the same level for the same request, so that hops that
    shed load shed the same requests.

    Args:
        organisation: name of the organisation; empty where there is none.
        root_id: 32 hex digits that name the whole request.
    """
    hashed = hashlib.blake2b(
        f"{organisation}\0{root_id}".encode(), digest_size=_HASH_BYTES
    )
    return int.from_bytes(hashed.digest()) % LEVELS
