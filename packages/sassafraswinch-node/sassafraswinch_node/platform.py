"""Client for the platform's configuration document and host list."""

import ipaddress
import itertools
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import BaseModel, Field, ValidationError

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.json_items import parse_json_items
from sassafraswinch.membership import HostRecord, HostState
from sassafraswinch_node.http_client import HttpClient, HttpClientError, HttpResponse
from sassafraswinch_node.settings import AddressText

READ_TIMEOUT_MS = 2_000
"""Time limit for a response, added to the wait of a watch. The service normally
responds within milliseconds."""

MAX_PUBLISHED_BYTES = 1024 * 1024
"""Maximum length of a document or host list."""

MAX_VERSION = 2**53 - 1
"""Greatest version; up to it all JSON readers represent integers exactly."""

CONNECTIONS_PER_ADDRESS = 2
"""One connection for the watch of the document and one for that of the host list."""

ENTRY_DEPTH = 2
"""Nesting of an entry in the host list."""

MAX_FAULTS_SHOWN = 5
"""Maximum number of faults of a host list that its error message lists."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedDocument:
    """A document as published by the platform, not yet validated."""

    version: int
    """Version assigned by the platform; the document itself holds one as well."""
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedHosts:
    """The host list as published by the platform."""

    version: int
    records: tuple[HostRecord, ...]
    faults: tuple[str, ...] = ()
    """Faults of entries that were skipped, each with its place and reason."""


class PlatformError(SassafraswinchError):
    """A read of the platform failed.

    Attributes:
        url: URL of the read.
        reason: cause of the failure, for operators.
    """

    def __init__(self, *, url: str, reason: str):
        super().__init__(f"{url}: {reason}")
        self.url = url
        self.reason = reason


class PlatformUnreachableError(PlatformError):
    """The platform returned no complete response in time."""


class PlatformAnswerError(PlatformError):
    """The platform returned an invalid response.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, *, url: str, reason: str, status: int):
        super().__init__(url=url, reason=reason)
        self.status = status


class PlatformClient:
    """Client of the platform; each call makes one read.

    A failed read is not retried: it only selects the next address for the following
    call, so that the caller's schedule alone determines the rate of reads.

    Args:
        urls: base URLs with IP addresses, such as ``http://10.0.0.7:8500``.
        read_timeout_ms: time limit for a response, added to the wait of a watch.

    Raises:
        ValueError: a URL is not ``http`` or holds no IP address.
    """

    def __init__(
        self, *, urls: Sequence[str], read_timeout_ms: float = READ_TIMEOUT_MS
    ):
        self._origins = [_Origin(url) for url in urls]
        self._next_origins = itertools.cycle(self._origins)
        self._origin = next(self._next_origins)
        self._read_timeout_ms = read_timeout_ms

    async def document(
        self, *, after: int = 0, wait_ms: int = 0
    ) -> PublishedDocument | None:
        """Read the document, or watch for one newer than ``after``.

        Args:
            after: version that the caller holds.
            wait_ms: time that the platform may wait for a newer one; 0 for none.

        Returns:
            The document; None if the platform has no version other than ``after``.

        Raises:
            PlatformError: the read failed.
        """
        response = await self._fetch("/v1/document", after, wait_ms)
        if response is None:
            return None
        return PublishedDocument(version=response.version, body=response.body)

    async def hosts(self, *, after: int = 0, wait_ms: int = 0) -> PublishedHosts | None:
        """Read the host list, or watch for one newer than ``after``.

        Arguments, result and errors are those of ``document``.
        """
        response = await self._fetch("/v1/hosts", after, wait_ms)
        if response is None:
            return None
        try:
            records, faults = parse_hosts(response.body)
        except ValueError as error:
            raise PlatformAnswerError(
                url=response.url, reason=str(error), status=200
            ) from error
        return PublishedHosts(version=response.version, records=records, faults=faults)

    async def close(self) -> None:
        """Close idle connections now, and busy ones after their responses."""
        for origin in self._origins:
            await origin.client.close()

    async def _fetch(self, path: str, after: int, wait_ms: int) -> "_Response | None":
        query = f"?after={after}&wait_ms={wait_ms}" if wait_ms else ""
        origin = self._origin
        url = origin.url + path + query
        try:
            response = await origin.client.request(
                method="GET",
                target=origin.prefix + path + query,
                timeout_ms=wait_ms + self._read_timeout_ms,
            )
            version = after if response.status == 304 else _parse_version(response)
        except HttpClientError as error:
            self._switch_from(origin)
            raise PlatformUnreachableError(url=url, reason=str(error)) from error
        except ValueError as error:
            self._switch_from(origin)
            raise PlatformAnswerError(
                url=url, reason=str(error), status=response.status
            ) from error
        if version == after:
            return None
        return _Response(url=url, version=version, body=response.body)

    def _switch_from(self, origin: "_Origin") -> None:
        """Select the next address unless another read has already done so."""
        if origin is self._origin:
            self._origin = next(self._next_origins)


