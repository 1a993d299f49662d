"""Header fields of HTTP/1.1 messages that pass through a sidecar."""

from collections.abc import Iterable
from http import HTTPStatus

Fields = list[tuple[bytes, bytes]]
"""Names and values of header fields, in order and as received."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields of one connection (RFC 9110, 7.6.1), and the framing, which each sender
writes itself: a request with two framings could smuggle another one inside."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def named_by_connection(fields: Fields) -> frozenset[bytes]:
    """Return the fields that ``Connection`` declares to be of one connection."""
    return frozenset(
        option.strip().lower()
        for name, value in fields
        if name.lower() == b"connection"
        for option in value.split(b",")
    )


def serialize_fields(fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Write header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % field for field in fields])


def status_line(status: int) -> bytes:
    """Write the first line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b"Unknown"))


def has_body(status: int, method: bytes) -> bool:
    """Return whether a response carries a body."""
    return not (method == b"HEAD" or status in (204, 304) or status < 200)
