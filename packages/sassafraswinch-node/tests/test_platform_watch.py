"""Tests of the rests between reads of the platform, on a clock that jumps."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from sassafraswinch.membership import HostRecord, HostState, Membership
from sassafraswinch.messages import Load, NodeId
from sassafraswinch_node.platform import PublishedDocument, PublishedHosts
from sassafraswinch_node.platform_watch import PlatformWatch

PROMISE_S = 9.0
"""Time within which an accepted change is in force everywhere."""

SEEDS = range(20)


def record(name):
    return HostRecord(
        name=name,
        service="vydej",
        availability_zone="brno-a",
        state=HostState.LIVE,
        link="127.0.0.1:1",
        entry="127.0.0.1:2",
        operators="127.0.0.1:3",
    )


class FakePlatform:
    """Publishes one document and, after a while, one host list; notes the reads."""

    def __init__(self, *, hosts, list_after_s):
        self.records = tuple(map(record, hosts))
        self.list_after_s = list_after_s
        self.document_reads_s = []

    async def document(self, *, after, wait_ms):
        self.document_reads_s.append(asyncio.get_running_loop().time())
        if not after:
            return PublishedDocument(version=1, body=b"")
        await asyncio.sleep(wait_ms / 1000)
        return None

    async def hosts(self, *, after, wait_ms):
        if after:
            await asyncio.sleep(wait_ms / 1000)
            return None
        await asyncio.sleep(self.list_after_s)
        return PublishedHosts(version=1, records=self.records)


def make_watch(platform, membership, seed):
    document_exchange = SimpleNamespace(
        keeper=SimpleNamespace(
            parse_body=lambda body: body, stamp=SimpleNamespace(version=0)
        ),
        apply_platform_document=lambda candidate, now_ms: SimpleNamespace(errors=()),
    )
    return PlatformWatch(
        client=platform,
        document_exchange=document_exchange,
        membership=membership,
        now_ms=lambda: asyncio.get_running_loop().time() * 1000,
        rng=random.Random(seed),
    )


def link(membership, host):
    now_ms = asyncio.get_running_loop().time() * 1000
    membership.link_up(host, 1, now_ms)
    membership.record_report(NodeId(host, 1), Load(), now_ms)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", SEEDS)
async def test_node_of_a_small_fleet_watches_as_soon_as_it_knows_its_size(seed):
    """The document is read before the host list tells that there are four hosts.

    A rest drawn for 560 nodes lasts up to seven minutes. Had all four nodes read in
    this order, no one would have seen a change for that long.
    """
    membership = Membership(self_host="vydej-1")
    hosts = ["vydej-1", "vydej-2", "vydej-3", "vydej-4"]
    platform = FakePlatform(hosts=hosts, list_after_s=3)
    watching = asyncio.create_task(make_watch(platform, membership, seed).run())
    await asyncio.sleep(4)
    link(membership, "vydej-2")
    await asyncio.sleep(PROMISE_S)
    watching.cancel()

    first_s, second_s, *_ = platform.document_reads_s
    assert second_s - first_s < PROMISE_S


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(4))
async def test_node_of_a_large_fleet_reads_when_its_last_link_is_lost(seed):
    """A node rests for minutes, since its peers tell it of changes; they are gone."""
    membership = Membership(self_host="vydej-1")
    hosts = [f"vydej-{number}" for number in range(1, 561)]
    membership.add_hosts(map(record, hosts), 0)
    platform = FakePlatform(hosts=hosts, list_after_s=0)
    link(membership, "vydej-2")
    watching = asyncio.create_task(make_watch(platform, membership, seed).run())
    await asyncio.sleep(300)
    lost_s = asyncio.get_running_loop().time()
    membership.link_lost("vydej-2", lost_s * 1000)
    await asyncio.sleep(PROMISE_S + 15)
    watching.cancel()

    assert any(read_s > lost_s for read_s in platform.document_reads_s)
