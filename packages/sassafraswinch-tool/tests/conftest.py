"""Fixture of two stub nodes and a stub platform, served over HTTP by a thread."""

import asyncio
import dataclasses
import signal
import threading

import pytest
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from sassafraswinch.burn import BurnRecorder
from sassafraswinch.document import Objective
from sassafraswinch.status import LinkStatus, Status
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.listeners import HttpListener
from sassafraswinch_node.listening_sockets import bind
from sassafraswinch_node.operators import operators_app
from sassafraswinch_node.settings import parse_address

HOUR_MS = 3_600_000.0

STATUS = Status(
    host="",
    availability_zone="brno-a",
    service="schvaleni",
    incarnation=7,
    state="serving",
    document_version=3,
    document_digest="00ff",
    links=(LinkStatus(host="brno-b-1", state="up", session=1, silent_ms=2.0),),
    counters={"retries": 5},
)


class StubNode:
    """State behind the operators' endpoint of one stub node."""

    def __init__(self, host):
        self.status = dataclasses.replace(STATUS, host=host)
        self.recorder = BurnRecorder(host=host, now_ms=0)
        objective = Objective(answered_percent=99.0, latency_ms=100.0)
        self.recorder.set_objectives({"paying": objective}, document_version=3)

    def update_status(self, **fields):
        self.status = dataclasses.replace(self.status, **fields)

    def record_calls(self, *, good=0, refused=0, operation="approve"):
        outcomes = [(Verdict.ANSWERED, None)] * good
        outcomes += [(Verdict.NOT_RUN, Reason.OVERLOADED)] * refused
        for verdict, reason in outcomes:
            self.recorder.record(
                class_name="paying",
                operation=operation,
                verdict=verdict,
                reason=reason,
                latency_ms=20.0,
                now_ms=HOUR_MS - 5.0,
            )


class StubFleet:
    """Two stub nodes, an address without a listener, and a platform that lists all."""

    def __init__(self):
        self.first, self.second = StubNode("brno-a-1"), StubNode("brno-b-1")
        self.host_list_http_status = 200
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._listeners = [
            self._make_listener(self._make_app(node))
            for node in (self.first, self.second)
        ]
        self.addresses = [str(listener.address) for listener in self._listeners]
        unused = bind("127.0.0.1", 0)
        self.closed_address = f"127.0.0.1:{unused.getsockname()[1]}"
        unused.close()
        platform = Starlette(routes=[Route("/v1/hosts", self._list_hosts)])
        self._listeners.append(self._make_listener(platform))
        self.platform_url = f"http://{self._listeners[-1].address}"

    def start(self):
        self._thread.start()
        for listener in self._listeners:
            self._run(listener.start())

    def stop(self):
        for listener in self._listeners:
            self._run(listener.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine):
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    @staticmethod
    def _make_listener(app):
        return HttpListener(app=app, address=parse_address("127.0.0.1:0"))

    @staticmethod
    def _make_app(node):
        return operators_app(
            status=lambda: node.status, burn=lambda: node.recorder.report(HOUR_MS)
        )

    async def _list_hosts(self, request):
        hosts = [
            {"operators": address} for address in (*self.addresses, self.closed_address)
        ]
        return JSONResponse(hosts, status_code=self.host_list_http_status)


@pytest.fixture(autouse=True)
def sigint_reaches_children():
    """Start children with SIGINT at its default action, as a terminal does.

    A shell without job control starts background commands with the signal ignored, and
    all their children inherit that.
    """
    inherited = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, inherited)


@pytest.fixture
def fleet():
    fleet = StubFleet()
    fleet.start()
    yield fleet
    fleet.stop()
