"""Callers at each host, on kept connections until their sidecar is gone."""

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from .record import Record, Sent, body_of

ANSWER_CEILING_S = 12.0
"""Longest wait for an answer: far beyond every time limit, so that a process that is
paused, or a busy machine, isn't taken for a lost answer."""

Key = tuple[str, str] | None
"""A key and the organisation that holds it."""

IDLE_MOST = 20
"""Idle connections that callers of a host keep."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request."""

    prefix: str
    method: str
    idempotent: bool
    time_left_ms: int
    version: int = 0
    same_target: bool = False
    """Whether all its requests are for one target, in place of one each."""


class Caller:
    """Sends requests to one sidecar and records what comes of each."""

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
    ):
        self.lifetime = 0
        self._host = host
        self._service = service
        self._ip = ip
        self._port = port
        self._record = record
        self._draw_key = draw_key
        self._idle: deque[tuple] = deque()

    async def ask(self, kind: Kind, *, parent: str = "", key: Key = None) -> Sent:
        """Send one request; a parent's id makes it a call of that run, without a key.

        Without a key and an organisation given, one is drawn.
        """
        key, organisation = key or ("", "") if parent else key or self._draw_key()
        if parent in self._record.sent:
            organisation = self._record.sent[parent].organisation
        number = f"{next(self._numbers):08x}"
        request_id = f"{parent}.{number}" if parent else number
        sent = Sent(
            request_id=request_id,
            host=self._host,
            caller_service=self._service,
            method=kind.method,
            target=kind.prefix if kind.same_target else f"{kind.prefix}{number}",
            idempotent=kind.idempotent,
            version=kind.version,
            organisation=organisation,
            lifetime=self.lifetime,
            sent_s=_now_s(),
        )
        self._record.sent[request_id] = sent
        try:
            async with asyncio.timeout(ANSWER_CEILING_S):
                await self._exchange(sent, kind, key)
        except TimeoutError:
            sent.status = None
        except (OSError, asyncio.IncompleteReadError):
            sent.status = 0
        sent.done_s = _now_s()
        return sent

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    async def _exchange(self, sent: Sent, kind: Kind, key: str) -> None:
        reader, writer = await self._connection()
        kept = False
        try:
            writer.write(_request_bytes(sent, kind, key))
            kept = await _read_answer(reader, sent)
        finally:
            if kept and len(self._idle) < IDLE_MOST:
                self._idle.append((reader, writer))
            else:
                writer.close()

    async def _connection(self) -> tuple:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self._ip, self._port)


def _request_bytes(sent: Sent, kind: Kind, key: str) -> bytes:
    # A false origin and organisation: the sidecar must put the true ones there.
    credentials = f"Authorization: Bearer {key}\r\n" if key else ""
    body = b"x" * 300 if kind.method == "POST" else b""
    return (
        f"{sent.method} {sent.target} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {kind.time_left_ms}\r\n"
        f"Caller-Service: nobody\r\nTenant: nobody\r\n{credentials}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def _read_answer(reader: asyncio.StreamReader, sent: Sent) -> bool:
    """Read and check one answer; return whether its connection may be used again."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.split(": ", 1) for line in head[1:] if line]
    fields = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    sent.status = int(head[0].split()[1])
    if fields.get("request-id", sent.request_id) != sent.request_id:
        sent.fault = "answer of another request"
    elif sent.status == 200 and "server-signature" not in fields:
        sent.fault = "success without a signature"
    elif sent.status == 200 and body != body_of(sent.request_id):
        sent.fault = "success without the server's whole body"
    return fields.get("connection", "").lower() != "close"


async def keep_asking(
    caller: Caller, kinds, *, per_s: float, rng: random.Random
) -> None:
    """Send requests at a mean rate until cancelled.

    Args:
        caller: sends them.
        kinds: returns the kinds of request to draw from.
        per_s: requests a second.
        rng: source of times and kinds.
    """
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            group.create_task(caller.ask(rng.choice(kinds())))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
