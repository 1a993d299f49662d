"""A backend server of the platform, which misbehaves on demand."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

import httptools

from .record import FATAL_TARGET, Record, Run, body_of

SLOTS = 8
RUN_S = (0.02, 0.12)
"""Shortest and longest time of a run without its calls."""

Call = Callable[[str], Awaitable[int]]
"""Makes the calls of a run with this request id; returns the status to answer."""

_numbers = itertools.count(1)


class ServerConnection(asyncio.Protocol):
    """One connection, with one request at a time."""

    def __init__(self, server: "ServerStandIn"):
        self._server = server
        self._task: asyncio.Task | None = None

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

    def on_url(self, url) -> None:
        self.target += url

    def on_header(self, name, value) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.method = self._parser.get_method().decode()
        self._task = asyncio.create_task(self._server.serve(self))

    def header(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode()

    def answer(
        self, request_id: str, status: int, fields: dict[str, str], body: bytes = b""
    ) -> None:
        """Write an answer."""
        fields = {"Request-Id": request_id} | fields
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 {status} Any\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


class ServerStandIn:
    """One server at one address, over several lifetimes.

    Attributes:
        lose_share: part of the runs whose connection is reset before the answer.
        double_share: part of the answers that are sent twice, the second one late.
        cut_share: part of the answers that end early.
        shed_share: part of the requests that are turned away.
        slow_x: factor on the time of runs.
    """

    def __init__(
        self,
        *,
        service: str,
        ip: str,
        record: Record,
        call: Call,
        ended: Callable[[], None],
        rng: random.Random,
    ):
        self.service = service
        self.ip = ip
        self.port = 0
        self.record = record
        self.connections: set[ServerConnection] = set()
        self.well()
        self._call = call
        self._ended = ended
        self._rng = rng
        self._running = 0
        self._drained_since_s: float | None = None
        self._server: asyncio.Server | None = None
        self.instance_id = ""

    def well(self) -> None:
        """End all misbehaviour."""
        self.lose_share = self.double_share = self.cut_share = self.shed_share = 0.0
        self.slow_x = 1.0

    async def start(self) -> None:
        """Begin a new lifetime at the same address, unless one runs there."""
        if self._server is not None:
            return
        self.instance_id = f"i-{next(_numbers):04x}"
        self._running = 0
        self._drained_since_s = None
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), self.ip, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End without a word."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for connection in tuple(self.connections):
            connection.transport.abort()

    def drain(self) -> None:
        """Note that the leaving was published."""
        self._drained_since_s = _now_s()

    def entry(self, zone: str, state: str) -> dict:
        """Return the server's item of the store."""
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

    async def serve(self, connection: ServerConnection) -> None:
        expected = connection.header(b"target-instance")
        request_id = connection.header(b"request-id")
        if expected and expected != self.instance_id:
            connection.answer(request_id, 421, {"Instance-Id": self.instance_id})
            return
        full = self._running >= SLOTS or self._rng.random() < self.shed_share
        if full or not request_id:
            status = 503 if full else 400
            connection.answer(request_id, status, {"Not-Executed": "1"})
            return
        self._running += 1
        try:
            status = await self._run(connection, request_id)
        finally:
            self._running -= 1
        await self._answer(connection, status, request_id)

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
            )
        )
        await asyncio.sleep(self._rng.uniform(*RUN_S) * self.slow_x)
        if connection.target.decode() == FATAL_TARGET:
            self._ended()
        return await self._call(request_id)

    async def _answer(self, connection, status: int, request_id: str) -> None:
        body = body_of(request_id)
        fields = {"Server-Signature": f"{self.instance_id}.{len(body)}"}
        drawn = self._rng.random()
        if drawn < self.lose_share:
            connection.transport.abort()
        elif drawn < self.lose_share + self.cut_share:
            connection.transport.write(
                b"HTTP/1.1 200 Any\r\nContent-Length: 90\r\n\r\n"
            )
            connection.transport.close()
        else:
            connection.answer(request_id, status, fields, body)
            if self._rng.random() < self.double_share:
                await asyncio.sleep(self._rng.uniform(0.0, 0.05))
                connection.answer(request_id, status, fields, body)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
