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


def make_backend(**overrides):
    operation = {"name": "work", "path": "/work", "service_time_ms": 60, "sigma": 0.01}
    fields = {"slots": 1, "backlog": 1, "operations": [operation]} | overrides
    return Backend(settings=BackendSettings.model_validate(fields))


class BackendClient:
    """HTTP client of a backend server under test."""

    def __init__(self, address):
        self.address = address
        self.http = HttpClient()

    async def work(self, request_id="r", path="/work", timeout_ms=5000, **headers):
        target, _ = serialize_request(
            RequestFields(request_id=request_id, answer_bytes=1000),
            method="GET",
            path=path,
        )
        named_headers = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        return await self.http.request(
            address=self.address,
            method="GET",
            target=target,
            headers=named_headers,
            timeout_ms=timeout_ms,
        )

    async def control(self, **fields):
        await self.http.request(
            address=self.address,
            method="POST",
            target="/control",
            body=orjson.dumps(fields),
        )


async def test_sheds_above_slots_and_backlog():
    backend = make_backend()
    async with serving(backend) as address:
        client = BackendClient(address)
        responses = await asyncio.gather(*(client.work(f"r{i}") for i in range(4)))
        shed = [r for r in responses if r.headers.get("x-not-run") == "1"]
        assert sorted(r.status for r in responses) == [200, 200, 503, 503]
        assert len(shed) == 2
        assert len(backend.runs.runs) == 2
        client.http.close()


async def test_closed_connection_cancels_the_call():
    backend = make_backend()
    async with serving(backend) as address:
        client = BackendClient(address)
        with pytest.raises(TimeoutError):
            await client.work("gone", timeout_ms=20)
        response = await client.work("next")
        assert check_answer(response.body, request_id="next") is None
        states = {run.request_id: run.state.value for run in backend.runs.runs}
        assert states == {"gone": "cancelled", "next": "answered"}
        assert backend.slots.in_flight == 0
        client.http.close()


async def test_deadline_sheds_waiting_call_and_cancels_running_call():
    backend = make_backend()
    async with serving(backend) as address:
        client = BackendClient(address)
        first, second = await asyncio.gather(
            client.work("a", x_deadline_ms="40"), client.work("b", x_deadline_ms="10")
        )
        assert (first.status, second.status) == (504, 503)
        assert second.headers["x-not-run"] == "1"
        assert [run.request_id for run in backend.runs.runs] == ["a"]
        client.http.close()


async def test_drain_refuses_while_health_lags():
    backend = make_backend(report_lag_ms=60_000)
    async with serving(backend) as address:
        client = BackendClient(address)
        assert (await client.work("a")).status == 200
        await client.control(drain=True)
        assert (await client.work("b")).headers["x-not-run"] == "1"
        health = await client.http.request(
            address=address, method="GET", target="/health"
        )
        assert health.status == 200
        client.http.close()


async def test_truncated_response_raises_exchange_error():
    async with serving(make_backend()) as address:
        client = BackendClient(address)
        await client.control(fault="cut")
        with pytest.raises(ExchangeError):
            await client.work()
        client.http.close()


@pytest.mark.parametrize("order", ["sequential", "parallel"])
async def test_child_calls_copy_the_traceparent(order):
    child = {"service": "deep", "path": "/{id}"}
    operation = {
        "name": "work",
        "path": "/work",
        "service_time_ms": 2,
        "order": order,
        "calls": [child, child],
    }
    leaf = {"name": "leaf", "path": "/deep/{any}", "service_time_ms": 1}
    deep = make_backend(operations=[leaf], slots=4)
    async with serving(deep) as egress:
        backend = make_backend(operations=[operation], egress=egress)
        async with serving(backend) as address:
            client = BackendClient(address)
            response = await client.work("p", traceparent=TRACEPARENT)
            assert response.status == 200
            await BackendClient(egress).control(drain=True)
            assert (await client.work("q", traceparent=TRACEPARENT)).status == 502
            client.http.close()
    seen = {(run.request_id, run.root_id) for run in deep.runs.runs}
    assert seen == {("p/0", "ab" * 16), ("p/1", "ab" * 16)}
