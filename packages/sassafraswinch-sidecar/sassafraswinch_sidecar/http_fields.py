"""Header fields of HTTP/1.1 messages that pass through a sidecar."""

from http import HTTPStatus

from sassafraswinch_node.hop_by_hop import HOP_BY_HOP

Fields = list[tuple[bytes, bytes, bytes]]
"""Header fields in order: name in lower case, name as received, value. Names are
compared several times on the path of each message, and lowered once."""

NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"expect"}
"""Fields that aren't passed on: those of one connection, and the framing, which each
sender writes itself. A request with two framings could smuggle another one inside."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def serialize_end_to_end(fields: Fields, dropped: frozenset[bytes]) -> bytes:
    """Write the header lines that are passed on, each with its line end.

    Args:
        fields: fields of the message.
        dropped: names that aren't passed on, in lower case; those that ``Connection``
            declares to be of one connection are left out as well.
    """
    for lowered, _, value in fields:
        if lowered == b"connection":
            options = value.lower().split(b",")
            dropped = dropped.union(option.strip() for option in options)
    return b"".join(
        [
            b"%b: %b\r\n" % (name, value)
            for lowered, name, value in fields
            if lowered not in dropped
        ]
    )


def status_line(status: int) -> bytes:
    """Write the first line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b"Unknown"))


def has_body(status: int, method: bytes) -> bool:
    """Return whether a response carries a body."""
    return not (method == b"HEAD" or status in (204, 304) or status < 200)
