"""Single requests to a node's entry, with all that their answers say."""

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

PATIENCE_S = 40.0
"""Longest wait for an answer, in seconds; beyond every deadline of a test."""

TICKET_REQUIRED_STATUS = 428

MAX_ASKERS = 64
"""Requests that wait for their answers at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An answer of a node, or the fault that stands for none."""

    request_id: str
    status: int = 0
    headers: Mapping[str, str]
    body: bytes = b""
    broken: str | None = None
    """What broke the connection before a whole answer; None if nothing did."""

    @property
    def verdict(self) -> str | None:
        """What the node says about the run."""
        return self.headers.get(VERDICT_HEADER)

    @property
    def reason(self) -> str | None:
        """Why there is no answer of a backend server."""
        return self.headers.get(REASON_HEADER)

    @property
    def ticket(self) -> str | None:
        """A ticket for a further request."""
        return self.headers.get(TICKET_HEADER)

    @property
    def fault(self) -> AnswerFault | None:
        """What is wrong with the body of an answer; None when nothing is."""
        return check_answer(self.body, request_id=self.request_id)

    @property
    def server(self) -> str | None:
        """Name of the backend server that made the answer."""
        return None if self.fault else orjson.loads(self.body.splitlines()[0])["server"]

    @property
    def told(self) -> tuple[int, str | None, str | None]:
        """Status, verdict and reason, for messages of assertions."""
        return self.status, self.verdict, self.reason or self.broken


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """One request of a caller; the same one again is a repeat."""

    request_id: str
    method: str
    path: str
    """With the service in front."""
    answer_bytes: int = 100
    headers: Mapping[str, str] | None = None
    ticket: str | None = None
    body: bytes | None = None
    """In place of the stand-ins' own."""


class TicketNotGivenError(SassafraswinchError):
    """A node gave no ticket where one was due.

    Attributes:
        entry: address of the node.
        reply: what it answered.
    """

    def __init__(self, *, entry: str, reply: Reply):
        super().__init__(f"{entry} gave no ticket: {reply.told}")
        self.entry = entry
        self.reply = reply


class Asker:
    """Sends requests one by one, each on a connection of its own, and none twice."""

    _numbers = itertools.count(1)

    def __init__(self, *, caller: str = "buyer", organisation: str = "distributor"):
        self.identity = {"x-caller-id": caller, "x-organisation-id": organisation}
        self._pool = ThreadPoolExecutor(max_workers=MAX_ASKERS)

    def new(self, method: str, path: str, **fields: Any) -> Ask:
        """Return a request of its own id, which also fills ``{id}`` in the path."""
        who = self.identity["x-caller-id"]
        request_id = f"{who}-{next(self._numbers)}"
        filled = path.replace("{id}", request_id)
        return Ask(request_id=request_id, method=method, path=filled, **fields)

    def ask(self, entry: str, ask: Ask) -> Reply:
        """Send a request and wait for its answer."""
        host, port = parse_address(entry)
        fields = RequestFields(request_id=ask.request_id, answer_bytes=ask.answer_bytes)
        target, body = serialize_request(fields, method=ask.method, path=ask.path)
        headers = self.identity | dict(ask.headers or {})
        if ask.ticket is not None:
            headers[TICKET_HEADER] = ask.ticket
        connection = http.client.HTTPConnection(host, port, timeout=PATIENCE_S)
        try:
            connection.request(
                ask.method, target, body if ask.body is None else ask.body, headers
            )
            answer = connection.getresponse()
            return Reply(
                request_id=ask.request_id,
                status=answer.status,
                headers={name.lower(): value for name, value in answer.getheaders()},
                body=answer.read(),
            )
        except (OSError, http.client.HTTPException) as error:
            return Reply(request_id=ask.request_id, headers={}, broken=repr(error))
        finally:
            connection.close()

    def with_ticket(self, entry: str, ask: Ask) -> Ask:
        """Send a request without a ticket; return it with the one it was given.

        Raises:
            TicketNotGivenError: the answer brings none.
        """
        reply = self.ask(entry, replace(ask, ticket=None))
        if reply.status != TICKET_REQUIRED_STATUS or reply.ticket is None:
            raise TicketNotGivenError(entry=entry, reply=reply)
        return replace(ask, ticket=reply.ticket)

    def together(
        self, work: Callable[..., Any], items: Iterable[Any]
    ) -> list["Future[Any]"]:
        """Begin ``work`` with each item at once, on threads of this asker."""
        return [self._pool.submit(work, item) for item in items]

    def close(self) -> None:
        """Wait for the last answers."""
        self._pool.shutdown()
