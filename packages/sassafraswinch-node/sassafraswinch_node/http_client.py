"""HTTP requests over kept connections, each sent once and never again.

Connections and their pool are aiosonic's. Requests don't go through its
``HTTPClient``: that sends idempotent requests again by itself when a kept
connection drops, drops the body of a GET, folds repeated header fields, and takes a
truncated header block for a whole answer.
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

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.messages import Headers
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.answer_reader import AnswerReader
from sassafraswinch_node.http_answer import (
    AnswerError,
    AnswerParser,
    HttpAnswer,
    end_to_end,
)

CONNECT_TIMEOUT_MS = 1_000
"""Longest wait for a new connection; opening one takes about 1 ms."""

MAX_IDLE_MS = 4_000
"""Idle time after which a kept connection isn't used again. Below the 5 s after
which common servers close one: a request that meets the close may have run."""

MAX_ANSWER_BYTES = 1024 * 1024
"""Longest body of an answer."""

_SET_HERE = frozenset({"content-length", "expect"})
_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_HEAD = re.compile(
    rf"{_TOKEN} [\x21-\x7e\x80-\xff]+ HTTP/1\.1\r\n"
    rf"(?:{_TOKEN}: [^\r\n\0]*\r\n)*\r\n"
)


class HttpClientError(SassafraswinchError):
    """A request has got no whole answer.

    Attributes:
        verdict: NOT_RUN if nothing of the request was written, else MAY_HAVE_RUN.
        reason: why, for the caller.
        detail: what happened, in words for a log line.
    """

    def __init__(self, *, verdict: Verdict, reason: Reason, detail: str):
        super().__init__(f"{reason.value}: {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class HttpClient:
    """Sends requests to one address.

    Args:
        ip: IP number of the server.
        port: its port.
        max_connections: most connections; further requests wait for one.
        max_answer_bytes: longest body of an answer.
        max_idle_ms: idle time after which a kept connection isn't used again.
    """

    def __init__(
        self,
        *,
        ip: str,
        port: int,
        max_connections: int,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_idle_ms: int = MAX_IDLE_MS,
    ):
        host = f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
        self._host = ("host", host)
        self._max_answer_bytes = max_answer_bytes
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
    ) -> HttpAnswer:
        """Send a request once and return its whole answer.

        Cancelling closes the connection, which tells the server.

        Args:
            method: in upper case.
            target: path and query.
            headers: names in lower case; ``host`` is added where it is missing.
            body: the whole body.
            timeout_ms: time for everything, the wait for a connection included.

        Raises:
            HttpClientError: there is no whole answer.
        """
        wire = self._serialize(method, target, headers, body)
        parser = AnswerParser(method=method, max_body_bytes=self._max_answer_bytes)
        written = False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._acquire()
                async with connection:
                    connection.keep = False  # until the answer is whole
                    reader = _reader(connection)
                    answered = reader.expect(parser)
                    written = True
                    connection.write(wire)
                    answer = await answered
                    connection.keep = parser.reusable and reader.is_request_sent()
                    return answer
        except TimeoutError as error:
            raise _error(
                Reason.DEADLINE, f"no answer in {timeout_ms} ms", written
            ) from error
        except AnswerError as error:
            reason = Reason.TOO_LARGE if error.too_large else Reason.BACKEND_BROKEN
            raise _error(reason, error.reason, written) from error
        except (AiosonicError, OSError) as error:
            reason = Reason.BACKEND_BROKEN if written else Reason.BACKEND_UNREACHABLE
            raise _error(reason, repr(error), written) from error

    async def close(self) -> None:
        """Close idle connections now, and busy ones after their answers."""
        await self._connector.cleanup()

    async def _acquire(self) -> Connection:
        """Take a kept connection that is sound, or make one.

        A cancellation can get lost in ``asyncio.wait_for`` of Python 3.11, which
        aiosonic uses to connect, if the connection is made in the same moment: the
        request would then run without its time limit, after its caller is gone.
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
            if not connection.writer.is_closing() and _reader(connection).is_quiet():
                return connection
            connection.close()
            connection.release()
            if not connection.reused:
                raise ConnectionError("the server closed a new connection at once")

    def _serialize(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes:
        fields = [field for field in end_to_end(headers) if field[0] not in _SET_HERE]
        if all(name != "host" for name, _ in fields):
            fields.insert(0, self._host)
        if body or method not in ("GET", "HEAD"):
            fields.append(("content-length", str(len(body))))
        try:
            return serialize_head(method, target, fields) + body
        except ValueError as error:
            raise _error(Reason.BAD_REQUEST, str(error), False) from error


def serialize_head(method: str, target: str, fields: list[tuple[str, str]]) -> bytes:
    """Return request line and header fields as bytes.

    Raises:
        ValueError: a part would be read as something else, such as a value with a
            line break, which could smuggle in a second request.
    """
    lines = [f"{name}: {value}\r\n" for name, value in fields]
    text = f"{method} {target} HTTP/1.1\r\n{''.join(lines)}\r\n"
    if _HEAD.fullmatch(text) is None or text.count("\n") != len(fields) + 2:
        raise ValueError("a part of the request's head has a character it can't have")
    return text.encode("latin-1")


class _IpResolver(AbstractResolver):
    """Takes IP numbers as they are: no look-up, and no thread for it."""

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


def _reader(connection: Connection) -> AnswerReader:
    """Return the reader of a connection, put in place of a new one's stream."""
    transport = connection.writer.transport
    reader = transport.get_protocol()
    if not isinstance(reader, AnswerReader):
        reader = AnswerReader(transport=transport)
        transport.set_protocol(reader)
    return reader


def _error(reason: Reason, detail: str, written: bool) -> HttpClientError:
    verdict = Verdict.MAY_HAVE_RUN if written else Verdict.NOT_RUN
    return HttpClientError(verdict=verdict, reason=reason, detail=detail)
