"""The entry and egress listeners: one plain ASGI application each.

Plain ASGI rather than starlette routes, since this is on every call's path and a
listener has a single route; starlette serves the operators' listener.
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
"""Not passed on: of one connection, context that only the system may set, or a way to
pass an approval for the lookup that its method and path name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IdentityHeaders:
    """Names of the header fields that carry who calls."""

    caller: bytes
    organisation: bytes


class CallListener:
    """An ASGI application that turns HTTP requests into calls and back.

    Args:
        submit: takes a request; its outcome comes by ``respond``.
        abandon: told the handle of a request whose sender has gone.
        handles: numbers shared by all listeners of a node.
        identity: names of the header fields that tell who calls.
        max_body_bytes: longer bodies are refused with 413.
        leaving: whether the node leaves, so that kept connections should end.
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
        """Answer a waiting request; False if it isn't one of this listener."""
        future = self.waiting.pop(handle, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(outcome)
        return True

    def give_up(self) -> None:
        """Tell all that wait that nothing is known of their requests any more."""
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
        """Return the outcome of a request; None when its sender has gone."""
        found = dict(scope["headers"])
        body = await self._read_body(found, receive)
        if body is None:
            return _refused(found, Reason.TOO_LARGE)
        request = self._request(scope, found, body)
        if request is None:
            return _refused(found, Reason.BAD_REQUEST)
        return await self._outcome(request, receive)

    async def _outcome(self, request: Request, receive) -> Outcome | None:
        future = asyncio.get_running_loop().create_future()
        self.waiting[request.handle] = future
        self.submit(request)
        if future.done():
            return future.result()
        gone = asyncio.ensure_future(_disconnected(receive))
        try:
            await asyncio.wait((future, gone), return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            if not future.done():
                self.waiting.pop(request.handle, None)
                self.abandon(request.handle)
        return future.result() if future.done() else None

    async def _read_body(self, found: dict[bytes, bytes], receive) -> bytes | None:
        declared = found.get(b"content-length", b"0")
        if not declared.isdigit() or int(declared) > self.max_body_bytes:
            return None
        chunks = []
        size = 0
        while True:
            message = await receive()
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > self.max_body_bytes:
                return None
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)

    def _request(self, scope, found: dict[bytes, bytes], body: bytes) -> Request | None:
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
            headers=_passed_on(scope["headers"]),
            body=body,
            caller=found.get(identity.caller, b"").decode("latin-1"),
            organisation=found.get(identity.organisation, b"").decode("latin-1"),
            ticket=_optional(found, TICKET_HEADER),
            traceparent=_optional(found, TRACEPARENT_HEADER),
            idempotency_key=_optional(found, IDEMPOTENCY_HEADER),
        )


def _passed_on(headers) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
        if name not in STRIPPED_HEADERS and not name.startswith(SYSTEM_PREFIX)
    )


def _optional(found: dict[bytes, bytes], name: bytes) -> str | None:
    value = found.get(name)
    return None if value is None else value.decode("latin-1")


def _refused(found: dict[bytes, bytes], reason: Reason) -> Outcome:
    """Refuse what isn't passed on; only a ticket's owner knows what it has run."""
    verdict = Verdict.MAY_HAVE_RUN if TICKET_HEADER in found else Verdict.NOT_RUN
    return Outcome(verdict=verdict, reason=reason)


async def _disconnected(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_outcome(send, outcome: Outcome, *, last: bool) -> None:
    """Send an outcome; the last one on its connection says so.

    Failure: a node stops and closes a kept connection while a request is on its way
    on it, and its caller can't know whether it ran.
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
