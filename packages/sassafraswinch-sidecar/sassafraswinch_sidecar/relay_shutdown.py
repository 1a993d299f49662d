"""Which requests an owner still takes, and lets servers start, while it stops."""

import math
from collections.abc import Callable

from sassafraswinch_sidecar.caller_responses import MIN_RETRY_AFTER_MS
from sassafraswinch_sidecar.graceful_shutdown import ShutdownSchedule
from sassafraswinch_sidecar.relay_intake import Relay


class RelayShutdown:
    """Bounds the start of requests by the schedule of a shutdown, once there is one.

    Args:
        likely_run_ms: returns the time within which a request is likely to end once a
            server has started it.
        now_ms: event loop clock.
    """

    def __init__(
        self,
        *,
        likely_run_ms: Callable[[Relay], float],
        now_ms: Callable[[], float],
    ):
        self._likely_run_ms = likely_run_ms
        self._now_ms = now_ms
        self._schedule: ShutdownSchedule | None = None

    def begin(self, schedule: ShutdownSchedule) -> None:
        """Apply a schedule from now on."""
        self._schedule = schedule

    @property
    def refuses_callers(self) -> bool:
        """Whether callers have moved elsewhere, so that only child calls are taken."""
        schedule = self._schedule
        return schedule is not None and self._now_ms() >= schedule.refuse_at_ms

    def refuses(self, relay: Relay) -> bool:
        """Return whether a request would be broken off by the stop; bound its start.

        A request that is refused gets the time at which its caller has moved elsewhere
        as its ``Retry-After``.
        """
        schedule = self._schedule
        if schedule is None:
            return False
        now_ms = self._now_ms()
        relay.start_by_ms = self._start_by_ms(relay, schedule)
        if now_ms <= relay.start_by_ms:
            return False
        until_moved_ms = schedule.refuse_at_ms - now_ms
        if until_moved_ms > 0:
            relay.retry_after_ms = max(until_moved_ms, MIN_RETRY_AFTER_MS)
        return True

    def max_wait_ms(self, relay: Relay) -> int | None:
        """Return how long a request may still wait for a server; None for no bound."""
        if self._schedule is None:
            return None
        start_by_ms = self._start_by_ms(relay, self._schedule)
        if start_by_ms == math.inf:
            return None
        return int(max(start_by_ms - self._now_ms(), 0.0))

    def _start_by_ms(self, relay: Relay, schedule: ShutdownSchedule) -> float:
        run_ms = self._likely_run_ms(relay)
        if not run_ms and self.refuses_callers:
            # Of an unknown kind only its time limit shows when it will have ended.
            run_ms = math.inf
        return schedule.start_by_ms(run_ms=run_ms, deadline_ms=relay.deadline_ms)
