"""What operators can do, as functions; the command line only shows their results."""

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
    TIMEOUT_MS,
    Reply,
    UnreachableError,
    ask_burns,
    ask_statuses,
    list_operators_addresses,
)

SETTINGS_FIELDS = frozenset({"host", "availability_zone", "entry", "egress", "backend"})
"""A file with any of these at its top is taken for the settings of a node."""

MAX_SETTINGS_BYTES = 65_536
"""A longer file is taken for a document: YAML of a megabyte takes seconds to load."""


class ExitCode(enum.IntEnum):
    """How a command ended, for scripts."""

    OK = 0
    PROBLEM = 1
    """Done, and something needs an operator: an alert, a fault, a node not serving."""
    BAD_INPUT = 2
    """Nothing was done: a wrong argument, or a file with faults."""
    UNREACHABLE = 3
    """A node, or the platform, gave no answer; the rest was shown."""


class FileKind(enum.Enum):
    """What a file to check is meant to be."""

    DOCUMENT = "document"
    SETTINGS = "settings"


@dataclass(frozen=True, slots=True, kw_only=True)
class FileCheck:
    """What a check of one file found."""

    kind: FileKind
    faults: list[InvalidFieldError]
    cautions: list[Caution]


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeList:
    """Nodes to ask."""

    addresses: list[Address]
    list_error: str = ""
    """Why the platform's list isn't among them, if it was asked for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBurn:
    """The burn of all nodes that answered, and those that didn't."""

    report: BurnReport
    unreachable: list[Reply[BurnReport]]


def check(path: Path) -> FileCheck:
    """Check a document or the settings of a node.

    Args:
        path: the file; which of the two it is shows in its top fields.

    Returns:
        All faults; cautions only for a document without faults.
    """
    kind = find_kind(path)
    if kind is FileKind.SETTINGS:
        return FileCheck(kind=kind, faults=_settings_faults(path), cautions=[])
    faults = check_file(path)
    cautions = [] if faults else find_cautions(read_document(path))
    return FileCheck(kind=kind, faults=faults, cautions=cautions)


def find_kind(path: Path) -> FileKind:
    """Return what a file is meant to be; a document where that can't be told."""
    try:
        with path.open("rb") as file:
            body = file.read(MAX_SETTINGS_BYTES + 1)
        top = yaml.safe_load(body) if len(body) <= MAX_SETTINGS_BYTES else None
    except (OSError, ValueError, RecursionError, yaml.YAMLError):
        return FileKind.DOCUMENT
    fields = set(top) if isinstance(top, dict) else set()
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
    """Explain what a document says about one request.

    Args:
        path: the document.
        caller: name of the caller.
        organisation: name of the organisation.
        operation: name of the operation, or a request line such as
            ``POST /schvaleni/orders/7/approval``.

    Raises:
        InvalidFieldsError: the document has faults.
        UnknownOperationError: it has no such operation.
    """
    return explain_request(read_document(path), caller, organisation, operation)


async def find_nodes(
    texts: Sequence[str], *, platform_url: str | None, timeout_ms: float = TIMEOUT_MS
) -> NodeList:
    """Return the operators' addresses of nodes, those given and those listed.

    Args:
        texts: each ``ip:port``.
        platform_url: also take all hosts that this platform lists.
        timeout_ms: time for the platform's answer.

    Raises:
        InvalidFieldsError: an address, the URL or the list is wrong.
    """
    given = _parse_addresses(texts)
    if not platform_url:
        return NodeList(addresses=given)
    try:
        listed = await list_operators_addresses(platform_url, timeout_ms=timeout_ms)
    except UnreachableError as error:
        return NodeList(addresses=given, list_error=str(error))
    return NodeList(addresses=list(dict.fromkeys([*given, *listed])))


def _parse_addresses(texts: Sequence[str]) -> list[Address]:
    addresses, faults = [], []
    for text in texts:
        try:
            addresses.append(parse_address(text))
        except ValueError as error:
            faults.append(
                InvalidFieldError(source=text, field="(address)", reason=str(error))
            )
    if faults:
        raise InvalidFieldsError("wrong addresses", faults)
    return addresses


async def status(
    addresses: Sequence[Address], *, timeout_ms: float = TIMEOUT_MS
) -> list[Reply[Status]]:
    """Return the status of each node, or why there is none."""
    return await ask_statuses(addresses, timeout_ms=timeout_ms)


async def burn(
    addresses: Sequence[Address], *, timeout_ms: float = TIMEOUT_MS
) -> FleetBurn:
    """Return the burn of all nodes together."""
    replies = await ask_burns(addresses, timeout_ms=timeout_ms)
    return FleetBurn(
        report=merge_reports([reply.said for reply in replies if reply.said]),
        unreachable=[reply for reply in replies if reply.said is None],
    )
