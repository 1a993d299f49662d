"""Keeps a replica of the platform's data up to date by reading and watching."""

import asyncio
import random
from typing import Protocol

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_role import ZoneRole

PLATFORM_SOURCE = "platform"
"""Names the platform itself as the source of changes, in logs too."""

WATCH_TIMEOUT_MS = 1_500
"""Longest wait of one watch. A connection that fell silent, or a store that came back
from an older copy unnoticed, is found out by its end; each call is paid for."""

FIRST_WATCH_TIMEOUT_MS = 20
"""Wait of the first watch after a failure, or after others have followed: it tells at
once that the platform can be read. A long one would be answered by the next change,
perhaps seconds later, and until then the platform would count as away, and peers would
come on duty as well."""

BURST_PAUSE_S = (0.25, 0.6)
"""Pause after a watch that brought changes. They come in bursts, as when a service is
released, and each call is paid for; with the rounds of gatherers, by which the others
learn of a change within a second, it stays below the two seconds that are allowed."""

RETRY_PAUSE_S = (0.15, 0.4)
"""Pause after a failed call: all hosts don't come back in one moment."""

MAX_RETRY_PAUSE_S = 1.5
"""Longest pause of a sidecar alone: changes must be in force within two seconds of the
return. Where more share a zone, one of them calls as often, and tells the others."""

WATCHERS_PER_ZONE = 1
"""Sidecars of a zone that follow the platform while they can. Each call is paid for. If
the one is lost, its zone hears of changes from the gatherers of the other zones, within
a second, until the next has stepped in."""

WATCHER_TAKEOVER_STEP_MS = 50.0
"""Time that each further sidecar leaves to those before it, when watchers are missing:
one call to the platform and its news take a few milliseconds."""

STANDBY_CHECK_PAUSE_S = 0.1
"""Pause between looks at whether this sidecar has come on duty: the grain of the other
periodic decisions."""


class PlatformUnavailableError(SassafraswinchError):
    """The platform's store gave no answer of use.

    Attributes:
        reason: what happened, in words for a log line.
        answered: whether it gave any answer, so that the way to it is open.
    """

    def __init__(self, *, reason: str, answered: bool = False):
        super().__init__(reason)
        self.reason = reason
        self.answered = answered


class HistoryGoneError(SassafraswinchError):
    """The changes after the asked revision are no longer kept."""


class PlatformStore(Protocol):
    """Reads the platform's data; the adapter of a platform brings it.

    Attributes:
        era: the era of the latest answer, refusals included.
    """

    era: int

    async def read(self) -> Delta:
        """Return all data of interest.

        Raises:
            PlatformUnavailableError: there is no answer.
        """

    async def has_instance(self, instance_id: str) -> bool:
        """Return whether the platform lists an instance now.

        Raises:
            PlatformUnavailableError: there is no answer.
        """

    async def watch(self, after: Revision, wait_ms: int) -> Delta:
        """Return the changes after a revision as soon as there is one.

        The answer may be of another era, and tells no changes after the revision then.

        Raises:
            HistoryGoneError: read anew.
            PlatformUnavailableError: there is no answer.
        """


class PlatformListener(Protocol):
    """Whoever owns the replica."""

    @property
    def revision(self) -> Revision:
        """Revision up to which all changes are known."""

    def apply_delta(self, delta: Delta, source: str) -> None:
        """Take in changes."""

    def record_outage(self) -> None:
        """The platform can't be read."""

    def record_outage_end(self) -> None:
        """The platform can be read, here or by peers that follow it."""

    def record_following(self, following: bool) -> None:
        """Following the platform has begun here, or ended."""


