"""Request classifier: finds the operation, service class and admission level."""

import functools
import hashlib
from collections import defaultdict
from dataclasses import dataclass

from sassafraswinch.document import Document, Operation
from sassafraswinch.explanation import Explanation, explain
from sassafraswinch.identities import IdentityState, identify
from sassafraswinch.messages import LEVELS
from sassafraswinch.paths import PathTable, parse_path_template, split_target

MAX_CACHED_CLASSIFICATIONS = 8_192
"""Classifications cached, by listed caller, listed organisation and operation."""

_HASH_BYTES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Classification:
    """Result of classifying one request under a document."""

    class_name: str
    class_order: int
    operation: Operation
    repeatable: bool
    deadline_ms: int
    allowance: int
    organisation: str | None
    """Listed organisation whose labels were matched; None if there was none."""
    identity: IdentityState


class Classifier:
    """Finds the operation and the class of requests under one document.

    Names that the document doesn't list share their cache entries, so that requests
    with invented caller names can't fill the cache.
    """

    def __init__(self, *, document: Document):
        self._document = document
        self._operations = {
            operation.name: operation for operation in document.operations
        }
        self._tables_by_method = _build_path_tables(document.operations)
        self._classify_cached = functools.lru_cache(maxsize=MAX_CACHED_CLASSIFICATIONS)(
            self._classify
        )

    def find_operation(
        self, service: str, method: str, target: str
    ) -> Operation | None:
        """Return the operation of a request; None if the document has none for it.

        Args:
            service: name of the requested service.
            method: HTTP method; case-sensitive.
            target: path and query as the backend server would receive them.
        """
        table = self._tables_by_method.get((service, method))
        segments = split_target(target) if table is not None else None
        return table.find(segments) if segments is not None else None

    def classify(
        self, *, caller: str, organisation: str, operation: Operation
    ) -> Classification:
        """Return the classification of a request.

        Args:
            caller: value of the caller header; empty if the header is missing.
            organisation: value of the organisation header; empty if it is missing.
            operation: one of the document's operations.
        """
        document = self._document
        listed = not organisation or organisation in document.organisations
        return self._classify_cached(
            caller if caller in document.callers else "",
            organisation if listed else None,
            operation.name,
        )

    def lowest_classification(self, operation: Operation) -> Classification:
        """Return the last class without retries, for a call of unknown origin."""
        return self._build_classification(
            class_index=-1,
            operation=operation,
            allowance=0,
            organisation=None,
            identity=IdentityState.UNKNOWN,
        )

    def explain(
        self, *, caller: str, organisation: str, operation: Operation
    ) -> Explanation:
        """Return the result of every selector evaluated for a request."""
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
        identified = identify(self._document, caller=caller, organisation=organisation)
        class_index = next(
            service_class.order
            for service_class in self._document.classes
            if service_class.organisations.matches(identified.organisation.labels)
            and service_class.callers.matches(identified.caller.labels)
            and service_class.operations.matches(operation.labels)
        )
        return self._build_classification(
            class_index=class_index,
            operation=operation,
            allowance=self._document.retry.allowance,
            organisation=identified.organisation.name or None,
            identity=identified.state,
        )

    def _build_classification(
        self,
        *,
        class_index: int,
        operation: Operation,
        allowance: int,
        organisation: str | None,
        identity: IdentityState,
    ) -> Classification:
        service_class = self._document.classes[class_index]
        return Classification(
            class_name=service_class.name,
            class_order=service_class.order,
            operation=operation,
            repeatable=not any(
                selector.matches(operation.labels)
                for selector in self._document.non_repeatable
            ),
            deadline_ms=service_class.deadline_ms,
            allowance=allowance,
            organisation=organisation,
            identity=identity,
        )


def _build_path_tables(
    operations: tuple[Operation, ...],
) -> dict[tuple[str, str], PathTable[Operation]]:
    tables: defaultdict[tuple[str, str], PathTable] = defaultdict(PathTable)
    for operation in operations:
        table = tables[operation.service, operation.method]
        table.add(parse_path_template(operation.path), operation)
    return dict(tables)


def admission_level(organisation: str, root_id: str) -> int:
    """Return the admission level of a root request, from 0 to ``LEVELS - 1``.

    Every node computes the same level for the same root request, so that all hops
    that shed load shed the same requests.

    Args:
        organisation: name of the organisation; empty if there is none.
        root_id: 32 hex digits that identify the root request.
    """
    level_hash = hashlib.blake2b(
        f"{organisation}\0{root_id}".encode(), digest_size=_HASH_BYTES
    )
    return int.from_bytes(level_hash.digest()) % LEVELS
