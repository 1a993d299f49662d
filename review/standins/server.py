"""Stand-in of a backend server, as PROTOCOL.md says under "Servers"."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable

from .messages import Message, read_message, serialize_response
from .record import Record

HEALTH_PATH = "/health"
CONNECTION_CHECK_S = 0.02


class Server:
    """A server that runs requests for a time and answers with a signature.

    Args:
        work_s: time for which a request runs.
        answer_bytes: length of an answer.
        shed_share: share of the requests that it rejects as not executed.
        extra_share: share of its answers that it sends twice; the second one arrives
            late, at the point where the next answer on the connection is expected.
        rng: source of both choices.

    Attributes:
        runs: times at which each request began to run, by request id.
        work_s: time for which a request runs, beside its call.
        make_call: makes the call that each run needs, if set; returns its status.
        working: ids of the requests at which it is at work.
        extras: number of second answers that were sent.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        service: str,
        slots: int,
        record: Record,
        work_s: float,
        answer_bytes: int = 200,
        shed_share: float = 0.0,
        extra_share: float = 0.0,
        rng: random.Random,
    ):
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.address = ""
        self.shed_share = shed_share
        self.extra_share = extra_share
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.working: set[str] = set()
        self.extras = 0
        self.make_call: Callable[[str], Awaitable[int]] | None = None
        self._record = record
        self.work_s = work_s
        self._answer = b"x" * answer_bytes
        self._rng = rng
        self._server: asyncio.Server | None = None

    async def open(self, ip: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def registration(self, zone: str) -> dict:
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_s": 0,
            "seq": 1,
        }

    async def _serve(self, reader, writer) -> None:
        late_extra = b""
        try:
            while (request := await read_message(reader)) is not None:
                if late_extra:
                    self._record.add("second-answer", server=self.instance_id)
                    self.extras += 1
                    writer.write(late_extra)
                    await writer.drain()
                answer = await self._respond(request, reader, writer)
                if answer is None:
                    return
                is_health = request.first_line[1] == HEALTH_PATH
                is_doubled = not is_health and self._rng.random() < self.extra_share
                late_extra = answer if is_doubled else b""
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message, reader, writer) -> bytes | None:
        """Answer a request; return the answer, or None if the connection ended."""
        fields, body = {}, b""
        request_id = request.fields.get("request-id", "")
        expected = request.fields.get("target-instance", self.instance_id)
        if request.first_line[1] == HEALTH_PATH:
            status, fields = 200, {"Instance-Id": self.instance_id}
        elif expected != self.instance_id:
            status, fields = 421, {"Instance-Id": self.instance_id}
        elif not request_id:
            status, fields = 400, {"Not-Executed": "1"}
        elif len(self.working) >= self.slots or self._rng.random() < self.shed_share:
            status, fields = 503, {"Not-Executed": "1"}
            self._record.add("rejected", id=request_id, server=self.instance_id)
        else:
            status = await self._run(request_id, reader)
            if status is None:
                return None
            body = self._answer if status == 200 else b""
            signature = f"{self.instance_id}.{request_id}.{len(body)}"
            fields = {"Server-Signature": signature}
        if request_id:
            fields = {"Request-Id": request_id, **fields}
        answer = serialize_response(status, fields, body)
        writer.write(answer)
        await writer.drain()
        return answer

    async def _run(self, request_id: str, reader) -> int | None:
        """Run a request; return its status, or None if its connection ended."""
        self.runs[request_id].append(self._record.now_s())
        self._record.add("run", id=request_id, server=self.instance_id)
        self.working.add(request_id)
        work = asyncio.create_task(self._work(request_id))
        try:
            while not work.done():
                await asyncio.wait({work}, timeout=CONNECTION_CHECK_S)
                if reader.at_eof() or reader.exception() is not None:
                    self._record.add("dropped", id=request_id, server=self.instance_id)
                    return None
            return work.result()
        finally:
            work.cancel()
            self.working.discard(request_id)

    async def _work(self, request_id: str) -> int:
        await asyncio.sleep(self.work_s)
        return 200 if self.make_call is None else await self.make_call(request_id)
