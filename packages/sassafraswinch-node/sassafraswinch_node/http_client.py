"""HTTP client over persistent connections that sends each request exactly once.

Connections and their pool come from aiosonic. Its ``HTTPClient`` is not used, since it
retries idempotent requests when a persistent connection drops, drops the body of a
GET, folds repeated header fields, and accepts a truncated header block as a complete
response.
"""

import asyncio
import re
import socket

from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.http_parser import get_url_parsed
from aiosonic.pools import PoolConfig
from aiosonic.resolver import AbstractResolver
from aiosonic.timeout import Timeouts

from sassafraswinch.dispatch_result import is_shed
from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.messages import Headers
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.http_response import (
    HttpResponse,
    ResponseError,
    ResponseParser,
    end_to_end_headers,
)
from sassafraswinch_node.response_reader import ResponseReader

CONNECT_TIMEOUT_MS = 1_000
"""Time limit for opening a connection, which normally takes about 1 ms."""

MAX_IDLE_MS = 4_000
"""Idle time after which a persistent connection is not reused. Below the 5 s after
which common servers close one: a request sent during the close may have been executed,
and the client can't tell."""

MAX_RESPONSE_BYTES = 1024 * 1024
"""Maximum length of a response body."""

_SET_BY_CLIENT = frozenset({"content-length", "expect"})
_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_HEAD = re.compile(
    rf"{_TOKEN} [\x21-\x7e\x80-\xff]+ HTTP/1\.1\r\n"
    rf"(?:{_TOKEN}: [^\r\n\0]*\r\n)*\r\n"
)


