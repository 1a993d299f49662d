"""Verdicts on the execution of a request, and the reasons of refusals."""

import enum


class Verdict(enum.Enum):
    """Whether the request may have run on a backend server."""

    NOT_RUN = "not-run"
    """Proved: no backend server has started the request, and none will."""

    ANSWERED = "answered"
    """The complete answer of a backend server was received."""

    MAY_HAVE_RUN = "may-have-run"
    """Unknown: the request may have run, may be running, or may never run."""


class Reason(enum.Enum):
    """Reason for which a node ended a call without a backend server's answer."""

    OVERLOADED = "overloaded"
    EVICTED = "evicted"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    NO_DOCUMENT = "no-document"
    NO_HOST = "no-host"
    UNKNOWN_OPERATION = "unknown-operation"
    TOO_LARGE = "too-large"
    BACKEND_SHED = "backend-shed"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_BROKEN = "backend-broken"
    LINK_LOST = "link-lost"
    PEER_RESTARTED = "peer-restarted"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    RETRY_REFUSED = "retry-refused"
    CALLER_RETRIES = "caller-retries"
    TICKET_REQUIRED = "ticket-required"
    TICKET_INVALID = "ticket-invalid"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_OTHER_REQUEST = "ticket-other-request"
    TICKET_OWNER_UNREACHABLE = "ticket-owner-unreachable"
    TICKET_OWNER_RESTARTED = "ticket-owner-restarted"
    ANSWER_NOT_KEPT = "answer-not-kept"
    REPEATABLE_PARENT = "repeatable-parent"
    BAD_REQUEST = "bad-request"
