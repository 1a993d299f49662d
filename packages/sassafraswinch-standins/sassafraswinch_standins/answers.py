"""Requests and answers that show whether an answer is whole and the caller's own."""

import enum
import zlib
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlencode

import orjson

MAX_FILLER_BYTES = 1_000_000
"""Largest filler of an answer, in bytes."""


class AnswerFault(enum.Enum):
    """What is wrong with an answer."""

    UNREADABLE = "unreadable"
    OTHER_REQUEST = "other-request"
    TRUNCATED = "truncated"
    CORRUPT = "corrupt"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFields:
    """What a caller asks a backend server stand-in."""

    request_id: str
    """Unique among the tries of all callers; children append ``/index``."""

    answer_bytes: int
    """Size of the filler of the answer, in bytes."""


def parse_request(*, query: bytes, body: bytes) -> RequestFields | None:
    """Read a request of a stand-in; None when it isn't one."""
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
    """Write a request: in the query of a GET, else in the body.

    Returns:
        The target and the body.
    """
    fields = {"id": request.request_id, "answer_bytes": request.answer_bytes}
    if method == "GET":
        return f"{path}?{urlencode(fields)}", b""
    return path, orjson.dumps(fields)


def make_answer(request: RequestFields, *, server: str) -> bytes:
    """Write an answer: one line with id, length and checksum, then the filler.

    The filler repeats the request's id, so that a mixture of two answers has a wrong
    checksum even when both have one length.
    """
    unit = request.request_id.encode() + b"."
    times = request.answer_bytes // len(unit) + 1
    filler = (unit * times)[: request.answer_bytes]
    head = {
        "id": request.request_id,
        "server": server,
        "length": len(filler),
        "crc32": zlib.crc32(filler),
    }
    return orjson.dumps(head) + b"\n" + filler


def check_answer(body: bytes, *, request_id: str) -> AnswerFault | None:
    """Return what is wrong with an answer to a request; None when nothing is."""
    line, newline, filler = body.partition(b"\n")
    try:
        head = orjson.loads(line)
        answered_id, length, checksum = head["id"], head["length"], head["crc32"]
    except (KeyError, TypeError, ValueError):
        return AnswerFault.UNREADABLE
    if answered_id != request_id:
        return AnswerFault.OTHER_REQUEST
    if not newline or len(filler) != length:
        return AnswerFault.TRUNCATED
    if zlib.crc32(filler) != checksum:
        return AnswerFault.CORRUPT
    return None
