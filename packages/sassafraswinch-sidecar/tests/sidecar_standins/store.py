"""In-memory store of the platform, and per-host clients that can be disconnected."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, replace

from sassafraswinch_sidecar.platform_reader import (
    HistoryGoneError,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta, Entry
from sassafraswinch_sidecar.revisions import Revision

INSTANCE = "instance/"
"""Prefix of the keys of backend server registrations."""

OUTAGE_S = 0.7
"""Duration of the outage before the store is restored from a copy."""


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """A copy of a store's entries at one revision."""

    entries: dict[str, Entry]
    revision: Revision


class MemoryStore:
    """The platform's store, with watches, and outages that tests start and end."""

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.revision = Revision(era=0, number=0)
        self.down = False
        self.cut_off: set[str] = set()
        self.changed = asyncio.Condition()

    @property
    def era(self) -> int:
        return self.revision.era

    async def put(self, key: str, value: dict | None) -> None:
        self.revision = Revision(self.era, self.revision.number + 1)
        body = None if value is None else json.dumps(value).encode()
        self.entries[key] = Entry(key=key, revision=self.revision, value=body)
        async with self.changed:
            self.changed.notify_all()

    def copy(self) -> "StoreCopy":
        """Return a copy of the current entries."""
        return StoreCopy(entries=dict(self.entries), revision=self.revision)

    async def restore(self, copy: "StoreCopy") -> None:
        """Be unavailable for ``OUTAGE_S``, then serve an older copy in a new era."""
        await self.set_down(True)
        await asyncio.sleep(OUTAGE_S)
        era = self.era + 1
        self.entries = {
            key: replace(entry, revision=Revision(era, entry.revision.number))
            for key, entry in copy.entries.items()
        }
        self.revision = Revision(era, copy.revision.number)
        await self.set_down(False)

    async def read(self) -> Delta:
        self._check()
        live_entries = (e for e in self.entries.values() if e.value is not None)
        return Delta(revision=self.revision, is_full=True, entries=tuple(live_entries))

    async def has_instance(self, instance_id: str) -> bool:
        self._check()
        entry = self.entries.get(INSTANCE + instance_id)
        return entry is not None and entry.value is not None

    async def watch(self, after: Revision, wait_ms: int) -> Delta:
        """Return the changes after a revision number, whatever its era."""
        self._check()
        number = after.number
        if number > self.revision.number:
            raise HistoryGoneError
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self.changed:
                await self.changed.wait_for(
                    lambda: self.down or self.revision.number > number
                )
        self._check()
        changed_entries = (
            e for e in self.entries.values() if e.revision.number > number
        )
        return Delta(
            revision=self.revision, is_full=False, entries=tuple(changed_entries)
        )

    async def set_down(self, down: bool) -> None:
        self.down = down
        async with self.changed:
            self.changed.notify_all()

    def _check(self):
        if self.down:
            raise PlatformUnavailableError(reason="is down")


class HostStore:
    """The store as one host reaches it, unless it is in ``MemoryStore.cut_off``.

    Attributes:
        era: the era of the latest answer (PlatformStore).
    """

    def __init__(self, *, store: MemoryStore, ip: str):
        self.era = 0
        self._store = store
        self._ip = ip

    async def read(self) -> Delta:
        self._check()
        return await self._store.read()

    async def has_instance(self, instance_id: str) -> bool:
        self._check()
        return await self._store.has_instance(instance_id)

    async def watch(self, after: Revision, wait_ms: int) -> Delta:
        self._check()
        delta = await self._store.watch(after, wait_ms)
        self._check()
        return delta

    def _check(self):
        if self._ip in self._store.cut_off:
            raise PlatformUnavailableError(reason="is cut off")
        self.era = self._store.era
