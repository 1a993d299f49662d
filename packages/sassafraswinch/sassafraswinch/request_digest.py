"""Names of requests that stay the same when a caller sends them again."""

import hashlib
import zlib
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

TAG_BYTES = 4
"""Begin of a digest that the path alone decides, and that is worked out much faster."""

HASH_BYTES = 12
"""The rest: long enough that nobody finds another request with a given digest."""

CALLER_FIELDS = frozenset({b"authorization"})
"""Header fields, in lower case, that say who sends a request: two callers who ask for
the same aren't taken for one."""

TEXT_BYTES = 8
"""Bytes of a digest that logs show."""

Digests = tuple[bytes, ...]
"""The digests of one request: with its query and, if it has one, without."""


class SentRequest(Protocol):
    """What a caller sends, wherever a host holds it.

    Attributes:
        method: its method.
        target: path and query.
        headers: header lines, each with its line end.
        body: its body.
        organisation: name of the organisation that sends it, whatever its key; or "".
    """

    method: str
    target: bytes
    headers: bytes
    body: bytes
    organisation: str


@dataclass(frozen=True, slots=True)
class RequestContent:
    """A request that is nothing but what its caller sent (SentRequest)."""

    method: str
    target: bytes
    headers: bytes
    body: bytes
    organisation: str = ""


def digest_request(request: SentRequest) -> Digests:
    """Return the digests of a request, which tell nothing of its content.

    What is left out differs each time that a request is sent again: its id, its time
    limit, and the host at which it arrives. A caller may send a query anew as well
    (a page, a time), so the request without it has a digest of its own.
    """
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    sender = sorted(_sender_lines(request.headers))
    # Without organisations it is the digest that earlier releases make.
    if request.organisation:
        sender.append(b"organisation:" + request.organisation.encode())
    for part in (request.method.encode("latin-1"), *sender, request.body):
        _add(hasher, part)
    path, mark, _ = request.target.partition(b"?")
    targets = (request.target, path) if mark else (path,)
    tag = path_tag(path)
    return tuple(tag + _finished(hasher, target) for target in targets)


def path_tag(target: bytes) -> bytes:
    """Return the begin of the digests of all requests for a target's path."""
    path = target.partition(b"?")[0]
    return zlib.crc32(path).to_bytes(TAG_BYTES, "big")


def digest_text(digest: bytes) -> str:
    """Return a digest as logs show it."""
    return digest[:TEXT_BYTES].hex()


def _sender_lines(headers: bytes) -> Collection[bytes]:
    """Return the lines that name the host asked for, and who asks."""
    lines = (line.partition(b":") for line in headers.split(b"\r\n") if line)
    return [
        b"%b:%b" % (name.lower(), value.strip())
        for name, _, value in lines
        if name.lower() == b"host" or name.lower() in CALLER_FIELDS
    ]


def _add(hasher: "hashlib.blake2b", part: bytes) -> None:
    # With its length, so that no two lists of parts look alike.
    hasher.update(len(part).to_bytes(8, "big"))
    hasher.update(part)


def _finished(hasher: "hashlib.blake2b", target: bytes) -> bytes:
    finished = hasher.copy()
    _add(finished, target)
    return finished.digest()
