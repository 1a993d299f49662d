"""Graceful shutdown of a sidecar: serves new requests for a while, then drains."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

CALLERS_MOVE_MS = 2_900.0
"""Time in which the platform sends callers elsewhere: two failed readiness probes, one
second apart, and the requests that are under way meanwhile."""

MAX_SERVING_SHARE = 0.55
"""Share of the drain time in which new requests are served at most."""

STOP_SHARE = 0.85
"""Share of the drain time after which no server is waited for."""

RESPONSE_MARGIN_MS = 50.0
"""Time that a request which has just ended takes to be answered: the interval of the
checks of a queue, and the way back over a link."""

WRITE_SHARE = 0.95
"""Share of the drain time after which responses that callers read slowly are cut off;
the rest is for the exit of the process."""

QUIET_PERIOD_MS = 300.0
"""Time without requests in flight after which a stopping process ends early."""

DRAIN_CHECK_INTERVAL_S = 0.05
"""Interval of the checks of the requests in flight."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShutdownSchedule:
    """When a stopping process ends what, in event loop time.

    Attributes:
        refuse_at_ms: from then on new requests of callers are refused.
        stop_at_ms: then the requests in flight get their final responses.
        write_until_ms: then connections with unread responses are aborted.
    """

    refuse_at_ms: float
    stop_at_ms: float
    write_until_ms: float

    def start_by_ms(self, *, run_ms: float, deadline_ms: float) -> float:
        """Return until when a request may start at a server; infinite for no bound.

        Failure: a request waits for a slot, starts late and is broken off by the stop
        while its server is at work, though its caller could have gone elsewhere.

        Args:
            run_ms: time within which it is likely to end once it has started.
            deadline_ms: event loop time at which it times out by itself.
        """
        if deadline_ms <= self.stop_at_ms:
            return math.inf
        return self.stop_at_ms - run_ms - RESPONSE_MARGIN_MS


def schedule_shutdown(began_ms: float, drain_ms: float) -> ShutdownSchedule:
    """Return the schedule of a shutdown.

    Failure: a request that is taken late, though its caller could have gone elsewhere,
    runs longer than the process and is broken off while its server is at work.

    Args:
        began_ms: event loop time of the signal.
        drain_ms: time from the signal until the process is killed.
    """
    serving_ms = min(CALLERS_MOVE_MS, drain_ms * MAX_SERVING_SHARE)
    return ShutdownSchedule(
        refuse_at_ms=began_ms + serving_ms,
        stop_at_ms=began_ms + drain_ms * STOP_SHARE,
        write_until_ms=began_ms + drain_ms * WRITE_SHARE,
    )


async def drain_requests(
    *, schedule: ShutdownSchedule, in_flight: Callable[[], int]
) -> None:
    """Wait until the requests in flight have ended and callers have moved elsewhere.

    Args:
        schedule: when new requests are refused, and when to end at the latest.
        in_flight: returns the number of requests in flight.
    """
    loop = asyncio.get_running_loop()
    now_ms = idle_since_ms = loop.time() * 1000
    while now_ms <= schedule.stop_at_ms:
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        now_ms = loop.time() * 1000
        if in_flight() or now_ms < schedule.refuse_at_ms:
            idle_since_ms = now_ms
        elif now_ms - idle_since_ms > QUIET_PERIOD_MS:
            return
