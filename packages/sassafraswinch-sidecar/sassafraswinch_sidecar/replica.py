"""A copy of the platform's data that sidecars keep and hand on to each other.

The platform numbers all changes, so two copies merge by taking the later entry of each
key: no agreement between sidecars is needed. When its store comes back from an older
copy, a new era begins: what it holds then goes before all that was known. Routes are
the exception. They bear a version of their own that only rises, so the newest stays,
whatever the store has lost.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch_sidecar.revisions import UNKNOWN, Position, Revision

MAX_REMOVED_KEYS = 4_096
"""Removed keys that are remembered for peers that lag; older ones make a peer take
the whole copy. Several days of replacements at 560 hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """The state of one key.

    Attributes:
        key: name of the item at the platform.
        revision: its last change.
        value: its bytes as the platform holds them; None where it was removed.
    """

    key: str
    revision: Revision
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes that bring a copy up to a revision.

    Attributes:
        revision: all changes up to it are in the entries or known to the receiver.
        is_full: whether keys that the entries don't name are gone.
        entries: the changed keys.
    """

    revision: Revision
    is_full: bool
    entries: tuple[Entry, ...]


class RoutesReader(Protocol):
    """Knows the key of the routes and their version."""

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the routes."""

    def routes_version(self, value: bytes) -> int | None:
        """Return the version of routes; None if they can't be read."""


class Replica:
    """The platform's data up to one revision, in memory.

    Args:
        routes: tells the version of the routes.

    Attributes:
        revision: all changes up to it are known.
        routes_version: version of the routes; 0 while none are known.
    """

    def __init__(self, *, routes: RoutesReader):
        self.revision = UNKNOWN
        self.routes_version = 0
        self._routes = routes
        self._entries: dict[str, Entry] = {}
        self._forgotten_revision = UNKNOWN

    @property
    def position(self) -> Position:
        """How much this copy knows."""
        return Position(revision=self.revision, routes_version=self.routes_version)

    def merge(self, delta: Delta) -> list[Entry]:
        """Take in changes.

        A delta that is older than this copy still brings single keys that are newer,
        and never takes one back. Of another era only a whole one that is newer can be
        taken in: the changes alone don't tell what the store has lost, and what an
        older era tells is over. Newer routes are taken from any.

        Returns:
            The entries that changed, removals included.
        """
        if not self._can_follow(delta):
            return [entry for entry in delta.entries if self._take_routes(entry)]
        changed = [entry for entry in delta.entries if self._take(entry)]
        if delta.is_full and delta.revision >= self.revision:
            named = {entry.key for entry in delta.entries}
            changed += self._remove_others(named, delta.revision)
            # A whole reading doesn't name what was removed before it, so a peer that
            # lags behind it can't be told removals one by one.
            self._forgotten_revision = max(self._forgotten_revision, delta.revision)
        self.revision = max(self.revision, delta.revision)
        return changed

    def changes_since(self, position: Position) -> Delta:
        """Return what a copy at that position lacks."""
        after = position.revision
        # An era begins with a whole reading, so those of older ones take all.
        whole = after < self._forgotten_revision

        def is_lacking(entry: Entry) -> bool:
            if self._routes.is_route_table(entry.key):
                return self.routes_version > position.routes_version
            return entry.value is not None if whole else entry.revision > after

        entries = tuple(filter(is_lacking, self._entries.values()))
        return Delta(revision=self.revision, is_full=whole, entries=entries)

    def live_entries(self) -> Iterable[Entry]:
        """Return the entries that aren't removed."""
        return (e for e in self._entries.values() if e.value is not None)

    def _can_follow(self, delta: Delta) -> bool:
        if delta.revision.era == self.revision.era:
            return True
        return delta.is_full and delta.revision.era > self.revision.era

    def _take(self, entry: Entry) -> bool:
        if self._routes.is_route_table(entry.key):
            return self._take_routes(entry)
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        if entry.value is None:
            # Kept also for a key that was never seen here: a peer may know it, and
            # would keep it for ever if this copy told no removal.
            self._forget_removed()
        return known is not None or entry.value is not None

    def _take_routes(self, entry: Entry) -> bool:
        if entry.value is None or not self._routes.is_route_table(entry.key):
            return False
        known = self._entries.get(entry.key)
        if known is not None and known.value == entry.value:
            return False
        version = self._routes.routes_version(entry.value)
        if version is None or (known is not None and version <= self.routes_version):
            return False
        self._entries[entry.key] = entry
        self.routes_version = version
        return True

    def _remove_others(self, named: set[str], revision: Revision) -> list[Entry]:
        gone = [
            Entry(key=entry.key, revision=revision, value=None)
            for entry in self.live_entries()
            if entry.key not in named
            and entry.revision <= revision
            and not self._routes.is_route_table(entry.key)
        ]
        # A removal bears the revision of the reading, so it must not count as known
        # already where the entry's last change has the same one.
        for entry in gone:
            self._entries[entry.key] = entry
        if gone:
            self._forget_removed()
        return gone

    def _forget_removed(self) -> None:
        removed = [e for e in self._entries.values() if e.value is None]
        if len(removed) <= MAX_REMOVED_KEYS:
            return
        oldest = min(removed, key=lambda entry: entry.revision)
        self._forgotten_revision = max(self._forgotten_revision, oldest.revision)
        del self._entries[oldest.key]
