"""Names of the header fields that a sidecar reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header fields of one deployment, in lower case but for those it sends.

    Attributes:
        request_id: identifies one request of a caller; echoed in its answer.
        time_left_ms: milliseconds that the sender of a request will wait.
        expected_instance: instance id that a request must be run by.
        not_executed: the backend server proves that it did not run a request.
        caller_service: service of the host where a request began.
        signature: marks a backend server's own answer.
        actual_instance: instance id of a backend server that refuses a request for
            another one.
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
