"""Stateful test of the limits and leave notices of a server, over kills and replays."""

import asyncio
import bisect
import itertools
from dataclasses import dataclass, field

import looptime
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from sassafraswinch.crash_suspects import CrashSuspects
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.http_client import HttpResponse, ProbeResult
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.placement import PeerLoad
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest, Verdict
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.server_notices import serialize_notice
from sassafraswinch_sidecar.suspect_requests import SuspectRequests
from sassafraswinch_standins.rate_windows import requests_within_limits
from sidecar_standins.notices import (
    LEAVING_NAME,
    RATE_LIMIT_NAME,
    MemoryNoticeDecoder,
)

WINDOW_S, STABLE_S, TOLD_S, DRAIN_S = 4.0, 3.0, 0.5, 2.0
"""Windows of the two promises: sliding window, time after the first limit, time after
an owner passed it on, and time after a leave notice."""

EXECUTION_S = 0.08
SLOTS = 60
OWNERS = 3
LIMITS = st.sampled_from([0.0, 0.4, 3.0, 12.4, 50.0])
LOAD_PER_S = 100.0


@dataclass
class Server:
    """The backend server: its current lifetime and what its responses state."""

    number: int = 1
    limit: float | None = None
    leaving: bool = False

    @property
    def instance_id(self) -> str:
        return f"i-{self.number}"

    def fields(self, request_id: str) -> list[tuple[bytes, bytes, bytes]]:
        values = [
            (b"x-request-id", request_id.encode()),
            (b"x-signature", b"s"),
        ]
        if self.limit is not None:
            values.append((RATE_LIMIT_NAME, b"%g" % self.limit))
        if self.leaving:
            values.append((LEAVING_NAME, b"1"))
        return [(name, name, value) for name, value in values]


@dataclass(eq=False)
class Owner:
    """A sidecar that places requests: what it knows, and what it passed on when.

    Attributes:
        told_s: time at which it passed on the first limit of each instance.
        told_leaving_s: the same for leave notices.
    """

    load: PeerLoad = field(default_factory=PeerLoad)
    told_s: dict[str, float] = field(default_factory=dict)
    told_leaving_s: dict[str, float] = field(default_factory=dict)


