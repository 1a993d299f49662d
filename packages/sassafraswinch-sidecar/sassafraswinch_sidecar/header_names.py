"""Names of the HTTP header fields that a sidecar reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names of one deployment, sent as written and compared in lower case.

    Attributes:
        request_id: id of a caller's request; echoed in the response.
        time_left_ms: milliseconds for which the sender of a request will wait.
        expected_instance: id of the instance that must run the request.
        not_executed: set by a backend server as proof that it did not run a request.
        caller_service: service of the sidecar that got the request from its caller.
        signature: set by a backend server on the responses that it made itself.
        actual_instance: id of the backend server, where it refuses a request for
            another instance.
        organisation: name of the organisation that sent a request.
    """

    request_id: bytes = b"x-request-id"
    time_left_ms: bytes = b"x-deadline-ms"
    expected_instance: bytes = b"x-expected-instance"
    not_executed: bytes = b"x-not-run"
    caller_service: bytes = b"x-caller-service"
    signature: bytes = b"x-signature"
    actual_instance: bytes = b"x-instance"
    organisation: bytes = b"x-organisation"
