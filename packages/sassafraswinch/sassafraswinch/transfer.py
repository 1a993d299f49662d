"""The packed form of documents and host lists on their way between nodes."""

import zlib
from collections.abc import Iterable

from pydantic import TypeAdapter

from sassafraswinch.document import MAX_DOCUMENT_BYTES
from sassafraswinch.errors import InvalidFieldsError, SassafraswinchError
from sassafraswinch.membership import HostRecord
from sassafraswinch.records import parse_record, serialize_record

HOST_LIST = 0
"""Version that asks for the host list; documents are numbered from 1."""

_HOSTS = TypeAdapter(tuple[HostRecord, ...])


class UnpackError(SassafraswinchError):
    """What a peer sent can't be unpacked.

    Attributes:
        reason: what is wrong with it.
    """

    def __init__(self, *, reason: str):
        super().__init__(reason)
        self.reason = reason


def pack_document(body: bytes) -> bytes:
    """Compress a document for sending; at 1,700 changes a day it pays."""
    return zlib.compress(body)


def unpack_document(packed: bytes) -> bytes:
    """Return the document that ``pack_document`` packed.

    Raises:
        UnpackError: the bytes aren't a packed document, or a larger one than
            any document may be.
    """
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise UnpackError(reason=str(error)) from error
    if not reader.eof:
        raise UnpackError(reason=f"cut off, or over {MAX_DOCUMENT_BYTES} bytes")
    return body


def pack_hosts(records: Iterable[HostRecord]) -> bytes:
    """Write a host list in compressed JSON."""
    return zlib.compress(serialize_record(_HOSTS, tuple(records)))


def unpack_hosts(packed: bytes) -> tuple[HostRecord, ...]:
    """Return the host list that ``pack_hosts`` packed.

    Raises:
        UnpackError: the bytes aren't a packed host list.
    """
    try:
        return parse_record(_HOSTS, unpack_document(packed), source="peer")
    except InvalidFieldsError as error:
        raise UnpackError(reason=str(error)) from error
