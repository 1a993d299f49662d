"""HTTP/1.1 client of the stand-ins, which never resends a request.

It manages its own connections because aiosonic 1.3.3 has two faults. When a reused
connection drops, aiosonic resends GET, PUT and DELETE by itself, which falsifies every
count of runs. When a request on a reused connection is cancelled, the connection
returns to the pool before its response has arrived, so the next request receives the
response to the cancelled one.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import httptools

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.serving import parse_address

CONNECT_TIMEOUT_S = 2.0
"""Timeout for opening a connection, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """Complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ExchangeError(SassafraswinchError):
    """A request got no complete response.

    Attributes:
        address: ``ip:port`` of the server.
        reason: error that ended the exchange.
        verdict: NOT_RUN if no part of the request was written, otherwise
            MAY_HAVE_RUN.
    """

    def __init__(self, *, address: str, reason: str, verdict: Verdict):
        super().__init__(f"{address}: {reason} ({verdict.value})")
        self.address = address
        self.reason = reason
        self.verdict = verdict


class HttpConnection(asyncio.Protocol):
    """HTTP connection that carries one exchange at a time."""

    def __init__(self):
        self.reusable = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []

    def connection_made(self, transport):
        """Store the transport of the new connection."""
        self._transport = transport
        self.reusable = True

    def connection_lost(self, exc):
        """Fail the exchange in progress, if any."""
        self._fail(exc or ConnectionResetError("connection closed by the server"))

    def data_received(self, data):
        """Pass data to the parser, which calls the ``on_`` methods."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(error)
            self.abort()

    def on_message_begin(self):
        """Reset the state for a new response."""
        self._headers = {}
        self._chunks = []

    def on_header(self, name: bytes, value: bytes):
        """Store a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes):
        """Store a part of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self):
        """Complete the exchange; close the connection if none is in progress."""
        self.reusable = self.reusable and self._parser.should_keep_alive()
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            self.abort()
            return
        answer.set_result(
            HttpAnswer(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=b"".join(self._chunks),
            )
        )

    def exchange(self, request: bytes) -> asyncio.Future[HttpAnswer]:
        """Write a request and return the future of its response."""
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._answer

    def abort(self) -> None:
        """Close immediately; for the server this cancels the request."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: Exception) -> None:
        self.reusable = False
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(error)


def serialize_request(
    *,
    address: str,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Serialize a request with its body."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {address}\r\n"
        f"content-length: {len(body)}\r\n{fields}\r\n"
    )
    return head.encode("latin-1") + body


class HttpClient:
    """Sends requests and reuses idle connections."""

    def __init__(self):
        self._idle: dict[str, list[HttpConnection]] = defaultdict(list)

    async def request(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_ms: float | None = None,
    ) -> HttpAnswer:
        """Send one request and return its complete response.

        If this call is cancelled, the connection is closed and never reused.

        Args:
            address: ``ip:port``.
            method: HTTP method.
            target: path and query.
            headers: header fields other than host and content-length.
            body: complete body.
            timeout_ms: timeout of the complete response; None disables it.

        Raises:
            ExchangeError: no complete response arrived.
            TimeoutError: no complete response arrived in time; the request may have
                run.
        """
        connection = await self._connection(address)
        request = serialize_request(
            address=address, method=method, target=target, headers=headers, body=body
        )
        timeout_s = None if timeout_ms is None else timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                answer = await connection.exchange(request)
        except TimeoutError:
            connection.abort()
            raise
        except (OSError, httptools.HttpParserError) as error:
            connection.abort()
            raise ExchangeError(
                address=address,
                reason=repr(error),
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        except BaseException:
            connection.abort()
            raise
        if connection.reusable:
            self._idle[address].append(connection)
        else:
            connection.abort()
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for connection in (c for idle in self._idle.values() for c in idle):
            connection.abort()
        self._idle.clear()

    async def _connection(self, address: str) -> HttpConnection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
        host, port = parse_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    HttpConnection, host, port
                )
        except OSError as error:
            raise ExchangeError(
                address=address, reason=repr(error), verdict=Verdict.NOT_RUN
            ) from error
        return connection
