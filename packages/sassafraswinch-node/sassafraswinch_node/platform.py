"""Reads and watches of the platform's configuration service and host list."""

import ipaddress
import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import BaseModel, Field, TypeAdapter, ValidationError

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.membership import HostRecord, HostState
from sassafraswinch_node.http_client import HttpAnswer, HttpClient, HttpClientError
from sassafraswinch_node.settings import AddressText

READ_TIMEOUT_MS = 2_000
"""Time for an answer beyond the wait of a watch; the service takes milliseconds."""

MAX_PUBLISHED_BYTES = 1024 * 1024
"""Longest document or host list."""

MAX_VERSION = 2**53 - 1
"""Greatest version; all JSON readers hold it exactly."""

CONNECTIONS = 2
"""Connections to one address: a watch of the document and one of the host list."""

MAX_FAULTS_SHOWN = 5
"""Faults of a host list that its error spells out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedDocument:
    """A document as the platform published it, not yet checked."""

    version: int
    """What the platform says of it; the document itself carries one too."""
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedHosts:
    """The platform's list of hosts."""

    version: int
    records: tuple[HostRecord, ...]


class PlatformError(SassafraswinchError):
    """A read of the platform failed.

    Attributes:
        url: what was read.
        reason: why it failed, in words for an operator.
    """

    def __init__(self, *, url: str, reason: str):
        super().__init__(f"{url}: {reason}")
        self.url = url
        self.reason = reason


class PlatformUnreachableError(PlatformError):
    """The platform gave no whole answer in time."""


class PlatformAnswerError(PlatformError):
    """The platform answered, but not with what it should publish.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, *, url: str, reason: str, status: int):
        super().__init__(url=url, reason=reason)
        self.status = status


class PlatformClient:
    """Reads from the platform; each call is one read of its budget.

    A failed read isn't tried again here: the next call takes the next address, and
    when it is made is for the caller's schedule to say.

    Args:
        urls: base URLs with IP numbers, such as ``http://10.0.0.7:8500``.
        read_timeout_ms: time for an answer beyond the wait of a watch.

    Raises:
        ValueError: a URL isn't ``http`` or names no IP number.
    """

    def __init__(
        self, *, urls: Sequence[str], read_timeout_ms: float = READ_TIMEOUT_MS
    ):
        self._origins = [_Origin(url) for url in urls]
        self._turns = itertools.cycle(self._origins)
        self._origin = next(self._turns)
        self._read_timeout_ms = read_timeout_ms

    async def document(
        self, *, after: int = 0, wait_ms: int = 0
    ) -> PublishedDocument | None:
        """Read the document, or watch for one newer than ``after``.

        Args:
            after: version held already.
            wait_ms: how long the platform may wait for a newer one; 0 reads at once.

        Returns:
            The document; None if there is none but version ``after``.

        Raises:
            PlatformError: the read failed.
        """
        answer = await self._read("/v1/document", after, wait_ms)
        if answer is None:
            return None
        return PublishedDocument(version=answer.version, body=answer.body)

    async def hosts(self, *, after: int = 0, wait_ms: int = 0) -> PublishedHosts | None:
        """Read the host list, or watch for one newer than ``after``.

        Arguments, result and errors are as for ``document``.
        """
        answer = await self._read("/v1/hosts", after, wait_ms)
        if answer is None:
            return None
        try:
            records = parse_hosts(answer.body)
        except ValueError as error:
            raise PlatformAnswerError(
                url=answer.url, reason=str(error), status=200
            ) from error
        return PublishedHosts(version=answer.version, records=records)

    async def close(self) -> None:
        """Close idle connections now, and busy ones after their answers."""
        for origin in self._origins:
            await origin.client.close()

    async def _read(self, path: str, after: int, wait_ms: int) -> "_Answer | None":
        query = f"?after={after}&wait_ms={wait_ms}" if wait_ms else ""
        origin = self._origin
        url = origin.url + path + query
        try:
            answer = await origin.client.request(
                method="GET",
                target=origin.prefix + path + query,
                timeout_ms=wait_ms + self._read_timeout_ms,
            )
            version = after if answer.status == 304 else _parse_version(answer)
        except HttpClientError as error:
            self._leave(origin)
            raise PlatformUnreachableError(url=url, reason=str(error)) from error
        except ValueError as error:
            self._leave(origin)
            raise PlatformAnswerError(
                url=url, reason=str(error), status=answer.status
            ) from error
        if version == after:
            return None
        return _Answer(url=url, version=version, body=answer.body)

    def _leave(self, origin: "_Origin") -> None:
        """Take the next address, unless another read has done so meanwhile."""
        if origin is self._origin:
            self._origin = next(self._turns)


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
            max_connections=CONNECTIONS,
            max_answer_bytes=MAX_PUBLISHED_BYTES,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    url: str
    version: int
    body: bytes


class _HostModel(BaseModel):
    """A host as the platform writes it; fields that it adds later are ignored."""

    name: Annotated[str, Field(min_length=1, max_length=200)]
    service: Annotated[str, Field(min_length=1, max_length=200)]
    availability_zone: Annotated[str, Field(min_length=1, max_length=200)]
    state: HostState
    link: AddressText
    entry: AddressText
    operators: AddressText


_HOST_LIST = TypeAdapter(list[_HostModel])


def parse_hosts(body: bytes) -> tuple[HostRecord, ...]:
    """Read a host list.

    Raises:
        ValueError: it is malformed, or names a host twice.
    """
    try:
        models = _HOST_LIST.validate_json(body)
    except ValidationError as error:
        raise ValueError(_faults(error)) from error
    records = tuple(
        HostRecord(**{name: getattr(model, name) for name in _HostModel.model_fields})
        for model in models
    )
    if len({record.name for record in records}) < len(records):
        raise ValueError("a host is named twice")
    return records


def _faults(error: ValidationError) -> str:
    faults = [
        f"{'.'.join(map(str, item['loc'])) or '(body)'}: {item['msg']}"
        for item in error.errors(include_url=False)
    ]
    more = len(faults) - MAX_FAULTS_SHOWN
    shown = "; ".join(faults[:MAX_FAULTS_SHOWN])
    return f"{shown}; and {more} more" if more > 0 else shown


def _parse_version(answer: HttpAnswer) -> int:
    if answer.status != 200:
        raise ValueError(f"status {answer.status}")
    text = dict(answer.headers).get("x-version", "")
    if not text.isascii() or not text.isdigit() or int(text) > MAX_VERSION:
        raise ValueError(f"x-version {text!r} is not a number up to 2**53 - 1")
    return int(text)