class LimitedServer(RuleBasedStateMachine):
    """Owners send to one server through its sidecar, which is killed and restarted.

    Attributes:
        arrivals: time, instance, and whether the sending owner had passed on its limit.
        named: time, instance and limit of each response.
    """

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.server = Server()
        self.owners = [Owner() for _ in range(OWNERS)]
        self.arrivals: list[tuple[float, str, bool]] = []
        self.late_at_leaving: list[tuple[float, str]] = []
        self.named: list[tuple[float, str, float | None]] = []
        self.reports = []
        self.numbers = itertools.count(1)
        self.generation = 0
        self.day_us = 0
        self.run(self.start_executor())

    def run(self, coroutine) -> None:
        self.loop.run_until_complete(coroutine)

    async def start_executor(self) -> None:
        self.generation += 1
        now_ms = lambda: self.loop.time() * 1000  # noqa: E731
        self.notices = LocalNotices(
            now_ms=now_ms, stamp_us=lambda: int(now_ms() * 1000) + self.day_us
        )
        self.executor = Executor(
            service="archiv",
            client=Client(self, self.generation),
            names=HeaderNames(),
            notice_decoder=MemoryNoticeDecoder(),
            notices=self.notices,
            on_notice=self.refuse_leaving,
            is_leaving=lambda instance_id: (
                self.notices.leaving and instance_id == self.notices.instance_id
            ),
            held=HeldBytes(max_bytes=10**9),
            suspects=SuspectRequests(
                suspects=CrashSuspects(), now_ms=now_ms, on_change=lambda: None
            ),
            log=RequestLog(now_ms=now_ms),
        )
        self.executor.set_slots(SLOTS)

    def refuse_leaving(self) -> None:
        if self.notices.leaving:
            self.executor.refuse_leaving()

    def send(self, owner: Owner) -> None:
        """Send one request, unless the owner knows that the server is leaving."""
        notice = owner.load.notice_of(self.server.instance_id)
        if notice is not None and notice.leaving:
            return
        generation, number = self.generation, next(self.numbers)
        request = RelayRequest(
            call_id=number,
            instance_id=self.server.instance_id,
            service_name="archiv",
            request_id=f"r-{number}",
            method="GET",
            target=b"/orders/%d" % number,
            headers=b"",
            body=b"",
            remaining_ms=3_000,
            max_wait_ms=1_000,
            priority=1,
            level=1,
            inner=False,
            idempotent=True,
            repeated=False,
            notice=serialize_notice(notice),
        )

        def reply(response):
            if generation == self.generation:
                self.handle_response(owner, request.instance_id, response)

        self.executor.submit(request, reply, owner)

    def handle_response(self, owner, instance_id, response) -> None:
        owner.load.apply_report(response.load, self.loop.time() * 1000)
        self.reports.append(response.load)
        if response.verdict != Verdict.ANSWERED:
            return
        now_s = self.loop.time()
        if RATE_LIMIT_NAME in response.headers:
            owner.told_s.setdefault(instance_id, now_s)
        if LEAVING_NAME in response.headers:
            owner.told_leaving_s.setdefault(instance_id, now_s)

    def record_arrival(self, owner: Owner, instance_id: str) -> None:
        now_s = self.loop.time()
        told_s = owner.told_s.get(instance_id)
        is_told = told_s is not None and told_s <= now_s - TOLD_S
        self.arrivals.append((now_s, instance_id, is_told))
        left_s = owner.told_leaving_s.get(instance_id)
        if left_s is not None and now_s > left_s + DRAIN_S:
            self.late_at_leaving.append((now_s, instance_id))

    @rule(limit=LIMITS)
    def name_limit(self, limit):
        self.server.limit = limit

    @rule(limit=LIMITS)
    def name_limit_until_it_binds(self, limit):
        """Name a limit for longer than the time after which it must be kept."""
        self.server.limit = limit
        self.load(seconds=STABLE_S + TOLD_S)

    @rule()
    def end_limit(self):
        self.server.limit = None

    @rule()
    def leave(self):
        self.server.leaving = True

    @rule()
    def replace_server(self):
        self.server = Server(number=self.server.number + 1)

    @rule(seconds=st.floats(0.05, 5.0))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(owner=st.integers(0, OWNERS - 1), count=st.integers(1, 60))
    def burst(self, owner, count):
        async def send_all():
            for _ in range(count):
                self.send(self.owners[owner])

        self.run(send_all())

    @rule(seconds=st.floats(0.5, 5.0))
    def load(self, seconds):
        async def send_steadily():
            for number in range(int(seconds * LOAD_PER_S)):
                self.send(self.owners[number % OWNERS])
                await asyncio.sleep(1 / LOAD_PER_S)

        self.run(send_steadily())

    @rule(clock_step_s=st.sampled_from([0, 0, -2, 2]))
    def kill_executor(self, clock_step_s):
        self.executor.close()
        self.day_us += clock_step_s * 1_000_000
        self.run(self.start_executor())

    @rule(owner=st.integers(0, OWNERS - 1), count=st.integers(1, 60))
    def kill_executor_before_a_burst(self, owner, count):
        self.kill_executor(clock_step_s=0)
        self.burst(owner=owner, count=count)
        self.wait(seconds=1.0)

    @rule(owner=st.integers(0, OWNERS - 1))
    def kill_owner(self, owner):
        self.owners[owner] = Owner()

    @precondition(lambda self: self.reports)
    @rule(owner=st.integers(0, OWNERS - 1), data=st.data())
    def receive_old_report(self, owner, data):
        report = data.draw(st.sampled_from(self.reports[-50:]))
        self.owners[owner].load.apply_report(report, self.loop.time() * 1000)

    def teardown(self):
        try:
            assert self.late_at_leaving == []
            for number in range(1, self.server.number + 1):
                self.check_limit(f"i-{number}")
        finally:
            self.executor.close()
            self.loop.close()

    def check_limit(self, instance_id) -> None:
        """Check each window of 4 s from 3 s after the first limit on."""
        named = [(at, limit) for at, found, limit in self.named if found == instance_id]
        first_s = next((at for at, limit in named if limit is not None), None)
        if first_s is None:
            return
        times = [
            at
            for at, found, is_told in self.arrivals
            if found == instance_id and is_told and at >= first_s + STABLE_S
        ]
        for number, start_s in enumerate(times):
            end_s = start_s + WINDOW_S
            allowed = 1.5 * requests_within_limits(named, start_s, end_s) + 5
            got = bisect.bisect_left(times, end_s) - number
            assert got <= allowed, (instance_id, start_s, got, allowed)


class Client:
    """Client of the simulated server (HttpClient); responses take a fixed time."""

    def __init__(self, machine: LimitedServer, generation: int):
        self._machine = machine
        self._generation = generation

    def send(self, exchange, *, fresh):
        machine = self._machine
        execution = exchange.context
        request = execution.request
        machine.record_arrival(execution.owner, request.instance_id)
        machine.loop.call_later(EXECUTION_S, self._respond, exchange, request)

    def _respond(self, exchange, request):
        machine, server = self._machine, self._machine.server
        if request.instance_id != server.instance_id:
            fields = [(b"x-instance", b"", server.instance_id.encode())]
            response = HttpResponse(status=421, fields=fields, body=b"")
        else:
            now_s = machine.loop.time()
            machine.named.append((now_s, server.instance_id, server.limit))
            response = HttpResponse(
                status=200, fields=server.fields(request.request_id), body=b""
            )
        if self._generation == machine.generation and not exchange.cancelled:
            exchange.on_done(exchange, response)

    def cancel(self, exchange):
        exchange.cancelled = True

    async def probe(self, timeout_s=1.0):
        return ProbeResult.CONNECTED

    def close(self):
        """Do nothing: there are no connections."""


TestLimitedServer = LimitedServer.TestCase
TestLimitedServer.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
