"""Python API of the operators' tool: the functions behind its commands."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import yaml

from sassafraswinch.burn_rates import merge_reports
from sassafraswinch.burn_report import BurnReport
from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.explanation import Explanation
from sassafraswinch.status import Status
from sassafraswinch_node.settings import Address, load_settings, parse_address
from sassafraswinch_tool.check import Caution, check_file, find_cautions, read_document
from sassafraswinch_tool.explain import explain_request
from sassafraswinch_tool.nodes import (
    DEFAULT_TIMEOUT_MS,
    HostListError,
    Reply,
    fetch_burn_reports,
    fetch_operator_addresses,
    fetch_statuses,
)

SETTINGS_FIELDS = frozenset({"host", "availability_zone", "entry", "egress", "backend"})
"""A file with any of these top-level fields is treated as the settings of a node."""

MAX_SETTINGS_BYTES = 65_536
"""Longer files are treated as documents: loading 1 MB of YAML takes seconds."""


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    PROBLEM = 1
    """The command found a problem: an alert, a fault, or a node that is not serving."""
    BAD_INPUT = 2
    """Nothing was done because an argument was invalid or a file has faults."""
    UNREACHABLE = 3
    """A node or the platform did not respond; the remaining results were shown."""


class FileKind(enum.Enum):
    """Kind of a file to check."""

    DOCUMENT = "document"
    SETTINGS = "settings"


@dataclass(frozen=True, slots=True, kw_only=True)
class FileCheck:
    """Result of checking one file."""

    kind: FileKind
    faults: list[InvalidFieldError]
    cautions: list[Caution]


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeList:
    """Addresses of the nodes that a command queries."""

    addresses: list[Address]
    host_list_error: str = ""
    """Reason why the platform's list could not be fetched; empty if there is none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBurn:
    """Merged burn report of the nodes that responded, and the nodes that did not."""

    report: BurnReport
    unreachable: list[Reply[BurnReport]]


def check(path: Path) -> FileCheck:
    """Check a document or the settings of a node.

    Args:
        path: File to check; its top-level fields determine its kind.

    Returns:
        All faults, and the cautions for a document without faults.
    """
    kind = find_kind(path)
    if kind is FileKind.SETTINGS:
        return FileCheck(kind=kind, faults=_settings_faults(path), cautions=[])
    faults = check_file(path)
    cautions = [] if faults else find_cautions(read_document(path))
    return FileCheck(kind=kind, faults=faults, cautions=cautions)


def find_kind(path: Path) -> FileKind:
    """Return the kind of a file, by default a document."""
    try:
        with path.open("rb") as file:
            body = file.read(MAX_SETTINGS_BYTES + 1)
        content = yaml.safe_load(body) if len(body) <= MAX_SETTINGS_BYTES else None
    except (OSError, ValueError, RecursionError, yaml.YAMLError):
        return FileKind.DOCUMENT
    fields = set(content) if isinstance(content, dict) else set()
    if fields.isdisjoint(SETTINGS_FIELDS):
        return FileKind.DOCUMENT
    return FileKind.SETTINGS


def _settings_faults(path: Path) -> list[InvalidFieldError]:
    try:
        load_settings(path)
    except InvalidFieldsError as group:
        return list(group.exceptions)
    return []


def explain(
    path: Path, *, caller: str, organisation: str, operation: str
) -> Explanation:
    """Explain how a document classifies one request.

    Args:
        path: Document file.
        caller: Name of the caller.
        organisation: Name of the organisation.
        operation: Name of the operation, or method and URL path of a request, such as
            ``POST /schvaleni/orders/7/approval``.

    Raises:
        InvalidFieldsError: The document has faults.
        UnknownOperationError: The document has no such operation.
    """
    return explain_request(read_document(path), caller, organisation, operation)


async def find_nodes(
    address_texts: Sequence[str],
    *,
    platform_url: str | None,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> NodeList:
    """Return the addresses of the operators' endpoints of nodes.

    Args:
        address_texts: Addresses to include, each ``ip:port``.
        platform_url: Platform whose listed hosts are included too; None for no list.
        timeout_ms: Timeout of the request to the platform.

    Raises:
        InvalidFieldsError: An address, the URL or the list of hosts is invalid.
    """
    given = _parse_addresses(address_texts)
    if not platform_url:
        return NodeList(addresses=given)
    try:
        listed = await fetch_operator_addresses(platform_url, timeout_ms=timeout_ms)
    except HostListError as error:
        return NodeList(addresses=given, host_list_error=str(error))
    return NodeList(addresses=list(dict.fromkeys([*given, *listed])))


def _parse_addresses(address_texts: Sequence[str]) -> list[Address]:
    addresses, faults = [], []
    for text in address_texts:
        try:
            addresses.append(parse_address(text))
        except ValueError as error:
            faults.append(
                InvalidFieldError(source=text, field="(address)", reason=str(error))
            )
    if faults:
        raise InvalidFieldsError("invalid node addresses", faults)
    return addresses


async def status(
    addresses: Sequence[Address], *, timeout_ms: float = DEFAULT_TIMEOUT_MS
) -> list[Reply[Status]]:
    """Return a reply for each node with its status, or with an error."""
    return await fetch_statuses(addresses, timeout_ms=timeout_ms)


async def burn(
    addresses: Sequence[Address], *, timeout_ms: float = DEFAULT_TIMEOUT_MS
) -> FleetBurn:
    """Return the merged burn report of the nodes."""
    replies = await fetch_burn_reports(addresses, timeout_ms=timeout_ms)
    return FleetBurn(
        report=merge_reports([reply.result for reply in replies if reply.result]),
        unreachable=[reply for reply in replies if reply.result is None],
    )
