"""Asking nodes for what they say of themselves, many at once."""

import asyncio
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated, Generic, TypeVar
from urllib.parse import urlsplit

from pydantic import AfterValidator, TypeAdapter

from sassafraswinch.burn_report import BurnReport, parse_report
from sassafraswinch.errors import (
    InvalidFieldError,
    InvalidFieldsError,
    SassafraswinchError,
)
from sassafraswinch.records import parse_record
from sassafraswinch.status import Status, parse_status
from sassafraswinch_node.http_client import HttpClient, HttpClientError
from sassafraswinch_node.settings import Address, parse_address

TIMEOUT_MS = 2_000
"""Time for one node's answer, connecting included."""

ASKED_AT_ONCE = 64
"""Nodes with a request under way; keeps far below a shell's limit of open files."""

MAX_ANSWER_BYTES = 8_000_000
"""Longest answer read from a node or from the platform."""

HTTP_OK = 200

Said = TypeVar("Said", Status, BurnReport)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply(Generic[Said]):
    """What one node said, or why it said nothing that can be used."""

    address: Address
    said: Said | None = None
    error: str = ""


class UnreachableError(SassafraswinchError):
    """The platform gave no list of hosts.

    Attributes:
        url: the platform's URL.
        reason: what happened.
    """

    def __init__(self, *, url: str, reason: str):
        super().__init__(f"{url}: {reason}")
        self.url = url
        self.reason = reason


async def ask_statuses(
    addresses: Sequence[Address], *, timeout_ms: float = TIMEOUT_MS
) -> list[Reply[Status]]:
    """Ask nodes for their status; replies come in the order of the addresses."""
    return await _ask_all(addresses, "/status", parse_status, timeout_ms)


async def ask_burns(
    addresses: Sequence[Address], *, timeout_ms: float = TIMEOUT_MS
) -> list[Reply[BurnReport]]:
    """Ask nodes for their burn report, as ``ask_statuses`` does."""
    return await _ask_all(addresses, "/burn", parse_report, timeout_ms)


async def list_operators_addresses(
    platform_url: str, *, timeout_ms: float = TIMEOUT_MS
) -> list[Address]:
    """Return the operators' addresses of all hosts on the platform's list.

    Args:
        platform_url: such as ``http://10.0.0.1:8080``; the host is an IP number.
        timeout_ms: time for the answer.

    Raises:
        InvalidFieldsError: the URL or the list is wrong.
        UnreachableError: the platform gave no answer, or not this one.
    """
    platform = _parse_url(platform_url)
    try:
        body = await _get(platform, "/v1/hosts", timeout_ms)
    except (HttpClientError, ValueError) as error:
        raise UnreachableError(url=platform_url, reason=_detail(error)) from error
    entries = parse_record(_HOST_LIST, body, source=platform_url)
    return sorted(
        {parse_address(entry.operators) for entry in entries},
        key=lambda address: (address.ip, address.port),
    )


def _check_address(text: str) -> str:
    parse_address(text)
    return text


@dataclass(frozen=True, slots=True, kw_only=True)
class _ListedHost:
    operators: Annotated[str, AfterValidator(_check_address)]


_HOST_LIST = TypeAdapter(list[_ListedHost])


def _parse_url(text: str) -> Address:
    try:
        parts = urlsplit(text)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError("expected http://IP:PORT")
        return Address(ip=parts.hostname, port=parts.port or 80)
    except ValueError as error:
        fault = InvalidFieldError(source=text, field="(URL)", reason=str(error))
        raise InvalidFieldsError(f"{text} is no URL", [fault]) from error


async def _ask_all(
    addresses: Sequence[Address],
    target: str,
    parse: Callable[..., Said],
    timeout_ms: float,
) -> list[Reply[Said]]:
    turns = asyncio.Semaphore(ASKED_AT_ONCE)

    async def ask(address: Address) -> Reply[Said]:
        async with turns:
            return await _ask(address, target, parse, timeout_ms)

    return await asyncio.gather(*map(ask, addresses))


async def _ask(
    address: Address, target: str, parse: Callable[..., Said], timeout_ms: float
) -> Reply[Said]:
    try:
        body = await _get(address, target, timeout_ms)
        return Reply(address=address, said=parse(body, source=str(address)))
    except InvalidFieldsError as group:
        first = group.exceptions[0]
        error = f"not a node's answer: {first.field}: {first.reason}"
        return Reply(address=address, error=error)
    except (HttpClientError, ValueError) as error:
        return Reply(address=address, error=_detail(error))


async def _get(address: Address, target: str, timeout_ms: float) -> bytes:
    client = HttpClient(
        ip=address.ip,
        port=address.port,
        max_connections=1,
        max_response_bytes=MAX_ANSWER_BYTES,
    )
    try:
        answer = await client.request(
            method="GET", target=target, timeout_ms=timeout_ms
        )
    finally:
        await client.close()
    if answer.status != HTTP_OK:
        raise ValueError(f"status {answer.status} for {target}")
    return answer.body


def _detail(error: Exception) -> str:
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno:
        return os.strerror(cause.errno).lower()
    return error.detail if isinstance(error, HttpClientError) else str(error)
