"""HTTP client that fetches status and burn reports from many nodes concurrently."""

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

DEFAULT_TIMEOUT_MS = 2_000
"""Default timeout of a request to a node or the platform, including connecting."""

MAX_CONCURRENT_REQUESTS = 64
"""Bound on open connections, well below a shell's usual limit of open files."""

MAX_NODE_RESPONSE_BYTES = 8_000_000
"""Longest response body accepted from a node or from the platform."""

HTTP_OK = 200

ResultT = TypeVar("ResultT", Status, BurnReport)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply(Generic[ResultT]):
    """Parsed response of one node, or the reason why there is none."""

    address: Address
    result: ResultT | None = None
    error: str = ""


class HostListError(SassafraswinchError):
    """The platform's list of hosts could not be fetched.

    Attributes:
        url: URL of the platform.
        reason: Description of the failure.
    """

    def __init__(self, *, url: str, reason: str):
        super().__init__(f"{url}: {reason}")
        self.url = url
        self.reason = reason


async def fetch_statuses(
    addresses: Sequence[Address], *, timeout_ms: float = DEFAULT_TIMEOUT_MS
) -> list[Reply[Status]]:
    """Fetch the status of nodes; replies are in the order of the addresses."""
    return await _fetch_all(addresses, "/status", parse_status, timeout_ms)


async def fetch_burn_reports(
    addresses: Sequence[Address], *, timeout_ms: float = DEFAULT_TIMEOUT_MS
) -> list[Reply[BurnReport]]:
    """Fetch burn reports of nodes; replies are in the order of the addresses."""
    return await _fetch_all(addresses, "/burn", parse_report, timeout_ms)


async def fetch_operator_addresses(
    platform_url: str, *, timeout_ms: float = DEFAULT_TIMEOUT_MS
) -> list[Address]:
    """Return the addresses of the operators' endpoints of all hosts on the platform.

    Args:
        platform_url: URL such as ``http://10.0.0.1:8080``; its host is an IP address.
        timeout_ms: Timeout of the request.

    Raises:
        InvalidFieldsError: The URL or the list of hosts is invalid.
        UnreachableError: The platform did not respond, or responded with an error.
    """
    platform = _parse_url(platform_url)
    try:
        body = await _http_get(platform, "/v1/hosts", timeout_ms)
    except (HttpClientError, ValueError) as error:
        raise HostListError(url=platform_url, reason=_describe_error(error)) from error
    hosts = parse_record(_HOST_LIST_ADAPTER, body, source=platform_url)
    return sorted(
        {parse_address(host.operators) for host in hosts},
        key=lambda address: (address.ip, address.port),
    )


def _check_address(text: str) -> str:
    parse_address(text)
    return text


@dataclass(frozen=True, slots=True, kw_only=True)
class _ListedHost:
    operators: Annotated[str, AfterValidator(_check_address)]


_HOST_LIST_ADAPTER = TypeAdapter(list[_ListedHost])


def _parse_url(text: str) -> Address:
    try:
        parts = urlsplit(text)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError("expected http://IP:PORT")
        return Address(ip=parts.hostname, port=parts.port or 80)
    except ValueError as error:
        fault = InvalidFieldError(source=text, field="(URL)", reason=str(error))
        raise InvalidFieldsError(
            f"{text} is not a valid platform URL", [fault]
        ) from error


async def _fetch_all(
    addresses: Sequence[Address],
    path: str,
    parse: Callable[..., ResultT],
    timeout_ms: float,
) -> list[Reply[ResultT]]:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch(address: Address) -> Reply[ResultT]:
        async with semaphore:
            return await _fetch(address, path, parse, timeout_ms)

    return await asyncio.gather(*map(fetch, addresses))


async def _fetch(
    address: Address, path: str, parse: Callable[..., ResultT], timeout_ms: float
) -> Reply[ResultT]:
    try:
        body = await _http_get(address, path, timeout_ms)
        return Reply(address=address, result=parse(body, source=str(address)))
    except InvalidFieldsError as group:
        first = group.exceptions[0]
        error = f"invalid response: {first.field}: {first.reason}"
        return Reply(address=address, error=error)
    except (HttpClientError, ValueError) as error:
        return Reply(address=address, error=_describe_error(error))


async def _http_get(address: Address, path: str, timeout_ms: float) -> bytes:
    client = HttpClient(
        ip=address.ip,
        port=address.port,
        max_connections=1,
        max_response_bytes=MAX_NODE_RESPONSE_BYTES,
    )
    try:
        response = await client.request(
            method="GET", target=path, timeout_ms=timeout_ms
        )
    finally:
        await client.close()
    if response.status != HTTP_OK:
        raise ValueError(f"HTTP status {response.status} instead of 200 for {path}")
    return response.body


def _describe_error(error: Exception) -> str:
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno:
        return os.strerror(cause.errno).lower()
    return error.detail if isinstance(error, HttpClientError) else str(error)
