"""Stand-in of requesters: each attempt has its own id; connections are kept."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

from .messages import read_head
from .record import Record

SEGMENT_BYTES = 1448
"""Segment size of an ordinary network, also on loopback."""

PART_BYTES = 64 * 1024
"""Part of an answer that a requester reads at once."""


@dataclass
class Sent:
    """One attempt of a requester and how it ended.

    Attributes:
        sent_s: time at which its last byte was sent.
        ended_s: time at which its answer was complete or its connection ended.
        status: status of the answer; 0 without the head of one.
        is_signed: whether the answer has a server's signature.
        is_complete: whether the whole answer arrived.
        received_bytes: bytes of the answer's body that arrived.
        is_on_kept: whether it was sent on a connection that was used before.
        gave_up: whether the requester's time limit ended it.
    """

    request_id: str
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    is_signed: bool = False
    is_complete: bool = False
    received_bytes: int = 0
    is_on_kept: bool = False
    gave_up: bool = False


class Requesters:
    """Requesters on one machine, which send to their node's address.

    Args:
        address: the node's ``outbound`` address.
    """

    def __init__(self, *, name: str, address: str, record: Record):
        self.sent: list[Sent] = []
        self._name = name
        self._address = address
        self._record = record
        self._idle: deque[tuple] = deque()

    async def send(
        self,
        host: str,
        method: str,
        path: str,
        *,
        limit_ms: int,
        body: bytes = b"",
        parent_id: str = "",
    ) -> Sent:
        """Send one request and wait for its end.

        Args:
            host: value of the ``Host`` field.
            method: method of the request.
            path: prefix of its path, to which its id is added.
            limit_ms: time for which the requester waits.
            body: body of the request.
            parent_id: id of the request whose run makes this call, if it is one.
        """
        number = f"{self._name}{len(self.sent):06x}"
        sent = Sent(f"{parent_id}.{number}" if parent_id else number)
        self.sent.append(sent)
        head = (
            f"{method} {path}{sent.request_id} HTTP/1.1\r\nHost: {host}\r\n"
            f"Request-Id: {sent.request_id}\r\nDeadline-Ms: {limit_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self._exchange(sent, head.encode() + body)
        except TimeoutError:
            sent.gave_up = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        sent.ended_s = self._record.now_s()
        self._record.add(
            "ended",
            id=sent.request_id,
            sent_s=f"{sent.sent_s:.3f}",
            status=sent.status,
            signed=sent.is_signed,
            complete=sent.is_complete,
            bytes=sent.received_bytes,
            gave_up=sent.gave_up,
        )
        return sent

    async def _exchange(self, sent: Sent, payload: bytes) -> None:
        reader, writer = await self._connection(sent)
        is_kept = False
        try:
            writer.write(payload)
            await writer.drain()
            sent.sent_s = self._record.now_s()
            self._record.add("sent", id=sent.request_id)
            head = await read_head(reader)
            if head is None:
                return
            sent.status = int(head.first_line[1])
            sent.is_signed = "server-signature" in head.fields
            await self._read_body(sent, reader, int(head.fields["content-length"]))
            sent.is_complete = True
            is_kept = head.fields.get("connection", "").lower() != "close"
        finally:
            if is_kept:
                self._idle.append((reader, writer))
            else:
                writer.close()

    async def _read_body(self, sent: Sent, reader, length: int) -> None:
        while sent.received_bytes < length:
            part = await reader.read(min(PART_BYTES, length - sent.received_bytes))
            if not part:
                raise asyncio.IncompleteReadError(b"", length)
            sent.received_bytes += len(part)

    async def _connection(self, sent: Sent) -> tuple:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                sent.is_on_kept = True
                return reader, writer
            writer.close()
        ip, _, port = self._address.partition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await asyncio.get_running_loop().sock_connect(raw, (ip, int(port)))
        return await asyncio.open_connection(sock=raw, limit=PART_BYTES)
