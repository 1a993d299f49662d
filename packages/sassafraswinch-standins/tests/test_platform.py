"""Tests of the platform stand-in."""

import asyncio

import orjson
import pytest

from sassafraswinch_standins.http_client import HttpClient
from sassafraswinch_standins.platform import Platform, make_app
from sassafraswinch_standins.serving import serving


class Reader:
    """Asks a platform under test."""

    def __init__(self, address):
        self.address = address
        self.client = HttpClient()

    async def get(self, target, timeout_ms=5000):
        answer = await self.client.request(
            address=self.address, method="GET", target=target, timeout_ms=timeout_ms
        )
        version = answer.headers.get("x-version")
        return answer.status, version and int(version)

    async def control(self, **order):
        await self.client.request(
            address=self.address,
            method="POST",
            target="/control",
            body=orjson.dumps(order),
        )


@pytest.fixture
async def reader():
    platform = Platform()
    platform.publish_document({"version": 4})
    platform.publish_hosts([])
    async with serving(make_app(platform)) as address:
        reader = Reader(address)
        yield reader
        reader.client.close()


async def test_watch_returns_news_at_once_and_counts_once(reader):
    assert await reader.get("/v1/document") == (200, 4)
    watch = asyncio.create_task(reader.get("/v1/document?after=4&wait_ms=5000"))
    await asyncio.sleep(0.05)
    await reader.control(document={"version": 5})
    assert await watch == (200, 5)
    assert await reader.get("/v1/document?after=5&wait_ms=10") == (304, None)
    stats = await reader.client.request(
        address=reader.address, method="GET", target="/stats"
    )
    assert orjson.loads(stats.body)["reads"] == 3


async def test_outage_and_stale_copies(reader):
    """The platform is down, then comes back with copies that are behind.

    A reader sees 503, then the old version although a newer one is published, and
    the newer one only when the copies catch up.
    """
    await reader.control(mode="down")
    assert await reader.get("/v1/document") == (503, None)
    await reader.control(document={"version": 9})
    await reader.control(mode="stale", document_version=4)
    assert await reader.get("/v1/document") == (200, 4)
    await reader.control(mode="up")
    assert await reader.get("/v1/document?after=4") == (200, 9)


async def test_hanging_platform_answers_when_it_comes_back(reader):
    await reader.control(mode="hang")
    with pytest.raises(TimeoutError):
        await reader.get("/v1/hosts", timeout_ms=30)
    late = asyncio.create_task(reader.get("/v1/hosts"))
    await asyncio.sleep(0.03)
    await reader.control(mode="up")
    assert await late == (200, 1)


async def test_host_list_lags(reader):
    await reader.control(hosts=[{"name": "a"}], after_ms=50)
    assert await reader.get("/v1/hosts") == (200, 1)
    assert await reader.get("/v1/hosts?after=1&wait_ms=5000") == (200, 2)


async def test_invalid_document_goes_out_byte_for_byte(reader):
    await reader.control(document="classes: [", version=6)
    assert await reader.get("/v1/document") == (200, 6)
