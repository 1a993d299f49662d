"""Tests of the backend server stand-in."""

import asyncio

import orjson
import pytest

from sassafraswinch_standins.answers import (
    RequestFields,
    check_answer,
    serialize_request,
)
from sassafraswinch_standins.backend import Backend
from sassafraswinch_standins.backend_settings import BackendSettings
from sassafraswinch_standins.http_client import ExchangeError, HttpClient
from sassafraswinch_standins.serving import serving

TRACEPARENT = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"


def make(**more):
    operation = {"name": "work", "path": "/work", "service_time_ms": 60, "sigma": 0.01}
    fields = {"slots": 1, "backlog": 1, "operations": [operation]} | more
    return Backend(settings=BackendSettings.model_validate(fields))


class Asker:
    """Calls a backend server under test."""

    def __init__(self, address):
        self.address = address
        self.client = HttpClient()

    async def work(self, request_id="r", path="/work", timeout_ms=5000, **headers):
        target, _ = serialize_request(
            RequestFields(request_id=request_id, answer_bytes=1000),
            method="GET",
            path=path,
        )
        named = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return await self.client.request(
            address=self.address,
            method="GET",
            target=target,
            headers=named,
            timeout_ms=timeout_ms,
        )

    async def control(self, **order):
        await self.client.request(
            address=self.address,
            method="POST",
            target="/control",
            body=orjson.dumps(order),
        )


async def test_sheds_above_slots_and_backlog():
    backend = make()
    async with serving(backend) as address:
        asker = Asker(address)
        answers = await asyncio.gather(*(asker.work(f"r{i}") for i in range(4)))
        shed = [a for a in answers if a.headers.get("x-not-run") == "1"]
        assert sorted(a.status for a in answers) == [200, 200, 503, 503]
        assert len(shed) == 2
        assert len(backend.runs.runs) == 2
        asker.client.close()


async def test_closed_connection_cancels_the_work():
    backend = make()
    async with serving(backend) as address:
        asker = Asker(address)
        with pytest.raises(TimeoutError):
            await asker.work("gone", timeout_ms=20)
        answer = await asker.work("next")
        assert check_answer(answer.body, request_id="next") is None
        states = {run.request_id: run.state.value for run in backend.runs.runs}
        assert states == {"gone": "cancelled", "next": "answered"}
        assert backend.slots.in_flight == 0
        asker.client.close()


async def test_deadline_ends_waiting_not_run_and_running_work():
    backend = make()
    async with serving(backend) as address:
        asker = Asker(address)
        first, second = await asyncio.gather(
            asker.work("a", x_deadline_ms="40"), asker.work("b", x_deadline_ms="10")
        )
        assert (first.status, second.status) == (504, 503)
        assert second.headers["x-not-run"] == "1"
        assert [run.request_id for run in backend.runs.runs] == ["a"]
        asker.client.close()


async def test_drain_refuses_while_health_lags():
    backend = make(report_lag_ms=60_000)
    async with serving(backend) as address:
        asker = Asker(address)
        assert (await asker.work("a")).status == 200
        await asker.control(drain=True)
        assert (await asker.work("b")).headers["x-not-run"] == "1"
        health = await asker.client.request(
            address=address, method="GET", target="/health"
        )
        assert health.status == 200
        asker.client.close()


async def test_cut_answer_is_seen_as_broken():
    async with serving(make()) as address:
        asker = Asker(address)
        await asker.control(fault="cut")
        with pytest.raises(ExchangeError):
            await asker.work()
        asker.client.close()


@pytest.mark.parametrize("order", ["sequential", "parallel"])
async def test_calls_onward_copy_the_traceparent(order):
    child = {"service": "deep", "path": "/{id}"}
    operation = {
        "name": "work",
        "path": "/work",
        "service_time_ms": 2,
        "order": order,
        "calls": [child, child],
    }
    leaf = {"name": "leaf", "path": "/deep/{any}", "service_time_ms": 1}
    deep = make(operations=[leaf], slots=4)
    async with serving(deep) as egress:
        backend = make(operations=[operation], egress=egress)
        async with serving(backend) as address:
            asker = Asker(address)
            answer = await asker.work("p", traceparent=TRACEPARENT)
            assert answer.status == 200
            await Asker(egress).control(drain=True)
            assert (await asker.work("q", traceparent=TRACEPARENT)).status == 502
            asker.client.close()
    seen = {(run.request_id, run.root_id) for run in deep.runs.runs}
    assert seen == {("p/0", "ab" * 16), ("p/1", "ab" * 16)}
