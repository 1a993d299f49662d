"""Stand-in for a backend server of the platform, with faults on demand."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

import httptools

from .endless import draw_answer, send_answer
from .record import FATAL_TARGET, Record, Run, body_of
from .shapes import SHAPE_FIELD, Shape, parse_shape, pattern

SLOTS = 8
HEALTH_PATH = "/health"
SERVER_EXECUTION_TIME_S = (0.02, 0.12)
"""Shortest and longest execution time of a request without its child calls."""

ChildCallHandler = Callable[[str], Awaitable[int]]
"""Makes the child calls of the request with this id; returns the response's status."""

_numbers = itertools.count(1)


class ServerConnection(asyncio.Protocol):
    """HTTP connection to the server, with one request at a time."""

    def __init__(self, server: "ServerStandIn"):
        self._server = server
        self._task: asyncio.Task | None = None
        self._late_copy = b""

    def connection_made(self, transport) -> None:
        self.transport = transport
        self._server.connections.add(self)
        self._parser = httptools.HttpRequestParser(self)

    def connection_lost(self, exc) -> None:
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.target = b""
        self.body: list[bytes] = []

    def on_url(self, url) -> None:
        self.target += url

    def on_header(self, name, value) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        late_copy, self._late_copy = self._late_copy, b""
        if late_copy:
            self.transport.write(late_copy)
        self.method = self._parser.get_method().decode()
        self._task = asyncio.create_task(self._server.serve(self))

    def header(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode()

    def shape(self) -> Shape | None:
        return parse_shape(self.header(SHAPE_FIELD.lower().encode()))

    def answer(
        self, request_id: str, status: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Write a response."""
        fields = {"Request-Id": request_id} | fields
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 {status} Any\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        response = head.encode() + body
        self.transport.write(response)
        if self._server.is_late_copy_due():
            self._late_copy = response


class ServerStandIn:
    """Backend server at a fixed address; each restart is a new instance.

    Attributes:
        lose_share: share of responses replaced by a connection reset.
        double_share: share of responses sent twice, the second time with a delay.
        late_copy_share: share of responses, rejections too, that are sent once more
            where the next response on their connection is expected.
        cut_share: share of responses that are truncated.
        endless_share: share of requests that get an answer without end.
        shed_share: share of requests that are rejected.
        slow_x: factor on the execution time.
        limit_per_s: rate limit that its responses name, or None.
        leaving: whether its responses state that it is leaving.
    """

    def __init__(
        self,
        *,
        service: str,
        ip: str,
        record: Record,
        make_child_calls: ChildCallHandler,
        on_fatal_request: Callable[[], None],
        rng: random.Random,
    ):
        self.service = service
        self.ip = ip
        self.port = 0
        self.record = record
        self.connections: set[ServerConnection] = set()
        self.reset_faults()
        self._make_child_calls = make_child_calls
        self._on_fatal_request = on_fatal_request
        self._rng = rng
        self._in_flight = 0
        self._drained_since_s: float | None = None
        self._server: asyncio.Server | None = None
        self.instance_id = ""

    def reset_faults(self) -> None:
        """Disable all faults."""
        self.lose_share = self.double_share = self.cut_share = self.shed_share = 0.0
        self.late_copy_share = self.endless_share = 0.0
        self.slow_x = 1.0
        self.limit_per_s: float | None = None
        self.leaving = False

    async def start(self) -> None:
        """Start a new instance at the same address unless one is running."""
        if self._server is not None:
            return
        self.instance_id = f"i-{next(_numbers):04x}"
        self._in_flight = 0
        self._drained_since_s = None
        self.limit_per_s, self.leaving = None, False
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), self.ip, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Close the listener and abort all connections."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for connection in tuple(self.connections):
            connection.transport.abort()

    def drain(self) -> None:
        """Record the time when the server was published as draining."""
        self._drained_since_s = _now_s()

    def registration(self, zone: str, state: str) -> dict:
        """Return the server's registration, in the platform's format."""
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_left_s": 0,
            "seq": 1,
        }

    def is_late_copy_due(self) -> bool:
        """Return whether a response is to be sent once more."""
        # Draws nothing without a share: other soaks keep the schedules of their seeds.
        share = self.late_copy_share
        return share > 0 and self._rng.random() < share

    async def serve(self, connection: ServerConnection) -> None:
        expected = connection.header(b"target-instance")
        request_id = connection.header(b"request-id")
        own_id = {"Instance-Id": self.instance_id}
        if connection.target.decode() == HEALTH_PATH:
            connection.answer("health", 200, own_id | self._notice_fields())
            return
        if expected and expected != self.instance_id:
            connection.answer(request_id, 421, own_id | self._notice_fields())
            return
        notices = self.record.notices
        notices.arrivals.append((_now_s(), self.instance_id, request_id))
        overloaded = self._in_flight >= SLOTS or self._rng.random() < self.shed_share
        if overloaded or not request_id:
            status = 503 if overloaded else 400
            not_executed = {"Not-Executed": "1"}
            connection.answer(request_id, status, not_executed | self._notice_fields())
            return
        self._in_flight += 1
        try:
            status = await self._run(connection, request_id)
        finally:
            self._in_flight -= 1
        await self._respond(connection, status, request_id)

    async def _run(self, connection: ServerConnection, request_id: str) -> int:
        self.record.runs.append(
            Run(
                request_id=request_id,
                instance_id=self.instance_id,
                service=self.service,
                method=connection.method,
                target=connection.target.decode(),
                caller_service=connection.header(b"caller-service"),
                organisation=connection.header(b"tenant"),
                has_key=b"authorization" in connection.headers,
                started_s=_now_s(),
                drained_since_s=self._drained_since_s,
                has_whole_body=_has_whole_body(connection, request_id),
            )
        )
        shape = connection.shape()
        run_s = shape.run_s if shape else self._rng.uniform(*SERVER_EXECUTION_TIME_S)
        await asyncio.sleep(run_s * self.slow_x)
        if connection.target.decode() == FATAL_TARGET:
            self._on_fatal_request()
        return await self._make_child_calls(request_id)

    def _notice_fields(self) -> dict[str, str]:
        """Return what the server states about itself in each response."""
        limit_per_s = self.limit_per_s
        self.record.notices.named[self.instance_id].append((_now_s(), limit_per_s))
        limit = {} if limit_per_s is None else {"Server-Limit": f"{limit_per_s}"}
        return limit | ({"Server-Leaving": "1"} if self.leaving else {})

    async def _respond(self, connection, status: int, request_id: str) -> None:
        body = body_of(request_id, connection.shape())
        signature = {"Server-Signature": f"{self.instance_id}.{len(body)}"}
        fields = signature | self._notice_fields()
        if self.endless_share and self._rng.random() < self.endless_share:
            answer = draw_answer(self._rng, request_id)
            await send_answer(connection.transport, answer, self._rng)
            return
        draw = self._rng.random()
        if draw < self.lose_share:
            connection.transport.abort()
        elif draw < self.lose_share + self.cut_share:
            connection.transport.write(
                b"HTTP/1.1 200 Any\r\nContent-Length: 90\r\n\r\n"
            )
            connection.transport.close()
        else:
            connection.answer(request_id, status, fields, body)
            if self._rng.random() < self.double_share:
                await asyncio.sleep(self._rng.uniform(0.0, 0.05))
                connection.answer(request_id, status, fields, body)


def _has_whole_body(connection: ServerConnection, request_id: str) -> bool:
    shape = connection.shape()
    if shape is None:
        return True
    return b"".join(connection.body) == pattern(request_id, shape.body_bytes)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
