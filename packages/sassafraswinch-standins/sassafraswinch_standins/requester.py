"""Client for single requests to a node, with access to its full response."""

import http.client
import itertools
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

import orjson

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch_standins.answers import (
    AnswerFault,
    RequestFields,
    check_answer,
    serialize_request,
)
from sassafraswinch_standins.attempts import (
    REASON_HEADER,
    TICKET_HEADER,
    VERDICT_HEADER,
)
from sassafraswinch_standins.serving import parse_address

RESPONSE_TIMEOUT_S = 40.0
"""Timeout of a request, in seconds; longer than every deadline of a test."""

TICKET_REQUIRED_STATUS = 428

MAX_CONCURRENT_REQUESTS = 64
"""Maximum number of concurrent requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Response of a node, or the connection error that prevented one."""

    request_id: str
    status: int = 0
    headers: Mapping[str, str]
    body: bytes = b""
    connection_error: str | None = None
    """Error that ended the connection before a complete response, or None."""

    @property
    def verdict(self) -> str | None:
        """Verdict of the node on whether the request was executed."""
        return self.headers.get(VERDICT_HEADER)

    @property
    def reason(self) -> str | None:
        """Reason why the response is not from a backend server."""
        return self.headers.get(REASON_HEADER)

    @property
    def ticket(self) -> str | None:
        """Ticket issued for a subsequent request."""
        return self.headers.get(TICKET_HEADER)

    @property
    def fault(self) -> AnswerFault | None:
        """Fault of the response body, or None if it is valid."""
        return check_answer(self.body, request_id=self.request_id)

    @property
    def server(self) -> str | None:
        """Name of the backend server that responded."""
        return None if self.fault else orjson.loads(self.body.splitlines()[0])["server"]

    @property
    def summary(self) -> tuple[int, str | None, str | None]:
        """Status, verdict and reason, for assertions."""
        return self.status, self.verdict, self.reason or self.connection_error


@dataclass(frozen=True, slots=True, kw_only=True)
class SingleRequest:
    """One request of a caller; sending the same object again is a retry."""

    request_id: str
    method: str
    path: str
    """Path that begins with the name of the service."""
    answer_bytes: int = 100
    headers: Mapping[str, str] | None = None
    ticket: str | None = None
    body: bytes | None = None
    """Body that replaces the default body of the stand-ins."""


class TicketNotIssuedError(SassafraswinchError):
    """A node issued no ticket for a request that requires one.

    Attributes:
        entry: ingress address of the node.
        reply: response of the node.
    """

    def __init__(self, *, entry: str, reply: Reply):
        super().__init__(f"{entry} issued no ticket; it responded {reply.summary}")
        self.entry = entry
        self.reply = reply


class Requester:
    """Sends each request on a connection of its own, without retries."""

    _numbers = itertools.count(1)

    def __init__(self, *, caller: str = "buyer", organisation: str = "distributor"):
        self.identity = {"x-caller-id": caller, "x-organisation-id": organisation}
        self._pool = ThreadPoolExecutor(max_workers=MAX_CONCURRENT_REQUESTS)

    def new(self, method: str, path: str, **fields: Any) -> SingleRequest:
        """Create a request with a new id, which also replaces ``{id}`` in the path."""
        caller_id = self.identity["x-caller-id"]
        request_id = f"{caller_id}-{next(self._numbers)}"
        full_path = path.replace("{id}", request_id)
        return SingleRequest(
            request_id=request_id, method=method, path=full_path, **fields
        )

    def send(self, entry: str, request: SingleRequest) -> Reply:
        """Send a request and wait for its response."""
        host, port = parse_address(entry)
        fields = RequestFields(
            request_id=request.request_id, answer_bytes=request.answer_bytes
        )
        target, body = serialize_request(
            fields, method=request.method, path=request.path
        )
        headers = self.identity | dict(request.headers or {})
        if request.ticket is not None:
            headers[TICKET_HEADER] = request.ticket
        connection = http.client.HTTPConnection(host, port, timeout=RESPONSE_TIMEOUT_S)
        try:
            connection.request(
                request.method,
                target,
                body if request.body is None else request.body,
                headers,
            )
            response = connection.getresponse()
            return Reply(
                request_id=request.request_id,
                status=response.status,
                headers={name.lower(): value for name, value in response.getheaders()},
                body=response.read(),
            )
        except (OSError, http.client.HTTPException) as error:
            return Reply(
                request_id=request.request_id, headers={}, connection_error=repr(error)
            )
        finally:
            connection.close()

    def with_ticket(self, entry: str, request: SingleRequest) -> SingleRequest:
        """Send a request without a ticket and return it with the ticket it was issued.

        Raises:
            TicketNotIssuedError: the response contains no ticket.
        """
        reply = self.send(entry, replace(request, ticket=None))
        if reply.status != TICKET_REQUIRED_STATUS or reply.ticket is None:
            raise TicketNotIssuedError(entry=entry, reply=reply)
        return replace(request, ticket=reply.ticket)

    def submit_all(
        self, work: Callable[..., Any], items: Iterable[Any]
    ) -> list["Future[Any]"]:
        """Run ``work`` on all items concurrently, in the thread pool of this client."""
        return [self._pool.submit(work, item) for item in items]

    def close(self) -> None:
        """Wait for outstanding responses and shut the thread pool down."""
        self._pool.shutdown()