class _Origin:
    """One address of the platform."""

    def __init__(self, url: str):
        parts = urlsplit(url)
        if parts.scheme != "http" or parts.query or parts.fragment:
            raise ValueError(f"{url!r}: expected http://ip:port")
        ip = str(ipaddress.ip_address(parts.hostname or ""))
        self.url = url.rstrip("/")
        self.prefix = parts.path.rstrip("/")
        self.client = HttpClient(
            ip=ip,
            port=parts.port or 80,
            max_connections=CONNECTIONS_PER_ADDRESS,
            max_response_bytes=MAX_PUBLISHED_BYTES,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Response:
    url: str
    version: int
    body: bytes


HostText = Annotated[
    str, Field(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]+$")
]
"""A name, which is sent to peers and logged."""


class _HostModel(BaseModel):
    """A host in the platform's format; unknown fields are ignored."""

    name: HostText
    service: HostText
    availability_zone: HostText
    state: HostState
    link: AddressText
    entry: AddressText
    operators: AddressText


def parse_hosts(body: bytes) -> tuple[tuple[HostRecord, ...], tuple[str, ...]]:
    """Parse a host list; invalid entries are skipped.

    Failure: one odd entry makes the whole list invalid, and nodes follow neither new
    nor leaving hosts for as long as it is there.

    Returns:
        The valid records, and the faults of the other entries.

    Raises:
        ValueError: the body isn't a list, names a host twice, or has no valid entry
            though it has entries.
    """
    entries = parse_json_items(body, depth=ENTRY_DEPTH)
    if not isinstance(entries, list):
        raise ValueError("expected a list of hosts")
    records, faults = [], []
    for number, entry in enumerate(entries):
        try:
            model = _HostModel.model_validate(entry)
        except ValidationError as error:
            faults += _faults_of(number, error)
        else:
            fields = {name: getattr(model, name) for name in _HostModel.model_fields}
            records.append(HostRecord(**fields))
    if faults and not records:
        raise ValueError(describe_faults(faults))
    if len({record.name for record in records}) < len(records):
        raise ValueError("a host is named twice in the host list")
    return tuple(records), tuple(faults)


def _faults_of(number: int, error: ValidationError) -> Iterator[str]:
    """Yield the faults of an entry, each with its place in the list."""
    for item in error.errors(include_url=False, include_input=False):
        yield f"{'.'.join(map(str, (number, *item['loc'])))}: {item['msg']}"


def describe_faults(faults: Sequence[str]) -> str:
    """Return the first faults and the number of the others."""
    omitted = len(faults) - MAX_FAULTS_SHOWN
    shown = "; ".join(faults[:MAX_FAULTS_SHOWN])
    return f"{shown}; and {omitted} more" if omitted > 0 else shown


def _parse_version(response: HttpResponse) -> int:
    if response.status != 200:
        raise ValueError(f"status {response.status}")
    text = dict(response.headers).get("x-version", "")
    if not text.isascii() or not text.isdigit() or int(text) > MAX_VERSION:
        raise ValueError(f"x-version {text!r} is not a number up to 2**53 - 1")
    return int(text)
