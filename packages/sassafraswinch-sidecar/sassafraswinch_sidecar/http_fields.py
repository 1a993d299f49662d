"""Header fields and status lines of HTTP/1.1 messages forwarded by a sidecar."""

from http import HTTPStatus

from sassafraswinch_node.hop_by_hop import HOP_BY_HOP

Fields = list[tuple[bytes, bytes, bytes]]
"""Header fields in order: name in lower case, name as received, value. Names are
lowered once per message, since each is compared several times."""

NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect"}
"""Names of fields that are not forwarded: hop-by-hop fields, and message framing, which
each sender writes itself. Two conflicting framings would allow request smuggling."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def serialize_end_to_end(fields: Fields, dropped: frozenset[bytes]) -> bytes:
    """Serialize the header lines to forward, each with its line end.

    Args:
        fields: fields of the message.
        dropped: names that are not forwarded, in lower case; the names listed in
            ``Connection`` are not forwarded either.
    """
    options = [
        option.strip()
        for lowered, _, value in fields
        if lowered == b"connection"
        for option in value.lower().split(b",")
    ]
    if options:
        dropped = dropped.union(options)
    return b"".join(
        [
            b"%b: %b\r\n" % (name, value)
            for lowered, name, value in fields
            if lowered not in dropped
        ]
    )


def status_line(status: int) -> bytes:
    """Serialize the status line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b"Unknown"))


def has_body(status: int, method: bytes) -> bool:
    """Return whether a response has a body.

    Args:
        status: status code of the response.
        method: method of the request.
    """
    return not (method == b"HEAD" or status in (204, 304) or status < 200)
