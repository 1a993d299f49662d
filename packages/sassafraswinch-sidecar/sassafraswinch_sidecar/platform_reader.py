"""Keeps a replica of the platform's data up to date by reading and watching."""

import asyncio
import random
from typing import Protocol

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.replica import Delta

WATCH_MS = 8_000
"""Longest wait of one watch: a connection that fell silent is found out within it,
and each call is paid for."""

RETURN_WATCH_MS = 20
"""Wait of the first watch after a failure: it tells at once that the platform is back.
A long one would be answered by the next change, perhaps seconds later, and until then
the platform would count as away."""

GATHER_S = (0.25, 0.6)
"""Pause after a watch that brought changes. They come in bursts, as when a service is
released, and each call is paid for; with the heartbeat of a second, by which sidecars
that are turned away learn of a change, it stays below the two seconds that are
allowed."""

RETRY_S = (0.15, 0.4)
"""Pause after a failed call: all hosts don't come back in one moment."""

MAX_RETRY_S = 1.5
"""Longest pause: changes must be in force within two seconds of the return."""


class PlatformUnavailableError(SassafraswinchError):
    """The platform's store gave no answer of use.

    Attributes:
        reason: what happened, in words for a log line.
    """

    def __init__(self, *, reason: str):
        super().__init__(reason)
        self.reason = reason


class HistoryGoneError(SassafraswinchError):
    """The changes after the asked revision are no longer kept."""


class PlatformStore(Protocol):
    """Reads the platform's data; the adapter of a platform brings it."""

    async def read(self) -> Delta:
        """Return all data of interest.

        Raises:
            PlatformUnavailableError: there is no answer.
        """

    async def watch(self, after_revision: int, wait_ms: int) -> Delta:
        """Return the changes after a revision as soon as there is one.

        Raises:
            HistoryGoneError: read anew.
            PlatformUnavailableError: there is no answer.
        """


class ReplicaKeeper(Protocol):
    """Whoever owns the replica."""

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""

    def take(self, delta: Delta, source: str) -> None:
        """Take in changes."""

    def platform_away(self) -> None:
        """The platform can't be read."""

    def platform_back(self) -> None:
        """The platform can be read."""


class PlatformReader:
    """Reads once, then follows the changes, whatever happens to the platform."""

    def __init__(
        self, *, store: PlatformStore, keeper: ReplicaKeeper, rng: random.Random
    ):
        self._store = store
        self._keeper = keeper
        self._rng = rng
        self._whole = False
        self._away = False
        self._failures = 0

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                log_event("platform_history_gone", revision=self._keeper.revision)
                self._whole = False
            except PlatformUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(self._pause_s())

    async def _step(self) -> None:
        if not self._whole:
            delta = await self._store.read()
            self._whole = True
        else:
            wait_ms = RETURN_WATCH_MS if self._away else WATCH_MS
            delta = await self._store.watch(self._keeper.revision, wait_ms)
        self._failures = 0
        if self._away:
            self._away = False
            log_event("platform_back", revision=delta.revision)
        self._keeper.platform_back()
        brought_changes = delta.revision > self._keeper.revision
        self._keeper.take(delta, "platform")
        if brought_changes and not delta.whole:
            await asyncio.sleep(self._rng.uniform(*GATHER_S))

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        self._failures += 1
        self._keeper.platform_away()
        if not self._away:
            self._away = True
            log_event("platform_away", level="warning", reason=error.reason)

    def _pause_s(self) -> float:
        pause_s = self._rng.uniform(*RETRY_S) * self._failures
        return min(pause_s, MAX_RETRY_S)