class PlatformReader:
    """Reads once, then follows the changes, whatever happens to the platform.

    Args:
        store: reads the platform's data.
        listener: owns the replica.
        role: tells whether this sidecar must follow; another that does tells it news.
        rng: source of the pauses.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        listener: PlatformListener,
        role: ZoneRole,
        rng: random.Random,
    ):
        self._store = store
        self._keeper = listener
        self._duty = role
        self._rng = rng
        self._whole = False
        self._away = False
        self._failures = 0
        self._lost_histories = 0
        self._following = False

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        while True:
            if not self._is_needed:
                await self._stand_by()
                continue
            try:
                await self._step()
            except HistoryGoneError:
                await self._note_lost_history()
            except PlatformUnavailableError as error:
                self._note_failure(error)
                await self._pause(self._pause_s())

    @property
    def _is_needed(self) -> bool:
        """Whether to call the platform: on duty, or nobody has told anything yet."""
        return self._duty.is_active or self._keeper.revision == UNKNOWN

    async def _stand_by(self) -> None:
        """Leave the platform to others while they follow it."""
        self._follow(False)
        self._failures = 0
        self._whole = True  # Peers tell all that this sidecar lacks.
        while not self._is_needed:
            self._heed_peers()
            await asyncio.sleep(STANDBY_CHECK_PAUSE_S)

    async def _pause(self, seconds: float) -> None:
        """Wait, but no longer than this sidecar is needed."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        while (left_s := ends_s - loop.time()) > 0 and self._is_needed:
            self._heed_peers()
            await asyncio.sleep(min(left_s, STANDBY_CHECK_PAUSE_S))

    def _heed_peers(self) -> None:
        """Take the platform for reachable while a peer follows it.

        Failure: a sidecar that the platform turns away counts it as away, and holds
        back each removal of a server that its peers tell, as an expiry of the outage.
        """
        if self._duty.is_held:
            self._note_return("peers")

    async def _step(self) -> None:
        if self._whole and self._store.era <= self._keeper.revision.era:
            delta = await self._watch()
        else:
            delta = await self._read()
        self._failures = 0
        self._note_return(PLATFORM_SOURCE)
        self._follow(True)
        brought_changes = delta.revision > self._keeper.revision
        self._keeper.take(delta, PLATFORM_SOURCE)
        if brought_changes and not delta.is_full:
            await asyncio.sleep(self._rng.uniform(*BURST_PAUSE_S))

    async def _read(self) -> Delta:
        delta = await self._store.read()
        if delta.revision.era < self._keeper.revision.era:
            raise PlatformUnavailableError(reason="is of an older era", answered=True)
        self._whole = True
        return delta

    async def _watch(self) -> Delta:
        after = self._keeper.revision
        wait_ms = WATCH_TIMEOUT_MS if self._following else FIRST_WATCH_TIMEOUT_MS
        delta = await self._store.watch(after, wait_ms)
        if delta.revision.era != after.era:
            raise HistoryGoneError
        self._lost_histories = 0
        return delta

    async def _note_lost_history(self) -> None:
        """Read anew: at once the first time, with a pause if no watch holds."""
        era, number = self._keeper.revision
        log_event("platform_history_gone", era=era, revision=number)
        self._whole = False
        self._lost_histories += 1
        if self._lost_histories > 1:
            await self._pause(self._rng.uniform(*RETRY_PAUSE_S))

    def _note_return(self, source: str) -> None:
        if self._away:
            self._away = False
            era, number = self._keeper.revision
            log_event("platform_back", source=source, era=era, revision=number)
        self._keeper.platform_back()

    def _follow(self, following: bool) -> None:
        if following != self._following:
            self._following = following
            self._keeper.platform_followed(following)

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        self._failures += 1
        self._follow(False)
        if self._duty.is_held:
            return
        self._keeper.platform_away()
        if not self._away:
            self._away = True
            log_event("platform_away", level="warning", reason=error.reason)

    def _pause_s(self) -> float:
        pause_s = self._rng.uniform(*RETRY_PAUSE_S) * self._failures
        return min(pause_s, MAX_RETRY_PAUSE_S) * self._duty.spread
