"""Intervals and timeouts of links, and the heartbeat timer that they share."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

HEARTBEAT_MS = 1_000
"""Interval of heartbeats on each link."""

SILENCE_MS = 3_000
"""Silence after which the dialling node opens a new link beside the old one."""

ACCEPTED_SILENCE_MS = 10_000
"""Silence after which an accepted link is closed. Longer than ``SILENCE_MS``, so that
the dialling node, which alone can open a new link, does so first."""

GREETING_TIMEOUT_MS = 2_000
"""Time allowed for connecting and receiving the peer's hello."""

REDIAL_MIN_MS = 100
"""First delay after a failed dial; doubled each time. Jitter takes off up to half."""

REDIAL_MAX_MS = 3_000
"""Longest delay between two dials of a host."""

PAUSE_THRESHOLD_INTERVALS = 2.5
"""A timer that fires after more than this many intervals indicates a process pause."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkTiming:
    """Intervals and timeouts of links; tests use shorter ones."""

    heartbeat_ms: float = HEARTBEAT_MS
    silence_ms: float = SILENCE_MS
    accepted_silence_ms: float = ACCEPTED_SILENCE_MS
    greeting_timeout_ms: float = GREETING_TIMEOUT_MS
    redial_min_ms: float = REDIAL_MIN_MS
    redial_max_ms: float = REDIAL_MAX_MS


async def heartbeat_intervals(interval_ms: float) -> AsyncIterator[bool]:
    """Yield once per interval whether the process was paused during it.

    A process that resumes after a pause has read nothing for a long time although its
    peers were reachable, so it must not treat their links as silent.
    """
    loop = asyncio.get_running_loop()
    while True:
        started_ms = loop.time() * 1000
        await asyncio.sleep(interval_ms / 1000)
        elapsed_ms = loop.time() * 1000 - started_ms
        yield elapsed_ms > PAUSE_THRESHOLD_INTERVALS * interval_ms
