"""Tests of PlatformClient: typed results, size limits, and one read for each call."""

import asyncio
import json

import pytest

from sassafraswinch.membership import HostState
from sassafraswinch_node import platform

HOST = {
    "name": "schvaleni-1",
    "service": "schvaleni",
    "availability_zone": "brno-a",
    "state": "live",
    "link": "10.0.0.1:7001",
    "entry": "10.0.0.1:7002",
    "operators": "10.0.0.1:7003",
}


def reply(body=b"", version="12", status="200 OK"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status}\r\nX-Version: {version}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@pytest.fixture
async def client(server):
    client = new_client(server)
    yield client
    await client.close()


def new_client(server, **options):
    url = "http://{}:{}/base/".format(*server.address)
    return platform.PlatformClient(urls=[url], **options)


def targets(server):
    return [request.split()[1].decode() for request in server.requests]


async def test_reads_and_watches(server, client):
    server.replies = [
        reply(b"version: 12"),
        reply(status="304 Not Modified"),
        reply([HOST]),
        reply(b"version: 12"),
    ]
    document = await client.document()
    assert document == platform.PublishedDocument(version=12, body=b"version: 12")
    assert await client.document(after=12, wait_ms=5) is None
    hosts = await client.hosts(after=3, wait_ms=5)
    assert (hosts.version, hosts.records[0].state) == (12, HostState.LIVE)
    assert hosts.records[0].link == HOST["link"]
    assert await client.document(after=12) is None
    assert targets(server) == [
        "/base/v1/document",
        "/base/v1/document?after=12&wait_ms=5",
        "/base/v1/hosts?after=3&wait_ms=5",
        "/base/v1/document",
    ]


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (reply(status="500 Oops"), "status 500"),
        (reply(version="-1"), "x-version"),
        (reply(version=str(2**53)), "x-version"),
        (reply(b"nonsense"), "Expecting value"),
        (reply(b"{}"), "expected a list"),
        (reply([HOST | {"link": "10.0.0.1"}]), "0.link: .*expected ip:port"),
        (reply([HOST | {"state": "gone"}]), "0.state"),
        (reply([HOST, HOST]), "named twice"),
        (reply([{}] * 2), "and 9 more"),
    ],
)
async def test_invalid_response_is_refused(server, client, answer, reason):
    server.replies = [answer]
    with pytest.raises(platform.PlatformAnswerError, match=reason):
        await client.hosts()


DEEP = b"[" * 5_000 + b"]" * 5_000
GOOD = json.dumps(HOST).encode()


@pytest.mark.parametrize(
    "odd",
    [
        json.dumps(HOST | {"state": "gone"}).encode(),
        json.dumps(HOST | {"link": "10.0.0.1:99999"}).encode(),
        json.dumps(HOST | {"name": "a\r\nb"}).encode(),
        json.dumps(HOST | {"name": "\ud800"}).encode(),
        GOOD[:-1] + b', "odd": ' + DEEP + b"}",
        GOOD[:-1] + b', "odd": ' + b"9" * 5_000 + b"}",
        DEEP,
        b"null",
    ],
    ids=["state", "port", "name", "surrogate", "nested", "digits", "list", "null"],
)
async def test_odd_entry_of_the_host_list_is_skipped(server, client, odd):
    """Guards against one entry that keeps all nodes from following the list."""
    server.replies = [reply(b"[" + odd + b"," + GOOD + b"]")]
    hosts = await client.hosts()
    assert hosts.version == 12
    assert [record.name for record in hosts.records] == [HOST["name"]]
    assert all(fault.startswith("0") for fault in hosts.faults)
    assert hosts.faults


async def test_document_of_one_megabyte_is_read_and_a_longer_one_refused(
    server, client
):
    longest = bytes(platform.MAX_PUBLISHED_BYTES)
    server.replies = [reply(longest), reply(longest + b"x")]
    assert (await client.document()).body == longest
    with pytest.raises(platform.PlatformUnreachableError, match="too-large"):
        await client.document()


async def test_unresponsive_platform_gets_one_read_with_a_timeout(server):
    """The platform accepts connections but sends no response.

    A client that retried would multiply the reads of a fleet while the platform is
    overloaded or failing.
    """
    server.replies = [b""]
    client = new_client(server, read_timeout_ms=200)
    with pytest.raises(platform.PlatformUnreachableError, match="200"):
        await client.hosts()
    assert len(server.requests) == 1
    await client.close()


async def test_dropped_watch_is_not_retried(server, client):
    server.replies = [reply(b"version: 12"), None, reply(b"version: 13")]
    await client.document()
    with pytest.raises(platform.PlatformUnreachableError):
        await client.document(after=12, wait_ms=5)
    assert len(server.requests) == 2


async def test_failed_read_moves_all_reads_to_the_next_address(server):
    good = "http://{}:{}".format(*server.address)
    closed = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = closed.sockets[0].getsockname()[1]
    closed.close()
    await closed.wait_closed()
    server.replies = [reply(b"version: 12"), reply([HOST])]
    client = platform.PlatformClient(urls=[f"http://127.0.0.1:{port}", good])
    failed = await asyncio.gather(
        client.document(), client.hosts(), return_exceptions=True
    )
    assert {type(error) for error in failed} == {platform.PlatformUnreachableError}
    assert (await client.document()).version == 12
    assert (await client.hosts()).version == 12
    await client.close()


@pytest.mark.parametrize("url", ["https://10.0.0.1", "http://platform", "10.0.0.1:80"])
def test_url_without_an_ip_address_is_refused(url):
    with pytest.raises(ValueError):
        platform.PlatformClient(urls=[url])
