"""HTTP/1.1 client of the stand-ins: one attempt per request, nothing resent.

It owns its connections instead of using aiosonic, for two reasons measured on
aiosonic 1.3.3. It resends GET, PUT and DELETE by itself when a reused connection
drops, which would falsify every count of runs. And a request that is cancelled on
a reused connection leaves that connection in the pool with its answer still to
come, so the next request gets the answer of the cancelled one.
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
"""Longest wait for a new connection, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """A whole answer; names of header fields are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ExchangeError(SassafraswinchError):
    """A request got no whole answer.

    Attributes:
        address: ``ip:port`` that was asked.
        reason: what was seen.
        verdict: NOT_RUN when nothing of the request was written.
    """

    def __init__(self, *, address: str, reason: str, verdict: Verdict):
        super().__init__(f"{address}: {reason} ({verdict.value})")
        self.address = address
        self.reason = reason
        self.verdict = verdict


class HttpConnection(asyncio.Protocol):
    """One connection, which carries one exchange at a time."""

    def __init__(self):
        self.reusable = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[HttpAnswer] | None = None
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []

    def connection_made(self, transport):
        """Keep the transport of the new connection."""
        self._transport = transport
        self.reusable = True

    def connection_lost(self, exc):
        """Fail the exchange that is under way, if any."""
        self._fail(exc or ConnectionResetError("connection closed by the server"))

    def data_received(self, data):
        """Feed the parser, which calls the ``on_`` methods."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(error)
            self.abort()

    def on_message_begin(self):
        """Start an answer."""
        self._headers = {}
        self._chunks = []

    def on_header(self, name: bytes, value: bytes):
        """Keep a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes):
        """Keep a part of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self):
        """Hand over the answer; one that nobody waits for ends the connection."""
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
        """Write a request; its answer completes the future."""
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return self._answer

    def abort(self) -> None:
        """Close at once; the server sees the request as cancelled."""
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
    """Return the bytes of a request with its body."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {address}\r\n"
        f"content-length: {len(body)}\r\n{fields}\r\n"
    )
    return head.encode("latin-1") + body


class HttpClient:
    """Sends requests, on kept connections where one is idle."""

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
        """Send one request and return its whole answer.

        Cancelling this call closes the connection, never gives it to another request.

        Args:
            address: ``ip:port``.
            method: HTTP method.
            target: path and query.
            headers: fields besides host and content-length.
            body: whole body.
            timeout_ms: longest wait for the whole answer; None waits for good.

        Raises:
            ExchangeError: no whole answer came.
            TimeoutError: none came in time; the request may have run.
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
