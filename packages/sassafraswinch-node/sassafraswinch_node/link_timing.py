"""Time constants of links, and the beat that all links of a node share."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

HEARTBEAT_MS = 1_000
"""Interval of heartbeats on each link."""

SILENCE_MS = 3_000
"""Silence after which the dialling node makes a new link beside the old one."""

ACCEPTED_SILENCE_MS = 10_000
"""Silence after which an accepted link is closed; the dialling node, which can
make a new one, is given the time to do so first."""

GREETING_TIMEOUT_MS = 2_000
"""Longest wait for a connection and the peer's hello on it."""

REDIAL_MIN_MS = 100
"""First wait after a failed dial; doubled each time, and jittered by half."""

REDIAL_MAX_MS = 3_000
"""Longest wait between two dials of a host."""

LATE_BEATS = 2.5
"""A beat that comes later than this many intervals shows a paused process."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkTiming:
    """Time constants of links; tests shorten them."""

    heartbeat_ms: float = HEARTBEAT_MS
    silence_ms: float = SILENCE_MS
    accepted_silence_ms: float = ACCEPTED_SILENCE_MS
    greeting_timeout_ms: float = GREETING_TIMEOUT_MS
    redial_min_ms: float = REDIAL_MIN_MS
    redial_max_ms: float = REDIAL_MAX_MS


async def beats(interval_ms: float) -> AsyncIterator[bool]:
    """Yield once each interval, and whether the process was paused before it.

    A process that was stopped and wakes up has read nothing for long, though its
    peers were well: it must not take their links for silent.
    """
    loop = asyncio.get_running_loop()
    while True:
        started_ms = loop.time() * 1000
        await asyncio.sleep(interval_ms / 1000)
        took_ms = loop.time() * 1000 - started_ms
        yield took_ms > LATE_BEATS * interval_ms
