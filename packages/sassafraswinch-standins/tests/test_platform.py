"""Tests of the platform stand-in."""

import asyncio

import orjson
import pytest

from sassafraswinch_standins.http_client import HttpClient
from sassafraswinch_standins.platform import Platform, make_app
from sassafraswinch_standins.serving import serving


class PlatformClient:
    """HTTP client of a platform under test."""

    def __init__(self, address):
        self.address = address
        self.http = HttpClient()

    async def get(self, target, timeout_ms=5000):
        response = await self.http.request(
            address=self.address, method="GET", target=target, timeout_ms=timeout_ms
        )
        version = response.headers.get("x-version")
        return response.status, version and int(version)

    async def control(self, **fields):
        await self.http.request(
            address=self.address,
            method="POST",
            target="/control",
            body=orjson.dumps(fields),
        )


@pytest.fixture
async def client():
    platform = Platform()
    platform.publish_document({"version": 4})
    platform.publish_hosts([])
    async with serving(make_app(platform)) as address:
        client = PlatformClient(address)
        yield client
        client.http.close()


async def test_watch_returns_new_version_at_once_and_counts_once(client):
    assert await client.get("/v1/document") == (200, 4)
    watch = asyncio.create_task(client.get("/v1/document?after=4&wait_ms=5000"))
    await asyncio.sleep(0.05)
    await client.control(document={"version": 5})
    assert await watch == (200, 5)
    assert await client.get("/v1/document?after=5&wait_ms=10") == (304, None)
    stats = await client.http.request(
        address=client.address, method="GET", target="/stats"
    )
    assert orjson.loads(stats.body)["reads"] == 3


async def test_outage_and_stale_versions(client):
    """A platform that recovers from an outage first serves stale versions.

    Reads get 503, then the old version although a newer one is published, and the
    newer one only once the mode is up again.
    """
    await client.control(mode="down")
    assert await client.get("/v1/document") == (503, None)
    await client.control(document={"version": 9})
    await client.control(mode="stale", document_version=4)
    assert await client.get("/v1/document") == (200, 4)
    await client.control(mode="up")
    assert await client.get("/v1/document?after=4") == (200, 9)


async def test_hanging_read_completes_when_the_platform_recovers(client):
    await client.control(mode="hang")
    with pytest.raises(TimeoutError):
        await client.get("/v1/hosts", timeout_ms=30)
    pending = asyncio.create_task(client.get("/v1/hosts"))
    await asyncio.sleep(0.03)
    await client.control(mode="up")
    assert await pending == (200, 1)


async def test_host_list_is_published_after_the_delay(client):
    await client.control(hosts=[{"name": "a"}], after_ms=50)
    assert await client.get("/v1/hosts") == (200, 1)
    assert await client.get("/v1/hosts?after=1&wait_ms=5000") == (200, 2)


async def test_invalid_document_is_served_unchanged(client):
    await client.control(document="classes: [", version=6)
    assert await client.get("/v1/document") == (200, 6)
