"""Serialization of HTTP requests to the backend server."""

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest


def serialize_request(
    request: RelayRequest, names: HeaderNames, remaining_ms: float
) -> bytes:
    """Serialize a request, with its remaining time and its expected instance."""
    length_line = b"Content-Length: %d\r\n" % len(request.body) if request.body else b""
    return b"".join(
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
            request.body,
        )
    )
