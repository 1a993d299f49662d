"""Cost of links: processor time, memory and bytes of heartbeats in both directions."""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator

from sassafraswinch.messages import (
    PROTOCOL_VERSION,
    Answer,
    Call,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Load,
    Message,
    NodeId,
    Rank,
)
from sassafraswinch.verdict import Verdict
from sassafraswinch_node.link_timing import LinkTiming
from sassafraswinch_node.links import LinkPool, LinkServer
from sassafraswinch_node.wire import decode_frame, encode
from sassafraswinch_standins.slopes_timing import (
    Figure,
    best_cpu_us,
    fit_line,
)

LINK_COUNTS = (7, 14, 28, 56)
TRIAL_HEARTBEAT_MS = 20
"""Heartbeat interval of trials: a fiftieth of a node's, which keeps trials short."""
TRIAL_S = 0.5
"""Length of one trial of heartbeats."""
TRIALS = 2
NODE_HEARTBEAT_MS = 1_000
NODE_RATE_TRIAL_S = 4.0
"""Length of the trial at the heartbeat interval of a node."""
PREFIX_BYTES = 4

HEARTBEAT = Heartbeat(
    sequence=86_400,
    load=Load(in_flight=60, queued=9, limit=110, queue_delay_ms=4.5),
    document_version=1_700,
    document_digest="0123456789abcdef",
)
CALL = Call(
    number=375_000,
    root_id="0123456789abcdef0123456789abcdef",
    service="archiv",
    operation="lookup-order",
    rank=Rank(1, 64),
    repeatable=True,
    remaining_ms=1_500,
    allowance=3,
    depth=1,
    progress=2,
    method="GET",
    target="/orders/7",
    headers=(("accept", "application/json"),),
    body=b"",
)
ANSWER = Answer(
    number=375_000,
    verdict=Verdict.ANSWERED,
    status=200,
    headers=(("content-type", "application/json"),),
    body=b"x" * 500,
    load=HEARTBEAT.load,
)


class _LinkCounter:
    """Link event handler that only counts established links."""

    def __init__(self):
        self.up = 0

    def link_up(self, host: str, hello: Hello, session: int, dialled: bool) -> None:
        """Count the link."""
        self.up += 1

    def link_message(
        self, host: str, session: int, message: Message, dialled: bool
    ) -> None:
        """Do nothing."""

    def link_lost(self, host: str, session: int, dialled: bool) -> None:
        """Do nothing."""


def frame_bytes(message: Message) -> int:
    """Return the length of a message on a link, including the length prefix."""
    return len(encode(message, sent_ms=86_400_000)) + PREFIX_BYTES


def link_bytes_per_s() -> int:
    """Return the bytes per second of heartbeats on an idle link, without TCP overhead.

    Each second both nodes send a heartbeat; only the accepting node replies to it.
    """
    reply = HeartbeatReply(sequence=HEARTBEAT.sequence)
    return 2 * frame_bytes(HEARTBEAT) + frame_bytes(reply)


async def _heartbeat_cost(
    links: int, *, heartbeat_ms: float = TRIAL_HEARTBEAT_MS, trial_s: float = TRIAL_S
) -> tuple[float, float]:
    """Return processor time (us) of a heartbeat on all links, and allocated bytes."""
    events = _LinkCounter()
    timing = LinkTiming(heartbeat_ms=heartbeat_ms, silence_ms=60_000)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    servers, addresses = [], {}
    for number in range(links):
        node = NodeId(f"h{number}", number + 1)
        server = LinkServer(
            build_hello=_hello_of(node),
            events=events,
            build_heartbeat=lambda sequence: HEARTBEAT,
            timing=timing,
        )
        addresses[node.host] = await server.start("127.0.0.1", 0)
        servers.append(server)
    pool = LinkPool(
        build_hello=_hello_of(NodeId("self", 9)),
        find_address=addresses.get,
        events=events,
        build_heartbeat=lambda sequence: HEARTBEAT,
        rng=random.Random(1),
        timing=timing,
    )
    pool.set_hosts(addresses)
    while events.up < 2 * links:
        await asyncio.sleep(TRIAL_HEARTBEAT_MS / 1000)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    costs_us = []
    for _ in range(TRIALS):
        start_s, start_cpu_ns = time.monotonic(), time.process_time_ns()
        await asyncio.sleep(trial_s)
        cpu_us = (time.process_time_ns() - start_cpu_ns) / 1_000
        heartbeats = (time.monotonic() - start_s) * 1000 / heartbeat_ms
        costs_us.append(cpu_us / heartbeats)
    await pool.close()
    for server in servers:
        await server.close()
    return min(costs_us), held


def _hello_of(node: NodeId) -> Callable[[int], Hello]:
    return lambda session: Hello(
        protocol_version=PROTOCOL_VERSION,
        node=node,
        availability_zone="zone-1",
        service="archiv",
        session=session,
        document_version=1_700,
        document_digest="0123456789abcdef",
    )


def measure() -> Iterator[Figure]:
    """Measure heartbeats by the number of links, and encoding of messages."""
    costs_us, held = {}, {}
    for links in LINK_COUNTS:
        costs_us[links], held[links] = asyncio.run(_heartbeat_cost(links))
        yield Figure(name=f"beat of {links} links", value=costs_us[links], unit="us")
    per_link_us = fit_line(costs_us)[1]
    yield Figure(name="beat per link, both ends", value=per_link_us, unit="us")
    largest = max(LINK_COUNTS)
    interval_us, _ = asyncio.run(
        _heartbeat_cost(
            largest, heartbeat_ms=NODE_HEARTBEAT_MS, trial_s=NODE_RATE_TRIAL_S
        )
    )
    yield Figure(
        name=f"beat per link at the true pace, {largest} links, both ends",
        value=interval_us / largest,
        unit="us",
    )
    per_link_bytes = fit_line(held)[1]
    yield Figure(name="memory per link, both ends", value=per_link_bytes, unit="B")
    yield Figure(name="heartbeat frame", value=frame_bytes(HEARTBEAT), unit="B")
    yield Figure(
        name="heartbeats per link, both ways", value=link_bytes_per_s(), unit="B/s"
    )
    for name, message in (("call", CALL), ("answer of 500 B", ANSWER)):
        payload = encode(message, sent_ms=86_400_000)
        cost_us = best_cpu_us(
            lambda message=message, payload=payload: (
                encode(message, sent_ms=86_400_000),
                decode_frame(payload),
            ),
            count=1_000,
        )
        yield Figure(name=f"code and decode a {name}", value=cost_us, unit="us")
        yield Figure(name=f"{name} frame", value=frame_bytes(message), unit="B")
