"""HTTP/1.1 connections to one server: whole requests out, whole responses in."""

import asyncio
import enum
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sassafraswinch_sidecar.http_fields import Fields, has_body
from sassafraswinch_sidecar.idle_limit import IdleLimit

CONNECT_TIMEOUT_S = 1.0
"""Time for a connection on the same host or in the same area; dropped opening
packets are sent again after a second at the earliest."""

IDLE_MS = 4_000.0
"""Idle time after which a connection isn't used again where its server states no
timeout: shorter than the five seconds that servers commonly have."""

KEEP_ALIVE_MARGIN_MS = 1_500.0
"""Time before the stated timeout at which a connection isn't used again."""


MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Longest body of an answer; a faulty server may send without an end."""

_FRAMING = (b"content-length", b"transfer-encoding")


class Fault(enum.Enum):
    """Why there is no response."""

    UNREACHABLE = "unreachable"
    """No connection came about: nothing was sent."""

    RESET = "reset"
    """The connection ended before the response was whole."""

    MALFORMED = "garbled"
    """What came isn't a response to this request."""

    TOO_LONG = "too-long"
    """The response has a longer body than this process may hold."""


class ProbeResult(enum.Enum):
    """What a try to connect finds."""

    CONNECTED = "connected"

    REFUSED = "refused"
    """Nobody listens: the server's process has ended."""

    NO_RESPONSE = "silent"
    """No answer, which doesn't tell a dead server from a slow or cut off one."""


@dataclass(slots=True)
class HttpResponse:
    """A whole response."""

    status: int
    fields: Fields
    body: bytes


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and what is told of its end.

    Attributes:
        payload: the request as it is written.
        method: its method.
        matches_response: tells whether a response belongs to the request; servers may send
            second answers of earlier ones.
        on_done: called once with the response or the fault.
        context: what the sender knows the request by.
    """

    payload: bytes
    method: bytes
    matches_response: Callable[[HttpResponse], bool]
    on_done: Callable[["Exchange", HttpResponse | Fault], None]
    context: object = None
    connection: "ServerConnection | None" = None
    cancelled: bool = False


class ServerConnection(asyncio.Protocol):
    """One connection, with one request at a time."""

    def __init__(
        self,
        *,
        released: Callable[["ServerConnection"], None],
        lost_unanswered: Callable[["ServerConnection"], None],
    ):
        self._released = released
        self._lost_unanswered = lost_unanswered
        self._heard = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._clean_end = False
        self._foreign = False
        self.usable = True
        self.idle_since_ms = 0.0
        self.idle_before_use_ms = 0.0
        self.idle_limit_ms = IDLE_MS
        self._new_message()

    def _new_message(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._fields: Fields = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._until_close = False
        self._complete: HttpResponse | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take over the transport (asyncio.Protocol)."""
        self._transport = transport

    def send(self, exchange: Exchange) -> None:
        """Write a request; the connection must be idle."""
        self._exchange = exchange
        exchange.connection = self
        self._heard = False
        self._new_message()
        # On one that is closing, ``connection_lost`` is due and ends the exchange.
        if not self._transport.is_closing():
            self._transport.write(exchange.payload)

    def abort(self) -> None:
        """Close at once, which tells the server to drop the request."""
        self.usable = False
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what was read (asyncio.Protocol)."""
        if self._exchange is None:
            # Bytes without a request: a late second answer, which belongs to nobody.
            self.abort()
            return
        self._heard = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail(Fault.MALFORMED)
        else:
            if self._complete is not None:
                self._finish(self._complete)
            elif self._body_bytes > MAX_ANSWER_BYTES:
                self._fail(Fault.TOO_LONG)

    def eof_received(self) -> None:
        """Note an orderly end (asyncio.Protocol)."""
        self._clean_end = not _was_reset(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that was under way (asyncio.Protocol)."""
        self.usable = False
        if self._exchange is None:
            return
        if self._until_close and self._clean_end and exc is None:
            self._finish(self._response())
        else:
            if not self._heard:
                self._lost_unanswered(self)
            self._fail(Fault.RESET)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field (httptools)."""
        if self._complete is None:
            self._fields.append((name.lower(), name, value))

    def on_headers_complete(self) -> None:
        """Find out where the body ends (httptools)."""
        if self._complete is not None or self._exchange is None:
            return
        status = self._parser.get_status_code()
        framed = any(lowered in _FRAMING for lowered, _, _ in self._fields)
        if not framed and has_body(status, self._exchange.method):
            self._until_close = True
        if self._exchange.method == b"HEAD" and status >= 200:
            self._complete = self._response()
            self.usable = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (httptools)."""
        if self._complete is None:
            self._body.append(body)
            self._body_bytes += len(body)

    def on_message_begin(self) -> None:
        """Note bytes after the end of the response (httptools)."""
        if self._complete is not None:
            self.usable = False

    def on_message_complete(self) -> None:
        """Take the end of a response (httptools)."""
        if self._complete is not None:
            return
        response = self._response()
        if response.status < 200:
            self._fields, self._body = [], []
            return
        if self._exchange is not None and not self._exchange.matches_response(response):
            # A second answer of an earlier request: this one's answer is behind it.
            self._foreign = True
            self._fields, self._body = [], []
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._complete = response

    def _response(self) -> HttpResponse:
        return HttpResponse(
            status=self._parser.get_status_code(),
            fields=self._fields,
            body=b"".join(self._body),
        )

    def _finish(self, response: HttpResponse) -> None:
        exchange, self._exchange = self._exchange, None
        if self._until_close or self._foreign:
            self.usable = False
        self._read_idle_limit(response)
        self.idle_since_ms = self._loop.time() * 1000
        if not self.usable and self._transport is not None:
            self._transport.abort()
        self._released(self)
        if exchange.matches_response(response):
            exchange.on_done(exchange, response)
        else:
            exchange.on_done(exchange, Fault.MALFORMED)

    def _fail(self, fault: Fault) -> None:
        exchange, self._exchange = self._exchange, None
        self.abort()
        self._released(self)
        if exchange is not None:
            exchange.on_done(exchange, fault)

    def _read_idle_limit(self, response: HttpResponse) -> None:
        for lowered, _, value in response.fields:
            if lowered != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    limit_ms = int(seconds) * 1000 - KEEP_ALIVE_MARGIN_MS
                    self.idle_limit_ms = max(limit_ms, 0.0)


