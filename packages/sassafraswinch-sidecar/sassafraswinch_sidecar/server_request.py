"""Coding of requests as the backend server gets them."""

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest


def serialize_request(
    request: RelayRequest, names: HeaderNames, left_ms: float
) -> bytes:
    """Write a request, with the time that is left for it and the instance it is for."""
    length = b"Content-Length: %d\r\n" % len(request.body) if request.body else b""
    return b"".join(
        (
            request.method.encode(),
            b" ",
            request.target,
            b" HTTP/1.1\r\n",
            request.headers,
            b"%b: %d\r\n" % (names.time_left_ms, max(int(left_ms), 1)),
            b"%b: %b\r\n" % (names.expected_instance, request.instance_id.encode()),
            length,
            b"\r\n",
            request.body,
        )
    )
