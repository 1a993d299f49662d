"""Reader that follows the platform's data by full reads and watches."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.platform_ports import (
    HistoryGoneError,
    PlatformListener,
    PlatformStore,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN
from sassafraswinch_sidecar.zone_role import ZoneRole

PLATFORM_SOURCE = "platform"
"""Source name of changes that come from the platform itself, also used in logs."""

WATCH_TIMEOUT_MS = 500
"""Longest wait of one watch. It bounds the time for which a silent connection, or a
store that was restored from an older copy, goes unnoticed; each call is billed."""

WATCH_RESPONSE_MS = 80.0
"""Time after the wait of a watch at which it counts as lost, and this sidecar reads
instead. The store responds within milliseconds, and may answer reads while its watches
hear nothing."""

WATCH_OVERDUE_MS = 120.0
"""Time after the wait of a watch at which this sidecar no longer counts as following,
unless the read has been answered."""

MAX_WATCH_RESPONSE_MS = 500.0
"""Longest time for the response of a watch after its wait, for a store that is slow."""

LOST_PER_RESPONSE = 2.0
"""Multiple of the last response time at which a watch counts as lost, if that is later:
a store that is slow for all isn't worth a read with each watch."""

READ_TIMEOUT_MS = 800.0
"""Time limit of a read by a sidecar that has data already. Reads come in turn while the
store is away, and the one that is lost in its last moment must not delay the next."""

FIRST_WATCH_TIMEOUT_MS = 20
"""Wait of the first watch after a failure, or after peers have followed the platform:
it shows at once that the platform can be read. A long watch would be answered at the
next change, perhaps seconds later. Until then the platform would count as unreachable,
and peers would become active as well."""

BURST_PAUSE_S = (0.1, 0.3)
"""Pause after a watch that returned changes. They come in bursts, as when a service is
released, and each call is billed. A cut from the platform goes unnoticed in it."""

RETRY_PAUSE_S = (0.15, 0.4)
"""Random pause after a failed call of a sidecar that is alone, so that not all hosts
retry at the same moment."""

MAX_RETRY_PAUSE_S = 1.1
"""Longest pause after failures for a sidecar that is alone: changes must be in force
within two seconds of the platform's return, also if one read is lost."""

TURN_S = 0.2
"""Time between the calls of a zone whose sidecars all fail to reach the platform. They
call in turn, in the order of their addresses: the number of calls doesn't grow with the
zone, nor does the time until one of them notices the platform's return."""

WATCHERS_PER_ZONE = 1
"""Sidecars of a zone that follow the platform in normal operation. Each call is billed.
If the active one is lost, its zone receives changes from the aggregators of the other
zones within a second, until the next one takes over."""

WATCHER_TAKEOVER_STEP_MS = 50.0
"""Delay of each further sidecar in taking over when watchers are missing: a call to the
platform and the announcement of its result take a few milliseconds."""

TIMER_RESOLUTION_S = 0.001
"""Shortest pause worth a timer."""

STANDBY_CHECK_PAUSE_S = 0.1
"""Pause between checks whether this sidecar has become active, beside ``wake``: the
interval of the other periodic decisions."""