class HttpClientError(SassafraswinchError):
    """A request received no complete response.

    Attributes:
        verdict: NOT_RUN if nothing of the request was written, else MAY_HAVE_RUN.
        reason: reason code for the caller.
        detail: description of the fault for the log.
    """

    def __init__(self, *, verdict: Verdict, reason: Reason, detail: str):
        super().__init__(f"{reason.value}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class HttpClient:
    """Sends requests to one address.

    Args:
        ip: IP address of the server.
        port: port of the server.
        max_connections: maximum number of connections; further requests wait for one.
        max_response_bytes: maximum length of a response body.
        max_idle_ms: idle time after which a persistent connection is not reused.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        max_connections: int,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        max_idle_ms: int = MAX_IDLE_MS,
    ):
        host = f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
        self._host = ("host", host)
        self._max_response_bytes = max_response_bytes
        self._url = get_url_parsed(f"http://{host}")
        self._timeouts = Timeouts(sock_connect=CONNECT_TIMEOUT_MS / 1000)
        pool = PoolConfig(
            size=max_connections, max_conn_requests=None, max_conn_idle_ms=max_idle_ms
        )
        self._connector = TCPConnector(
            pool_configs={":default": pool},
            resolver=_IpResolver(),
            use_dns_cache=False,
        )

    async def request(
        self,
        *,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        timeout_ms: float,
    ) -> HttpResponse:
        """Send a request once and return its complete response.

        Cancellation closes the connection, which notifies the server.

        Args:
            method: method in upper case.
            target: path and query.
            headers: header fields with names in lower case; ``host`` is added if it
                is missing.
            body: the complete body.
            timeout_ms: time limit, including the wait for a connection.

        Raises:
            HttpClientError: there is no complete response.
        """
        request = self._serialize(method, target, headers, body)
        parser = ResponseParser(method=method, max_body_bytes=self._max_response_bytes)
        written = False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._acquire()
                async with connection:
                    connection.keep = False  # until the response is complete
                    reader = _reader(connection)
                    written = True
                    response = await _exchange(connection, reader, parser, request)
                    # A second copy of a shed response would pass for the next call's,
                    # whose caller would be told that it has not run.
                    connection.keep = (
                        parser.reusable
                        and reader.is_request_sent()
                        and not is_shed(response.status, response.headers)
                    )
                    return response
        except TimeoutError as error:
            raise _error(
                Reason.DEADLINE, f"no response within {timeout_ms} ms", written
            ) from error
        except ResponseError as error:
            reason = Reason.TOO_LARGE if error.too_large else Reason.BACKEND_BROKEN
            raise _error(reason, error.reason, written) from error
        except (AiosonicError, OSError) as error:
            reason = Reason.BACKEND_BROKEN if written else Reason.BACKEND_UNREACHABLE
            raise _error(reason, repr(error), written) from error
        finally:
            parser.close()

    async def close(self) -> None:
        """Close idle connections now, and busy ones after their responses."""
        await self._connector.cleanup()

    async def _acquire(self) -> Connection:
        """Return a usable idle connection or open a new one.

        In Python 3.11, ``asyncio.wait_for``, with which aiosonic connects, loses a
        cancellation that arrives just as the connection is established. Without the
        check the request would run without its time limit, after its caller has gone.
        """
        task = asyncio.current_task()
        cancellations = task.cancelling()
        while True:
            connection = await self._connector.acquire(
                self._url, False, None, self._timeouts, False
            )
            if task.cancelling() > cancellations:
                connection.release()
                raise asyncio.CancelledError
            if not connection.writer.is_closing() and _reader(connection).is_idle():
                return connection
            connection.close()
            connection.release()
            if not connection.reused:
                raise ConnectionError(
                    "the server closed a new connection before a request was sent"
                )

    def _serialize(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes:
        fields = [
            field
            for field in end_to_end_headers(headers)
            if field[0] not in _SET_BY_CLIENT
        ]
        if all(name != "host" for name, _ in fields):
            fields.insert(0, self._host)
        if body or method not in ("GET", "HEAD"):
            fields.append(("content-length", str(len(body))))
        try:
            return serialize_head(method, target, fields) + body
        except ValueError as error:
            raise _error(Reason.BAD_REQUEST, str(error), False) from error


def serialize_head(method: str, target: str, fields: list[tuple[str, str]]) -> bytes:
    """Return the request line and header fields as bytes.

    Raises:
        ValueError: a part holds an invalid character, such as a line break in a value,
            which would allow request smuggling.
    """
    lines = [f"{name}: {value}\r\n" for name, value in fields]
    text = f"{method} {target} HTTP/1.1\r\n{''.join(lines)}\r\n"
    if _HEAD.fullmatch(text) is None or text.count("\n") != len(fields) + 2:
        raise ValueError(
            "the request line or a header field holds an invalid character"
        )
    return text.encode("latin-1")


async def _exchange(
    connection: Connection,
    reader: ResponseReader,
    parser: ResponseParser,
    request: bytes,
) -> HttpResponse:
    """Write a request and return its response."""
    pending = reader.read_response(parser)
    try:
        connection.write(request)
        return await pending
    finally:
        # The future's error refers to this frame, and so would keep the request.
        del pending


class _IpResolver(AbstractResolver):
    """Resolver for IP addresses, which need no DNS lookup and no thread."""

    async def resolve(self, host: str, port: int, family: int = 0) -> list[dict]:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return [
            {
                "hostname": host,
                "host": host,
                "port": port,
                "family": family,
                "proto": 0,
                "flags": socket.AI_NUMERICHOST,
            }
        ]

    async def close(self) -> None:
        pass


def _reader(connection: Connection) -> ResponseReader:
    """Return the reader of a connection; replace the stream protocol of a new one."""
    transport = connection.writer.transport
    reader = transport.get_protocol()
    if not isinstance(reader, ResponseReader):
        reader = ResponseReader(transport=transport)
        transport.set_protocol(reader)
    return reader


def _error(reason: Reason, detail: str, written: bool) -> HttpClientError:
    verdict = Verdict.MAY_HAVE_RUN if written else Verdict.NOT_RUN
    return HttpClientError(verdict=verdict, reason=reason, detail=detail)
