"""Links between two nodes on loopback: greeting, loss, silence and bounds."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

import pytest

from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Acknowledge,
    Call,
    Cancel,
    DocumentReply,
    Heartbeat,
    Hello,
    Load,
    NodeId,
    Rank,
)
from sassafraswinch_node import link as link_module, links
from sassafraswinch_node.frames import FrameTooLargeError, frame_prefix
from sassafraswinch_node.wire import MAX_FRAME_BYTES, encode
from sassafraswinch_standins.relay import Direction, Fault, Route, RouteSettings
from sassafraswinch_standins.serving import parse_address

TIMING = links.LinkTiming(
    heartbeat_ms=20,
    silence_ms=120,
    accepted_silence_ms=400,
    greeting_timeout_ms=200,
    redial_min_ms=10,
    redial_max_ms=40,
)
TIMEOUT_S = 5


def make_hello(node: NodeId, version: int = PROTOCOL_VERSION):
    return lambda session: Hello(
        protocol_version=version,
        node=node,
        availability_zone="brno-a",
        service="schvaleni",
        session=session,
        document_version=7,
        document_digest="0123456789abcdef",
    )


def make_heartbeat(sequence: int) -> Heartbeat:
    return Heartbeat(
        sequence=sequence, load=Load(), document_version=7, document_digest="00"
    )


@dataclass
class Events:
    """Keeps what links report, without heartbeats, and lets a test wait for it."""

    log: list = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def link_up(self, host, hello, session, dialled):
        self._add(("up", host, session))

    def link_message(self, host, session, message, dialled):
        if not isinstance(message, Heartbeat):
            self._add(("message", session, message))

    def link_lost(self, host, session, dialled):
        self._add(("lost", host, session))

    def _add(self, entry):
        self.log.append(entry)
        self.changed.set()

    async def until(self, *entry, count=1):
        async with asyncio.timeout(TIMEOUT_S):
            while sum(e[: len(entry)] == entry for e in self.log) < count:
                self.changed.clear()
                await self.changed.wait()


@pytest.fixture
async def route(pair):
    """A relay on the way from "a" to "b"."""
    settings = RouteSettings(name="link", target="{}:{}".format(*pair.address))
    route = Route(settings=settings)
    pair.addresses["b"] = parse_address(await route.start())
    yield route
    route.stop()


@dataclass
class Pair:
    """A dialling node "a" and an accepting node "b"."""

    pool: links.LinkPool
    server: links.LinkServer
    dialling: Events
    accepting: Events
    address: tuple
    addresses: dict
    refused: list

    a = NodeId("a", 1)


@pytest.fixture
async def pair():
    dialling, accepting, refused, addresses = Events(), Events(), [], {}
    server = links.LinkServer(
        hello=make_hello(NodeId("b", 2)),
        events=accepting,
        heartbeat=make_heartbeat,
        refused=refused.append,
        timing=TIMING,
    )
    pool = links.LinkPool(
        hello=make_hello(Pair.a),
        addresses=addresses.get,
        events=dialling,
        heartbeat=make_heartbeat,
        refused=refused.append,
        timing=TIMING,
    )
    address = await server.start("127.0.0.1", 0)
    addresses["b"] = address
    yield Pair(pool, server, dialling, accepting, address, addresses, refused)
    await pool.close()
    await server.close()


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def linked(pair):
    pair.pool.want(["b"])
    await pair.dialling.until("up", "b")
    await pair.accepting.until("up", "a")


def make_call(number=1, remaining_ms=4000, body=b"") -> Call:
    return Call(
        number=number,
        root_id="0" * 32,
        service="schvaleni",
        operation="approve-order",
        rank=Rank(0, 0),
        repeatable=False,
        remaining_ms=remaining_ms,
        allowance=0,
        depth=0,
        progress=0,
        method="POST",
        target="/",
        headers=(),
        body=body,
    )


async def test_messages_arrive_in_order_both_ways(pair):
    await linked(pair)
    sent = [Cancel(number=n) for n in range(500)]
    assert {pair.pool.send("b", message) for message in sent} == {1}
    assert all(pair.server.send(Pair.a, 1, message) for message in sent)
    await pair.accepting.until("message", count=500)
    await pair.dialling.until("message", count=500)
    expected = [("message", 1, message) for message in sent]
    assert pair.accepting.log[1:] == expected
    assert pair.dialling.log[1:] == expected


async def test_message_of_the_longest_frame_arrives_and_a_longer_one_is_refused(pair):
    await linked(pair)
    half = DocumentReply(version=1, body=bytes(MAX_FRAME_BYTES // 2))
    overhead = len(link_module.encode_now(half)) - len(half.body)
    longest = DocumentReply(version=1, body=b"x" * (MAX_FRAME_BYTES - overhead))
    too_long = DocumentReply(version=1, body=b"x" * (MAX_FRAME_BYTES - overhead + 1))
    with pytest.raises(FrameTooLargeError):
        pair.pool.send("b", too_long)
    assert pair.pool.send("b", longest) == 1
    await pair.accepting.until("message", 1, longest)


async def test_nothing_is_sent_to_a_host_without_a_link(pair):
    assert pair.pool.send("b", Cancel(number=1)) is None
    assert not pair.server.send(Pair.a, 1, Cancel(number=1))
    pair.pool.want(["nowhere"])
    await asyncio.sleep(0.02)
    assert pair.pool.send("nowhere", Cancel(number=1)) is None
    assert pair.pool.errors() == {"nowhere": "no address of the host is known"}


async def test_closed_link_is_lost_on_both_sides_and_dialled_anew(pair):
    await linked(pair)
    pair.pool._peers["b"].link.abort()
    await pair.dialling.until("up", "b", 2)
    await pair.accepting.until("up", "a", 2)
    assert pair.dialling.log[1:] == [("lost", "b", 1), ("up", "b", 2)]
    assert ("lost", "a", 1) in pair.accepting.log


async def test_unwanted_host_loses_its_link_after_what_is_queued(pair):
    await linked(pair)
    pair.pool.send("b", Cancel(number=1))
    pair.pool.want([])
    await pair.accepting.until("lost", "a", 1)
    assert ("message", 1, Cancel(number=1)) in pair.accepting.log
    assert pair.dialling.log[-1] == ("lost", "b", 1)


async def test_silent_link_is_replaced_before_it_is_lost(pair, route):
    """Something between two hosts loses track of an open connection.

    Calls on it hang, while new connections work. The node must dial beside it and
    give the old link up only then; a call written on the silent link stays written
    on session 1, so its owner can have it fenced over session 2.
    """
    await linked(pair)
    route.set_fault(Fault.SILENT, only_open=True)
    assert pair.pool.send("b", make_call()) == 1
    await pair.dialling.until("lost", "b", 1)
    assert pair.dialling.log[1:3] == [("up", "b", 2), ("lost", "b", 1)]
    assert pair.pool.send("b", make_call()) == 2
    await pair.accepting.until("message", 2)


async def test_silent_link_is_lost_when_no_new_one_can_be_had(pair, route):
    """A host dies without closing its connections: no new link can be made.

    Calls on the old link can't be answered any more, so it is lost after the
    first failed dial, and not kept in doubt for ever.
    """
    await linked(pair)
    route.set_fault(Fault.SILENT)
    await pair.dialling.until("lost", "b", 1)
    assert pair.pool.send("b", make_call()) is None
    assert "no hello within" in pair.pool.errors()["b"]


async def test_one_way_silence_is_found_by_unanswered_heartbeats(pair, route):
    """A peer's frames still arrive, but ours never reach it.

    Without answers to heartbeats the link would look alive for ever, since the
    peer's own heartbeats keep coming.
    """
    await linked(pair)
    route.set_fault(Fault.SILENT, direction=Direction.TO_TARGET, only_open=True)
    await pair.dialling.until("lost", "b", 1)
    assert pair.dialling.log[1] == ("up", "b", 2)
    pair.server.send(Pair.a, 1, Cancel(number=1))
    pair.server.send(Pair.a, 2, Cancel(number=2))
    await pair.dialling.until("message", 2)
    await asyncio.sleep(0.05)
    assert pair.dialling.log[3:] == [("message", 2, Cancel(number=2))]


async def test_links_survive_a_pause_of_the_process_itself(pair):
    """A process is stopped for a while and wakes up.

    It has read nothing for longer than the bound, though all its peers are well.
    It must not take all of them for silent and dial them at once.
    """
    await linked(pair)
    time.sleep(2 * TIMING.silence_ms / 1000)
    await asyncio.sleep(2 * TIMING.heartbeat_ms / 1000)
    assert pair.dialling.log == [("up", "b", 1)]


async def test_garbage_closes_that_connection_only(pair):
    await linked(pair)
    for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x03abc", bytes(8)):
        reader, writer = await asyncio.open_connection(*pair.address)
        writer.write(garbage)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
        writer.close()
    assert pair.pool.send("b", Cancel(number=1)) == 1
    await pair.accepting.until("message", 1, Cancel(number=1))
    assert len(pair.refused) == 3


async def test_connection_without_a_hello_is_closed(pair):
    reader, writer = await asyncio.open_connection(*pair.address)
    with contextlib.suppress(ConnectionResetError):
        assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    writer.close()
    assert "no hello within" in str(pair.refused[0])


async def test_other_protocol_version_is_refused_on_both_sides(pair):
    pair.pool._hello = make_hello(Pair.a, version=99)
    pair.server._hello = make_hello(NodeId("b", 2), version=98)
    pair.pool.want(["b"])
    await until(lambda: len(pair.refused) >= 2)
    reasons = sorted(error.reason for error in pair.refused[:2])
    assert reasons == [
        f"a speaks protocol version 99, this node {PROTOCOL_VERSION}",
        f"it speaks protocol version 98, this node {PROTOCOL_VERSION}",
    ]
    assert pair.dialling.log == pair.accepting.log == []


async def test_address_that_now_belongs_to_another_host_is_refused(pair):
    """A host was replaced, and the platform's list lags behind.

    Its address answers as another host: a call would run on the wrong service.
    """
    pair.addresses["gone"] = pair.address
    pair.pool.want(["gone"])
    await until(pair.pool.errors)
    assert pair.pool.errors() == {"gone": "its address now belongs to host b"}
    assert pair.dialling.log == []


async def test_late_hello_of_a_given_up_dial_is_refused(pair):
    """A dial timed out and a later one came up; then the first one arrives."""
    await linked(pair)
    hello = make_hello(Pair.a)
    reader, writer = await asyncio.open_connection(*pair.address)
    payload = encode(hello(1))
    writer.write(frame_prefix(payload) + payload)
    await asyncio.wait_for(reader.read(), TIMEOUT_S)
    writer.close()
    assert "given up" in str(pair.refused[0])
    assert pair.accepting.log == [("up", "a", 1)]


async def test_restarted_host_loses_the_sessions_of_its_earlier_run(pair):
    """A host is killed and starts anew; its old connection stays silently open.

    Its new run counts sessions from 1 again: the old session 1 must be lost
    before the new one is up, or their events would be mixed.
    """
    await linked(pair)
    hello = make_hello(NodeId("a", 99))
    _, writer = await asyncio.open_connection(*pair.address)
    payload = encode(hello(1))
    writer.write(frame_prefix(payload) + payload)
    await pair.accepting.until("up", "a", 1, count=2)
    assert pair.accepting.log[:3] == [("up", "a", 1), ("lost", "a", 1), ("up", "a", 1)]
    assert not pair.server.send(Pair.a, 1, Cancel(number=1))
    assert pair.server.send(NodeId("a", 99), 1, Cancel(number=1))
    writer.close()


async def test_remaining_time_counts_while_a_frame_waits(pair, route):
    """The executing node is paused with a call in its socket buffer.

    After it wakes the call must not look fresh: the caller's deadline went on.
    """
    await linked(pair)
    pair.pool.send("b", make_call(1))
    await pair.accepting.until("message", 1)
    route.delay_ms = 60
    pair.pool.send("b", make_call(2))
    await pair.accepting.until("message", 1, count=2)
    first, second = [entry[2].remaining_ms for entry in pair.accepting.log[1:3]]
    assert second <= first - 50


async def test_unread_messages_are_bounded(pair, monkeypatch):
    """A peer stops reading; what is queued for it must not grow without bound."""
    monkeypatch.setattr(link_module, "MAX_UNSENT_BYTES", 2**20)
    await linked(pair)
    message = make_call(body=bytes(2**19))
    assert [pair.pool.send("b", message) for _ in range(3)] == [1, None, None]
    answers = [pair.server.send(Pair.a, 1, message) for _ in range(3)]
    assert answers == [True, False, False]
    await pair.accepting.until("lost", "a", 1)


async def test_server_writes_what_is_queued_before_it_closes(pair):
    await linked(pair)
    message = Acknowledge(numbers=(1, 2, 3))
    assert pair.server.send(Pair.a, 1, message)
    await pair.server.close()
    await pair.dialling.until("lost", "b", 1)
    assert ("message", 1, message) in pair.dialling.log
