"""Names of requests that stay the same when a caller sends them again."""

import hashlib
import zlib
from collections.abc import Collection
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What a caller sends.

    Attributes:
        method: its method.
        target: path and query.
        header_lines: header lines, each with its line end.
        body: its body.
    """

    method: str
    target: bytes
    header_lines: bytes
    body: bytes


def digest_request(content: RequestContent) -> Digests:
    """Return the digests of a request, which tell nothing of its content.

    What is left out differs each time that a request is sent again: its id, its time
    limit, and the host at which it arrives. A caller may send a query anew as well
    (a page, a time), so the request without it has a digest of its own.
    """
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    sender = sorted(_sender_lines(content.header_lines))
    for part in (content.method.encode("latin-1"), *sender, content.body):
        _add(hasher, part)
    path, mark, _ = content.target.partition(b"?")
    targets = (content.target, path) if mark else (path,)
    tag = path_tag(path)
    return tuple(tag + _finished(hasher, target) for target in targets)


def path_tag(target: bytes) -> bytes:
    """Return the begin of the digests of all requests for a target's path."""
    path = target.partition(b"?")[0]
    return zlib.crc32(path).to_bytes(TAG_BYTES, "big")


def digest_text(digest: bytes) -> str:
    """Return a digest as logs show it."""
    return digest[:TEXT_BYTES].hex()


def _sender_lines(header_lines: bytes) -> Collection[bytes]:
    """Return the lines that name the host asked for, and who asks."""
    lines = (line.partition(b":") for line in header_lines.split(b"\r\n") if line)
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
