"""Callers at each host, which send requests to its sidecar over kept connections."""

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .record import Record, SoakRequest, body_of
from .shapes import SHAPE_FIELD, Shape, draw_shape, pattern, serialize_shape

CALLER_RESPONSE_TIMEOUT_S = 12.0
"""Longest wait for a response. It is far above every deadline, so that a paused process
or a busy host isn't mistaken for a lost response."""

KeyAndOrganisation = tuple[str, str] | None
"""An API key and the organisation that holds it."""

MAX_IDLE_CALLER_CONNECTIONS = 20
"""Largest number of idle connections kept by the callers of a host."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        prefix: path prefix of the route.
        method: HTTP method.
        idempotent: whether the route is idempotent.
        time_left_ms: deadline that the caller sends.
        version: version of the routes that the path belongs to; 0 if it is in all.
        same_target: whether all requests share one target instead of one each.
    """

    prefix: str
    method: str
    idempotent: bool
    time_left_ms: int
    version: int = 0
    same_target: bool = False


class Caller:
    """Sends requests to one sidecar and records their outcomes.

    Attributes:
        process_starts: number of starts of the sidecar's process.
        new_connection_share: share of the requests that open a connection of their own.
        is_varied: whether lengths and times of requests vary.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        *,
        host: str,
        service: str,
        ip: str,
        port: int,
        record: Record,
        draw_key: Callable[[], tuple[str, str]],
        rng: random.Random,
    ):
        self.process_starts = 0
        self.new_connection_share = 0.0
        self.is_varied = False
        self._host = host
        self._service = service
        self._ip = ip
        self._port = port
        self._record = record
        self._draw_key = draw_key
        self._rng = rng
        self._idle_connections: deque[tuple] = deque()

    async def send(
        self, kind: Kind, *, parent: str = "", key: KeyAndOrganisation = None
    ) -> SoakRequest:
        """Send one request and wait for its response.

        Args:
            kind: kind of the request.
            parent: id of the request whose execution makes this child call, or empty.
                A child call carries no key unless one is given.
            key: API key and its organisation; drawn at random if omitted.

        Returns:
            The record of the request.
        """
        key, organisation = key or ("", "") if parent else key or self._draw_key()
        if parent in self._record.sent:
            organisation = self._record.sent[parent].organisation
        number = f"{next(self._numbers):08x}"
        request_id = f"{parent}.{number}" if parent else number
        sent = SoakRequest(
            request_id=request_id,
            host=self._host,
            caller_service=self._service,
            method=kind.method,
            target=kind.prefix if kind.same_target else f"{kind.prefix}{number}",
            idempotent=kind.idempotent,
            version=kind.version,
            organisation=organisation,
            process_starts=self.process_starts,
            shape=self._draw_shape(kind),
            sent_s=_now_s(),
        )
        self._record.sent[request_id] = sent
        try:
            async with asyncio.timeout(CALLER_RESPONSE_TIMEOUT_S):
                await self._exchange(sent, kind, key)
        except TimeoutError:
            sent.status = None
        except (OSError, asyncio.IncompleteReadError):
            sent.status = 0
        sent.done_s = _now_s()
        return sent

    def _draw_shape(self, kind: Kind) -> Shape | None:
        if not self.is_varied:
            return None
        return draw_shape(self._rng, has_body=kind.method == "POST")

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop()[1].close()

    async def _exchange(self, sent: SoakRequest, kind: Kind, key: str) -> None:
        reader, writer = await self._get_connection(sent)
        reusable = False
        try:
            writer.write(_encode_request(sent, kind, key))
            await writer.drain()
            sent.is_written = True
            if sent.shape is not None:
                await asyncio.sleep(sent.shape.read_pause_s)
            fields = await _read_head_and_body(reader, sent)
            reusable = fields.get("connection", "").lower() != "close"
            instance_id = fields.get("server-signature", "").partition(".")[0]
            if instance_id:
                notices = self._record.notices
                notices.record_passed(self._host, instance_id, fields, _now_s())
        finally:
            if reusable and len(self._idle_connections) < MAX_IDLE_CALLER_CONNECTIONS:
                self._idle_connections.append((reader, writer))
            else:
                writer.close()

    async def _get_connection(self, sent: SoakRequest) -> tuple:
        # Draws nothing without a share: other soaks keep the schedules of their seeds.
        share = self.new_connection_share
        is_new_wanted = share > 0 and self._rng.random() < share
        while self._idle_connections and not is_new_wanted:
            reader, writer = self._idle_connections.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        sent.has_new_connection = True
        return await asyncio.open_connection(self._ip, self._port)


def _encode_request(sent: SoakRequest, kind: Kind, key: str) -> bytes:
    # The request claims a false service and organisation, which the sidecar must
    # replace by the true ones.
    credentials = f"Authorization: Bearer {key}\r\n" if key else ""
    body = b"x" * 300 if kind.method == "POST" else b""
    shape = ""
    if sent.shape is not None:
        body = pattern(sent.request_id, sent.shape.body_bytes)
        shape = f"{SHAPE_FIELD}: {serialize_shape(sent.shape)}\r\n"
    return (
        f"{sent.method} {sent.target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {kind.time_left_ms}\r\n"
        f"Caller-Service: nobody\r\nTenant: nobody\r\n{credentials}{shape}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def _read_head_and_body(
    reader: asyncio.StreamReader, sent: SoakRequest
) -> dict[str, str]:
    """Read and check one response; return its fields by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in head[1:] if line]
    fields = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    sent.status = int(head[0].split()[1])
    if fields.get("request-id", sent.request_id) != sent.request_id:
        sent.fault = "response to another request"
    elif sent.status == 200 and "server-signature" not in fields:
        sent.fault = "success without a signature"
    elif sent.status == 200 and body != body_of(sent.request_id, sent.shape):
        sent.fault = "success without the server's complete body"
    return fields


async def send_requests_at_rate(
    external_caller: Caller, kinds, *, per_s: float, rng: random.Random
) -> None:
    """Send requests at a mean rate until cancelled.

    Args:
        external_caller: sends the requests.
        kinds: returns the kinds of request to draw from.
        per_s: mean number of requests per second.
        rng: source of intervals and kinds.
    """
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            group.create_task(external_caller.send(rng.choice(kinds())))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