class PlatformReader:
    """Reads all data once, then follows the changes, through outages and restores.

    Args:
        store: client of the platform's store.
        listener: receives the changes.
        role: decides whether this sidecar is active. While it isn't, a peer follows the
            platform and sends the changes.
        rng: random source of the pauses.

    Attributes:
        calls: number of reads and watches so far.
        failed_calls: number of times that no usable data came, and a pause followed.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        listener: PlatformListener,
        role: ZoneRole,
        rng: random.Random,
    ):
        self.calls = 0
        self.failed_calls = 0
        self._store = store
        self._listener = listener
        self._role = role
        self._rng = rng
        self._is_complete = False
        self._is_unreachable = False
        self._failures = 0
        self._lost_histories = 0
        self._following = False
        self._response_ms = 0.0
        self._is_watch_lost = False
        self._own_pause_s = 0.0
        self._failed_s = 0.0
        self._is_active = asyncio.Event()
        self._called_s = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Follow the platform until cancelled.

        Failure: a task that fails while it applies changes must not go on after them,
        nor count as following until it does. The next run reads everything.
        """
        try:
            await self._follow()
        except Exception:
            self._is_complete = False
            self._set_following(False)
            raise

    async def _follow(self) -> None:
        while True:
            if not self._is_needed:
                await self._stand_by()
                continue
            try:
                await self._read_or_watch()
            except HistoryGoneError:
                await self._handle_lost_history()
            except PlatformUnavailableError as error:
                self._record_failure(error)
                self._log_failure(error)
                await self._pause(self._next_call_s)

    def wake(self) -> None:
        """Act at once on the role, which has become active."""
        self._is_active.set()

    @property
    def call_age_ms(self) -> float:
        """Time since the latest call to the platform began."""
        return (asyncio.get_running_loop().time() - self._called_s) * 1000

    def gauges(self) -> Mapping[str, float]:
        """Return the values for the metrics page."""
        return {
            "platform_calls": self.calls,
            "platform_failed_calls": self.failed_calls,
            "platform_call_age_ms": self.call_age_ms,
            "platform_followed": self._following,
        }

    @property
    def _is_needed(self) -> bool:
        """Whether to call the platform: this sidecar is active, or has no data yet."""
        return self._role.is_active or self._listener.revision == UNKNOWN

    async def _stand_by(self) -> None:
        """Make no calls while peers follow the platform."""
        self._set_following(False)
        self._failures = 0
        self._is_watch_lost = False
        self._is_complete = True  # Peers send all changes.
        while not self._is_needed:
            self._check_peers()
            self._is_active.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STANDBY_CHECK_PAUSE_S):
                    await self._is_active.wait()

    async def _pause(self, due_s: Callable[[], float]) -> None:
        """Wait until a time, but only while this sidecar has to call the platform.

        Args:
            due_s: returns the time of the event loop until which to wait, which may
                change meanwhile.
        """
        loop = asyncio.get_running_loop()
        while (remaining_s := due_s() - loop.time()) > TIMER_RESOLUTION_S:
            if not self._is_needed:
                return
            self._check_peers()
            await asyncio.sleep(min(remaining_s, STANDBY_CHECK_PAUSE_S))

    def _check_peers(self) -> None:
        """Treat the platform as reachable while a peer follows it.

        Failure: a sidecar that the platform refuses treats it as unreachable, and holds
        each removal of a server that its peers send, as an expiry during the outage.
        """
        if self._role.has_active_peer:
            self._record_return("peers")

    async def _read_or_watch(self) -> None:
        delta = await self._fetch()
        self._failures = 0
        self._record_return(PLATFORM_SOURCE)
        self._set_following(True)
        has_changes = delta.revision > self._listener.revision
        self._listener.apply_delta(delta, PLATFORM_SOURCE)
        if has_changes and not delta.is_full:
            await asyncio.sleep(self._rng.uniform(*BURST_PAUSE_S))

    async def _fetch(self) -> Delta:
        """Return the next changes, or all data if they can't be had by a watch."""
        is_current = self._store.era <= self._listener.revision.era
        is_deaf = self._is_watch_lost and not self._following
        if not self._is_complete or not is_current or is_deaf:
            return await self._read()
        return await self._watch_or_read()

    async def _watch_or_read(self) -> Delta:
        """Watch the platform; replace a lost watch by a read while following.

        Failure: watches hear nothing while changes are made, and the zone waits for one
        watch after the other although reads are answered.
        """
        wait_ms, response_ms = self._watch_times_ms()
        grace_ms = WATCH_OVERDUE_MS - WATCH_RESPONSE_MS
        timer = asyncio.get_running_loop().call_later(
            (wait_ms + response_ms + grace_ms) / 1000, self._set_following, False
        )
        try:
            return await self._watch(wait_ms, response_ms)
        except PlatformUnavailableError as error:
            self._is_watch_lost = error.timed_out
            if not error.timed_out or not self._following:
                raise
            return await self._read()
        finally:
            timer.cancel()

    def _watch_times_ms(self) -> tuple[int, float]:
        """Return the wait of the next watch, and the time after it for the response."""
        if self._is_watch_lost or not self._following:
            return FIRST_WATCH_TIMEOUT_MS, MAX_WATCH_RESPONSE_MS
        lost_ms = max(WATCH_RESPONSE_MS, LOST_PER_RESPONSE * self._response_ms)
        return WATCH_TIMEOUT_MS, min(lost_ms, MAX_WATCH_RESPONSE_MS)

    async def _read(self) -> Delta:
        has_data = self._listener.revision != UNKNOWN
        self._record_call()
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000 if has_data else None):
                delta = await self._store.read()
        except TimeoutError:
            # A store that is slow may answer a watch within its time, not a long read.
            self._is_watch_lost = False
            raise PlatformUnavailableError(
                reason="store did not respond to a read in time", timed_out=True
            ) from None
        if delta.revision.era < self._listener.revision.era:
            raise PlatformUnavailableError(
                reason="store replied with an older era", answered=True
            )
        self._is_complete = True
        return delta

    async def _watch(self, wait_ms: int, response_ms: float) -> Delta:
        """Watch the platform.

        Args:
            wait_ms: longest wait of the store for a change.
            response_ms: time after it at which the watch counts as lost.
        """
        after = self._listener.revision
        self._record_call()
        try:
            async with asyncio.timeout((wait_ms + response_ms) / 1000):
                delta = await self._store.watch(after, wait_ms)
        except TimeoutError:
            raise PlatformUnavailableError(
                reason="store did not respond to a watch in time", timed_out=True
            ) from None
        if delta.revision.era != after.era:
            raise HistoryGoneError
        self._lost_histories = 0
        self._is_watch_lost = False
        if delta.revision == after:
            self._response_ms = max(0.0, self.call_age_ms - wait_ms)
        return delta

    def _record_call(self) -> None:
        self.calls += 1
        self._called_s = asyncio.get_running_loop().time()

    async def _handle_lost_history(self) -> None:
        """Request a full read, with a pause if watches repeatedly find no history."""
        era, number = self._listener.revision
        log_event("platform_history_gone", era=era, revision=number)
        self._is_complete = False
        self._lost_histories += 1
        if self._lost_histories > 1:
            now_s = asyncio.get_running_loop().time()
            due_s = now_s + self._rng.uniform(*RETRY_PAUSE_S)
            await self._pause(lambda: due_s)

    def _record_return(self, source: str) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            era, number = self._listener.revision
            log_event("platform_back", source=source, era=era, revision=number)
        self._listener.record_outage_end()

    def _set_following(self, following: bool) -> None:
        if following != self._following:
            self._following = following
            self._listener.record_following(following)

    def _record_failure(self, error: PlatformUnavailableError) -> None:
        self._failures += 1
        self.failed_calls += 1
        self._failed_s = asyncio.get_running_loop().time()
        pause_s = self._rng.uniform(*RETRY_PAUSE_S) * self._failures
        self._own_pause_s = min(pause_s, MAX_RETRY_PAUSE_S)
        self._set_following(False)
        if self._role.has_active_peer:
            return
        self._listener.record_outage()
        if not self._is_unreachable:
            self._is_unreachable = True
            log_event("platform_away", level="warning", reason=error.reason)

    def _log_failure(self, error: PlatformUnavailableError) -> None:
        log_event(
            "platform_call_failed",
            reason=error.reason,
            answered=error.answered,
            took_ms=self.call_age_ms,
            failures=self._failures,
            pause_ms=(self._next_call_s() - self._failed_s) * 1000,
            sidecars_per_active=self._role.sidecars_per_active,
            has_active_peer=self._role.has_active_peer,
        )

    def _next_call_s(self) -> float:
        """Return the time of the next call after a failed one.

        The first failures of an outage come at nearly the same time at all sidecars of
        a zone. Each then waits for its place in the order of the zone, and keeps that
        place by calling once in each cycle of turns.
        """
        sidecars = self._role.sidecars_per_active
        if sidecars <= 1:
            return self._failed_s + self._own_pause_s
        cycle_s = max(MAX_RETRY_PAUSE_S, sidecars * TURN_S)
        if self._failures == 1:
            return self._failed_s + cycle_s * self._role.turn
        return max(self._called_s + cycle_s, self._failed_s + RETRY_PAUSE_S[0])
