"""Serialization of HTTP requests to the backend server."""

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

LONG_BODY_BYTES = 64 * 1024
"""Length from which a body isn't copied into one buffer with its header."""


def serialize_request(
    request: RelayRequest, names: HeaderNames, remaining_ms: float
) -> tuple[bytes, bytes]:
    """Serialize a request, with its remaining time and its expected instance.

    Returns:
        The request, and its body if that is long and so isn't part of the first.
    """
    is_long = len(request.body) >= LONG_BODY_BYTES
    length_line = b"Content-Length: %d\r\n" % len(request.body) if request.body else b""
    serialized = b"".join(
        (
            request.method.encode(),
            b" ",
            request.target,
            b" HTTP/1.1\r\n",
            request.headers,
            b"%b: %d\r\n" % (names.time_left_ms, max(int(remaining_ms), 1)),
            b"%b: %b\r\n" % (names.expected_instance, request.instance_id.encode()),
            length_line,
            b"\r\n",
            b"" if is_long else request.body,
        )
    )
    return serialized, request.body if is_long else b""
