"""Test requests and checksummed responses that reveal truncated or mixed data."""

import enum
import zlib
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlencode

import orjson

MAX_FILLER_BYTES = 1_000_000
"""Maximum size of the filler of a response, in bytes."""


class AnswerFault(enum.Enum):
    """Kinds of faulty response."""

    UNREADABLE = "unreadable"
    OTHER_REQUEST = "other-request"
    TRUNCATED = "truncated"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFields:
    """Fields of a request to a backend server stand-in."""

    request_id: str
    """Unique among the requests of all callers; child calls append ``/index``."""

    answer_bytes: int
    """Size of the filler of the response, in bytes."""


def parse_request(*, query: bytes, body: bytes) -> RequestFields | None:
    """Parse a request to a stand-in; return None if it is malformed."""
    try:
        fields = dict(parse_qsl(query.decode())) if query else orjson.loads(body)
        return RequestFields(
            request_id=str(fields["id"]),
            answer_bytes=min(int(fields["answer_bytes"]), MAX_FILLER_BYTES),
        )
    except (KeyError, TypeError, ValueError):
        return None


def serialize_request(
    request: RequestFields, *, method: str, path: str
) -> tuple[str, bytes]:
    """Serialize a request: into the query of a GET, otherwise into the body.

    Returns:
        The request target and the body.
    """
    fields = {"id": request.request_id, "answer_bytes": request.answer_bytes}
    if method == "GET":
        return f"{path}?{urlencode(fields)}", b""
    return path, orjson.dumps(fields)


def make_answer(request: RequestFields, *, server: str) -> bytes:
    """Build a response: a line with id, length and checksum, then the filler.

    The filler repeats the id of the request, so that a mixture of two responses fails
    the checksum even when both have the same length.
    """
    pattern = request.request_id.encode() + b"."
    repetitions = request.answer_bytes // len(pattern) + 1
    filler = (pattern * repetitions)[: request.answer_bytes]
    head = {
        "id": request.request_id,
        "server": server,
        "length": len(filler),
        "crc32": zlib.crc32(filler),
    }
    return orjson.dumps(head) + b"\n" + filler


def check_answer(body: bytes, *, request_id: str) -> AnswerFault | None:
    """Return the fault of the response to a request, or None if it is valid."""
    line, newline, filler = body.partition(b"\n")
    try:
        head = orjson.loads(line)
        response_id, length, checksum = head["id"], head["length"], head["crc32"]
    except (KeyError, TypeError, ValueError):
        return AnswerFault.UNREADABLE
    if response_id != request_id:
        return AnswerFault.OTHER_REQUEST
    if not newline or len(filler) != length:
        return AnswerFault.TRUNCATED
    if zlib.crc32(filler) != checksum:
        return AnswerFault.CORRUPT
    return None
