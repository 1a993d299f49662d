"""Digests that identify a request by content, also when a caller sends it again."""

import hashlib
import zlib
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

TAG_BYTES = 4
"""Length of a digest's prefix, which depends on the path alone and is much faster to
compute than the whole digest."""

HASH_BYTES = 12
"""Length of the rest: long enough to make it infeasible to construct another request
with a given digest."""

CALLER_FIELDS = frozenset({b"authorization"})
"""Header fields, in lower case, that identify the sender, so that equal requests of two
callers have different digests."""

LOGGED_BYTES = 8
"""Bytes of a digest that are written to logs."""

Digests = tuple[bytes, ...]
"""The digests of one request: with its query and, if it has one, also without."""


class SentRequest(Protocol):
    """A request as its caller sent it, in any representation.

    Attributes:
        method: HTTP method.
        target: path and query.
        headers: header lines, each with its line end.
        body: request body.
        organisation: name of the sending organisation, whichever key it used; or "".
    """

    method: str
    target: bytes
    headers: bytes
    body: bytes
    organisation: str


@dataclass(frozen=True, slots=True)
class RequestContent:
    """A plain ``SentRequest``: the request as its caller sent it."""

    method: str
    target: bytes
    headers: bytes
    body: bytes
    organisation: str = ""


def digest_request(request: SentRequest) -> Digests:
    """Return the digests of a request, which don't reveal its content.

    They leave out what differs each time a request is sent: its id, its deadline and
    the host at which it arrives. A caller may also change the query (a page, a time),
    so the request without its query has a digest of its own.
    """
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    sender = sorted(_sender_lines(request.headers))
    # Without an organisation the digest equals that of earlier releases.
    if request.organisation:
        sender.append(b"organisation:" + request.organisation.encode())
    for part in (request.method.encode("latin-1"), *sender, request.body):
        _add_part(hasher, part)
    path, mark, _ = request.target.partition(b"?")
    targets = (request.target, path) if mark else (path,)
    tag = path_tag(path)
    return tuple(tag + _digest_with(hasher, target) for target in targets)


def path_tag(target: bytes) -> bytes:
    """Return the digest prefix of all requests for the path of a target."""
    path = target.partition(b"?")[0]
    return zlib.crc32(path).to_bytes(TAG_BYTES, "big")


def digest_text(digest: bytes) -> str:
    """Return the hexadecimal form of a digest for logs."""
    return digest[:LOGGED_BYTES].hex()


def _sender_lines(headers: bytes) -> Collection[bytes]:
    """Return the header lines that name the requested host and the sender."""
    lines = (line.partition(b":") for line in headers.split(b"\r\n") if line)
    return [
        b"%b:%b" % (name.lower(), value.strip())
        for name, _, value in lines
        if name.lower() == b"host" or name.lower() in CALLER_FIELDS
    ]


def _add_part(hasher: "hashlib.blake2b", part: bytes) -> None:
    # The length prefix gives different lists of parts different digests.
    hasher.update(len(part).to_bytes(8, "big"))
    hasher.update(part)


def _digest_with(hasher: "hashlib.blake2b", target: bytes) -> bytes:
    copy = hasher.copy()
    _add_part(copy, target)
    return copy.digest()
