"""Mapping of request outcomes to HTTP status codes and header fields."""

import math

from sassafraswinch.requests import Outcome
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.hop_by_hop import HOP_BY_HOP

VERDICT_HEADER = b"sassafraswinch-verdict"
REASON_HEADER = b"sassafraswinch-reason"
TICKET_HEADER = b"sassafraswinch-ticket"
RETRY_AFTER_HEADER = b"retry-after"
RETRY_AFTER_MS_HEADER = b"retry-after-ms"
SYSTEM_PREFIX = b"sassafraswinch-"
"""Prefix of header fields that only this system sets; others are stripped."""

NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_OPERATION: 404,
    Reason.TOO_LARGE: 413,
    Reason.TICKET_REQUIRED: 428,
    Reason.TICKET_INVALID: 400,
    Reason.TICKET_EXPIRED: 410,
    Reason.TICKET_OTHER_REQUEST: 422,
    Reason.REPEATABLE_PARENT: 409,
    Reason.CALLER_RETRIES: 429,
    Reason.RETRY_REFUSED: 429,
}
"""Reasons with a specific status, which takes precedence over the verdict."""

MS_PER_S = 1000


def outcome_status(outcome: Outcome) -> int:
    """Return the HTTP status for ``outcome``."""
    if outcome.verdict is Verdict.ANSWERED:
        return outcome.status
    status = STATUS_BY_REASON.get(outcome.reason)
    if status is not None:
        return status
    if outcome.verdict is Verdict.NOT_RUN:
        return NOT_RUN_STATUS
    if outcome.reason is Reason.DEADLINE:
        return 504
    return MAY_HAVE_RUN_STATUS


def outcome_headers(outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Return the response header fields, those of the backend server first."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in outcome.headers
    ]
    headers = [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name != b"content-length"
        and not name.startswith(SYSTEM_PREFIX)
    ]
    headers.append((VERDICT_HEADER, outcome.verdict.value.encode()))
    if outcome.reason is not None:
        headers.append((REASON_HEADER, outcome.reason.value.encode()))
    if outcome.ticket is not None:
        headers.append((TICKET_HEADER, outcome.ticket.encode()))
    if outcome.retry_after_ms:
        seconds = math.ceil(outcome.retry_after_ms / MS_PER_S)
        headers.append((RETRY_AFTER_HEADER, b"%d" % seconds))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % outcome.retry_after_ms))
    headers.append((b"content-length", b"%d" % len(outcome.body)))
    return headers
