"""Stand-in for a backend server, which runs requests as the pages say."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

HEALTH_PATH = "/health"

_numbers = itertools.count(0x10)


@dataclass(slots=True, eq=False)
class ServerRequest:
    """A request as a server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float
    peer: tuple

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.headers.get("request-id", "")


@dataclass(slots=True, eq=False)
class Answer:
    """What a server does with a request.

    Attributes:
        status: status, or None to close the connection without an answer.
        body: its body.
        work_s: time at work before.
        ran: whether it ran the request; otherwise it says ``Not-Executed``.
    """

    status: int | None = 200
    body: bytes = b""
    work_s: float = 0.05
    ran: bool = True
    fields: dict[str, str] = field(default_factory=dict)


Behaviour = Callable[["Server", ServerRequest], Awaitable[Answer]]


async def work(server: "Server", request: ServerRequest) -> Answer:
    """Run a request for a short time and answer with 200."""
    return Answer(body=f"body of {request.id} by {server.id}".encode())


class Server:
    """One server at a fixed address; each start is a new lifetime with a new id.

    Attributes:
        runs: the requests that it began to run, with their times.
        arrivals: all requests that arrived.
        ended: ids of the requests whose work was ended by a closed connection.
    """

    def __init__(self, *, service: str, ip: str, slots: int = 50, zone: str = "z-a"):
        self.service = service
        self.ip = ip
        self.port = 0
        self.slots = slots
        self.zone = zone
        self.id = ""
        self.behaviour: Behaviour = work
        self.runs: list[tuple[float, str, ServerRequest]] = []
        self.arrivals: list[tuple[float, str, ServerRequest]] = []
        self.cut: list[tuple[float, str]] = []
        self.at_work = 0
        self._server: asyncio.Server | None = None
        self._writers: set = set()

    async def start(self) -> None:
        """Start a new lifetime."""
        self.id = f"i-{next(_numbers):08x}"
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End: close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_s": 0,
            "seq": 1,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader, writer)
                if request is None:
                    return
                if not await self._handle(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: ServerRequest, reader, writer) -> bool:
        if request.target == HEALTH_PATH:
            self._answer(writer, request, Answer(), {"Instance-Id": self.id})
            return True
        expected = request.headers.get("target-instance", "")
        if expected and expected != self.id:
            answer = Answer(status=421)
            self._answer(writer, request, answer, {"Instance-Id": self.id})
            return True
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append((now_s, self.id, request))
        if self.at_work >= self.slots:
            answer = Answer(status=503)
            self._answer(writer, request, answer, {"Not-Executed": "1"})
            return True
        answer_task = asyncio.ensure_future(self._run(request))
        closed_task = asyncio.ensure_future(_closed(writer))
        done, _ = await asyncio.wait(
            (answer_task, closed_task), return_when=asyncio.FIRST_COMPLETED
        )
        closed_task.cancel()
        if answer_task not in done:
            # Most servers drop a request when its connection closes.
            answer_task.cancel()
            now_s = asyncio.get_running_loop().time()
            self.cut.append((now_s, request.id))
            return False
        answer = answer_task.result()
        if answer.status is None:
            return False
        if answer.ran:
            fields = {"Server-Signature": f"{self.id}.{len(answer.body)}"}
        else:
            fields = {"Not-Executed": "1"}
        self._answer(writer, request, answer, fields | answer.fields)
        return answer.fields.get("Connection") != "close"

    async def _run(self, request: ServerRequest) -> Answer:
        answer = await self.behaviour(self, request)
        if not answer.ran:
            return answer
        now_s = asyncio.get_running_loop().time()
        self.runs.append((now_s, self.id, request))
        self.at_work += 1
        limit_s = int(request.headers.get("deadline-ms", "60000")) / 1000
        try:
            await asyncio.sleep(min(answer.work_s, limit_s))
        finally:
            self.at_work -= 1
        if answer.work_s > limit_s:
            return Answer(status=504)
        return answer

    def _answer(self, writer, request, answer: Answer, fields: dict) -> None:
        if request.id:
            fields = {"Request-Id": request.id} | fields
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 {answer.status} Any\r\n{lines}"
        head += f"Content-Length: {len(answer.body)}\r\n\r\n"
        writer.write(head.encode() + answer.body)


async def _closed(writer) -> None:
    while not writer.transport.is_closing():
        await asyncio.sleep(0.01)


async def _read_request(reader, writer) -> ServerRequest | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    now_s = asyncio.get_running_loop().time()
    peer = writer.get_extra_info("peername")
    return ServerRequest(method, target, headers, body, now_s, peer)
