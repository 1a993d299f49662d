"""Graceful shutdown of a sidecar: serves new requests for a while, then drains."""

import asyncio
from collections.abc import Callable

SERVING_SHARE = 0.55
"""Share of the drain time in which new requests are still served. The platform sends
callers elsewhere after two failed readiness probes, one second apart."""

STOP_SHARE = 0.85
"""Share of the drain time after which the process ends, whatever is in flight."""

QUIET_PERIOD_MS = 300.0
"""Time without requests in flight after which a stopping process ends early."""

DRAIN_CHECK_INTERVAL_S = 0.05
"""Interval of the checks of the requests in flight."""


async def drain_requests(
    *,
    drain_ms: float,
    in_flight: Callable[[], int],
    refuse_new: Callable[[], None],
) -> None:
    """Wait until the requests in flight have ended and callers have moved elsewhere.

    Args:
        drain_ms: time until the process is killed.
        in_flight: returns the number of requests in flight.
        refuse_new: called, possibly repeatedly, once new requests are to be refused.
    """
    loop = asyncio.get_running_loop()
    began_ms = idle_since_ms = loop.time() * 1000
    while True:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        now_ms = loop.time() * 1000
        elapsed_ms = now_ms - began_ms
        is_refusing = elapsed_ms > drain_ms * SERVING_SHARE
        if is_refusing:
            refuse_new()
        if in_flight():
            idle_since_ms = now_ms
        if is_refusing and now_ms - idle_since_ms > QUIET_PERIOD_MS:
            return
        if elapsed_ms > drain_ms * STOP_SHARE:
            return
