"""ASGI application of the ingress and egress listeners of a node.

It is plain ASGI, since it handles every call and has a single route; only the
operators' listener uses starlette.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.messages import Headers
from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.http_status import (
    HOP_BY_HOP,
    SYSTEM_PREFIX,
    TICKET_HEADER,
    outcome_headers,
    outcome_status,
)

TRACEPARENT_HEADER = b"traceparent"
IDEMPOTENCY_HEADER = b"idempotency-key"
STRIPPED_HEADERS = HOP_BY_HOP | {
    TRACEPARENT_HEADER,
    b"tracestate",
    b"content-length",
    b"host",
    b"x-deadline-ms",
    b"expect",
    b"x-http-method",
    b"x-http-method-override",
    b"x-method-override",
}
"""Header fields that are not forwarded: hop-by-hop fields, context that only the system
may set, and method overrides, which could disguise an approval as a lookup."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IdentityHeaders:
    """Names of the header fields that identify the caller."""

    caller: bytes
    organisation: bytes


class CallerLeftError(Exception):
    """The caller disconnected before its request was received completely."""


class CallListener:
    """ASGI application that submits HTTP requests as calls and returns their outcomes.

    Args:
        submit: submits a request; its outcome is passed to ``respond``.
        abandon: called with the handle of a request whose sender has disconnected.
        handles: source of request handles, shared by all listeners of a node.
        identity: returns the names of the header fields that identify the caller.
        max_body_bytes: maximum length of a body; longer ones are refused with 413.
        leaving: returns whether the node is leaving, in which case persistent
            connections are closed.
    """

    def __init__(
        self,
        *,
        submit: Callable[[Request], None],
        abandon: Callable[[int], None],
        handles: "itertools.count[int]",
        identity: Callable[[], IdentityHeaders],
        max_body_bytes: int,
        leaving: Callable[[], bool],
    ):
        self.submit = submit
        self.abandon = abandon
        self.handles = handles
        self.identity = identity
        self.max_body_bytes = max_body_bytes
        self.leaving = leaving
        self.waiting: dict[int, asyncio.Future[Outcome]] = {}

    def respond(self, handle: int, outcome: Outcome) -> bool:
        """Answer a waiting request; return False if this listener does not hold it."""
        future = self.waiting.pop(handle, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(outcome)
        return True

    def end_waiting_requests(self) -> None:
        """End all waiting requests with the verdict MAY_HAVE_RUN."""
        outcome = Outcome(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.CANCELLED)
        for handle in tuple(self.waiting):
            self.respond(handle, outcome)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        outcome = await self._serve(scope, receive)
        if outcome is not None:
            await _send_outcome(send, outcome, last=self.leaving())

    async def _serve(self, scope, receive) -> Outcome | None:
        """Return the outcome of a request, or None if its sender has disconnected."""
        fields = dict(scope["headers"])
        try:
            body = await self._read_body(fields, receive)
        except CallerLeftError:
            return None
        if body is None:
            return _refusal(fields, Reason.TOO_LARGE)
        request = self._request(scope, fields, body)
        if request is None:
            return _refusal(fields, Reason.BAD_REQUEST)
        return await self._wait_for_outcome(request, receive)

    async def _wait_for_outcome(self, request: Request, receive) -> Outcome | None:
        future = asyncio.get_running_loop().create_future()
        self.waiting[request.handle] = future
        self.submit(request)
        if future.done():
            return future.result()
        disconnected = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (future, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected.cancel()
            if not future.done():
                self.waiting.pop(request.handle, None)
                self.abandon(request.handle)
        return future.result() if future.done() else None

    async def _read_body(self, fields: dict[bytes, bytes], receive) -> bytes | None:
        """Return the body, or None if it is too long.

        Raises:
            CallerLeftError: the rest of the body will not arrive.
        """
        declared = fields.get(b"content-length", b"0")
        if not declared.isdigit() or int(declared) > self.max_body_bytes:
            return None
        chunks = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > self.max_body_bytes:
                return None
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)

    def _request(
        self, scope, fields: dict[bytes, bytes], body: bytes
    ) -> Request | None:
        raw_path = scope.get("raw_path") or scope["path"].encode()
        service, _, rest = raw_path.lstrip(b"/").partition(b"/")
        if not service:
            return None
        query = scope["query_string"]
        target = b"/" + rest + (b"?" + query if query else b"")
        identity = self.identity()
        return Request(
            handle=next(self.handles),
            service=service.decode("latin-1"),
            method=scope["method"],
            target=target.decode("latin-1"),
            headers=_forwarded_headers(scope["headers"]),
            body=body,
            caller=fields.get(identity.caller, b"").decode("latin-1"),
            organisation=fields.get(identity.organisation, b"").decode("latin-1"),
            ticket=_optional_field(fields, TICKET_HEADER),
            traceparent=_optional_field(fields, TRACEPARENT_HEADER),
            idempotency_key=_optional_field(fields, IDEMPOTENCY_HEADER),
        )


def _forwarded_headers(headers) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name not in STRIPPED_HEADERS and not name.startswith(SYSTEM_PREFIX)
    )


def _optional_field(fields: dict[bytes, bytes], name: bytes) -> str | None:
    value = fields.get(name)
    return None if value is None else value.decode("latin-1")


def _refusal(fields: dict[bytes, bytes], reason: Reason) -> Outcome:
    """Refuse a request here; only a ticket's owner knows whether it has run."""
    verdict = Verdict.MAY_HAVE_RUN if TICKET_HEADER in fields else Verdict.NOT_RUN
    return Outcome(verdict=verdict, reason=reason)


async def _wait_for_disconnect(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_outcome(send, outcome: Outcome, *, last: bool) -> None:
    """Send an outcome, with ``connection: close`` if it is the connection's last.

    Failure: a stopping node closes a persistent connection on which a request is
    already in transit, and the caller can't know whether it was executed.
    """
    headers = outcome_headers(outcome)
    if last:
        headers.append((b"connection", b"close"))
    start = {
        "type": "http.response.start",
        "status": outcome_status(outcome),
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": outcome.body})


async def _serve_lifespan(receive, send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