def _was_reset(transport: asyncio.Transport) -> bool:
    """Return whether a connection that seems to have ended was reset.

    Failure: a server crashes while it writes an answer without a length. libuv reads
    the last bytes, sees that the other side is gone, and tells an orderly end without
    reading on, where it would find the reset. The caller would get a part of the body
    as if it were whole. The error stays with the socket until it is read.
    """
    try:
        os.read(transport.get_extra_info("socket").fileno(), 1)
    except OSError:
        return True
    return False


class HttpClient:
    """A pool of connections to one address.

    A request is never sent again by itself: whether that is safe is decided above.
    """

    def __init__(self, *, ip: str, port: int):
        self._ip = ip
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._idle: deque[ServerConnection] = deque()
        self._idle_limit = IdleLimit()
        self._connecting: set[asyncio.Task] = set()

    def send(self, exchange: Exchange, *, fresh: bool = False) -> None:
        """Send a request on an idle connection, or on a new one.

        Args:
            exchange: the request.
            fresh: whether a connection that has been idle for long is unsafe.
        """
        connection = self._take_idle(fresh=fresh)
        if connection is not None:
            connection.send(exchange)
            return
        task = self._loop.create_task(self._connect(exchange))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def cancel(self, exchange: Exchange) -> None:
        """Give a request up; ``done`` isn't called any more."""
        exchange.cancelled = True
        if exchange.connection is not None:
            exchange.connection.abort()

    async def probe(self, timeout_s: float = CONNECT_TIMEOUT_S) -> ProbeResult:
        """Try to connect; the connection is kept.

        Args:
            timeout_s: time after which the server counts as silent.
        """
        try:
            connection = await self._connection_within(timeout_s)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            return ProbeResult.NO_RESPONSE
        connection.idle_since_ms = self._loop.time() * 1000
        self._release(connection)
        return ProbeResult.CONNECTED

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().abort()

    def _take_idle(self, *, fresh: bool) -> ServerConnection | None:
        now_ms = self._loop.time() * 1000
        idle = self._idle
        while idle and not _reusable(idle[0], now_ms):
            idle.popleft().abort()
        while idle:
            connection = idle.pop()
            idle_ms = now_ms - connection.idle_since_ms
            if not _reusable(connection, now_ms):
                connection.abort()
            elif fresh and idle_ms > self._idle_limit.limit_ms(now_ms):
                idle.append(connection)
                return None
            else:
                connection.idle_before_use_ms = idle_ms
                return connection
        return None

    async def _connect(self, exchange: Exchange) -> None:
        connection = await self._open()
        if exchange.cancelled:
            if connection is not None:
                connection.idle_since_ms = self._loop.time() * 1000
                self._release(connection)
        elif connection is None or not connection.usable:
            exchange.on_done(exchange, Fault.UNREACHABLE)
        else:
            connection.send(exchange)

    async def _open(self) -> ServerConnection | None:
        try:
            return await self._connection_within(CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None

    async def _connection_within(self, timeout_s: float) -> ServerConnection:
        async with asyncio.timeout(timeout_s):
            transport, connection = await self._loop.create_connection(
                self._connection, self._ip, self._port
            )
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _connection(self) -> ServerConnection:
        return ServerConnection(
            released=self._release, lost_unanswered=self._lost_unanswered
        )

    def _lost_unanswered(self, connection: ServerConnection) -> None:
        now_ms = self._loop.time() * 1000
        self._idle_limit.record_loss(connection.idle_before_use_ms, now_ms)

    def _release(self, connection: ServerConnection) -> None:
        if connection.usable:
            self._idle.append(connection)


def _reusable(connection: ServerConnection, now_ms: float) -> bool:
    idle_ms = now_ms - connection.idle_since_ms
    return connection.usable and idle_ms < connection.idle_limit_ms
