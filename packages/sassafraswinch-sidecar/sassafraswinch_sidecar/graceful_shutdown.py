"""How long a stopping sidecar goes on, and when it takes no new requests."""

import asyncio
from collections.abc import Callable

SERVE_ON_SHARE = 0.55
"""Part of the time to stop in which new requests are still served. The platform sends
callers elsewhere after two missed questions, a second apart."""

STOP_SHARE = 0.85
"""Part of that time after which the process ends, whatever is in flight."""

QUIET_MS = 300.0
"""Time without any request after which a stopping process ends early."""

LOOK_S = 0.05
"""Pause between looks at what is in flight."""


async def finish_requests(
    *,
    drain_ms: float,
    in_flight: Callable[[], int],
    refuse_new: Callable[[], None],
) -> None:
    """Wait until what is under way has ended, and callers have gone elsewhere.

    Args:
        drain_ms: time until the process is killed.
        in_flight: returns how many requests are under way.
        refuse_new: called when new requests are to be refused.
    """
    loop = asyncio.get_running_loop()
    began_ms = quiet_since_ms = loop.time() * 1000
    while True:
        await asyncio.sleep(LOOK_S)
        now_ms = loop.time() * 1000
        spent_ms = now_ms - began_ms
        served_on = spent_ms > drain_ms * SERVE_ON_SHARE
        if served_on:
            refuse_new()
        if in_flight():
            quiet_since_ms = now_ms
        if served_on and now_ms - quiet_since_ms > QUIET_MS:
            return
        if spent_ms > drain_ms * STOP_SHARE:
            return
