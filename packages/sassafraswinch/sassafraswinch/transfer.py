"""Compression of documents for transfer between nodes."""

import zlib

from sassafraswinch.document import MAX_DOCUMENT_BYTES
from sassafraswinch.errors import SassafraswinchError


class UnpackError(SassafraswinchError):
    """A document received from a peer can't be decompressed.

    Attributes:
        reason: Cause of the failure.
    """

    def __init__(self, *, reason: str):
        super().__init__(reason)
        self.reason = reason


def pack_document(body: bytes) -> bytes:
    """Compress a document for transfer, as there are 1,700 changes a day."""
    return zlib.compress(body)


def unpack_document(packed: bytes) -> bytes:
    """Decompress a document that ``pack_document`` compressed.

    Raises:
        UnpackError: The bytes aren't a complete compressed document, or it is larger
            than ``MAX_DOCUMENT_BYTES``.
    """
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise UnpackError(reason=str(error)) from error
    if not reader.eof:
        raise UnpackError(reason=f"truncated, or over {MAX_DOCUMENT_BYTES} bytes")
    return body
