"""Replica of the platform's data that sidecars keep and send to each other.

The platform numbers all changes, so two replicas merge by taking the later entry of
each key, without any consensus between sidecars. When the platform's store is restored
from an older copy, a new era begins, whose data takes precedence over that of older
eras. Routes are the exception: they have a version of their own that only increases, so
the newest routes stay in force even if the store has lost them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch_sidecar.revisions import UNKNOWN, Position, Revision

MAX_REMOVED_KEYS = 4_096
"""Removed keys that are kept for peers that lag; a peer that lags further receives the
full replica. Covers several days of server replacements at 560 hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """State of one key.

    Attributes:
        key: name of the item at the platform.
        revision: revision of its last change.
        value: its bytes as stored by the platform; None if it was removed.
    """

    key: str
    revision: Revision
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes that bring a replica up to a revision.

    Attributes:
        revision: all changes up to it are in the entries or known to the receiver.
        is_full: whether the delta is full, so that keys missing from it are removed.
        entries: the changed keys.
    """

    revision: Revision
    is_full: bool
    entries: tuple[Entry, ...]


class RoutesReader(Protocol):
    """Reader of the routes' key and version."""

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the route table."""

    def routes_version(self, value: bytes) -> int | None:
        """Return the version of a route table; None if it is invalid."""


class Replica:
    """In-memory copy of the platform's data up to one revision.

    Args:
        routes: reads the version of the routes.

    Attributes:
        revision: all changes up to this revision are known.
        routes_version: version of the routes; 0 if none are known.
    """

    def __init__(self, *, routes: RoutesReader):
        self.revision = UNKNOWN
        self.routes_version = 0
        self._routes = routes
        self._entries: dict[str, Entry] = {}
        self._purged_revision = UNKNOWN

    @property
    def position(self) -> Position:
        """Revision and routes version of this replica."""
        return Position(revision=self.revision, routes_version=self.routes_version)

    def merge(self, delta: Delta) -> list[Entry]:
        """Merge changes.

        A delta that is older than this replica may still hold newer entries of single
        keys; older entries are ignored. Of another era only a full delta of a newer era
        is merged: changes alone don't show what the store has lost, and data of an
        older era is obsolete. Newer routes are merged from any delta.

        Returns:
            The entries that changed, removals included.
        """
        if not self._is_applicable(delta):
            return [entry for entry in delta.entries if self._apply_routes(entry)]
        changed = [entry for entry in delta.entries if self._apply_entry(entry)]
        if delta.is_full and delta.revision >= self.revision:
            listed = {entry.key for entry in delta.entries}
            changed += self._remove_unlisted(listed, delta.revision)
            # A full delta doesn't list the keys removed before it, so a peer that lags
            # behind it can't be sent single removals.
            self._purged_revision = max(self._purged_revision, delta.revision)
        self.revision = max(self.revision, delta.revision)
        return changed

    def changes_since(self, position: Position) -> Delta:
        """Return the changes that a replica at a position lacks."""
        after = position.revision
        # An era begins with a full delta, so replicas of older eras receive a full one.
        is_full = after < self._purged_revision

        def is_missing(entry: Entry) -> bool:
            if self._routes.is_route_table(entry.key):
                return self.routes_version > position.routes_version
            return entry.value is not None if is_full else entry.revision > after

        entries = tuple(filter(is_missing, self._entries.values()))
        return Delta(revision=self.revision, is_full=is_full, entries=entries)

    def live_entries(self) -> Iterable[Entry]:
        """Return the entries of keys that aren't removed."""
        return (e for e in self._entries.values() if e.value is not None)

    def _is_applicable(self, delta: Delta) -> bool:
        if delta.revision.era == self.revision.era:
            return True
        return delta.is_full and delta.revision.era > self.revision.era

    def _apply_entry(self, entry: Entry) -> bool:
        if self._routes.is_route_table(entry.key):
            return self._apply_routes(entry)
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        if entry.value is None:
            # Also kept for a key that is unknown here: a peer may have it, and would
            # keep it for ever if this replica didn't send the removal.
            self._evict_oldest_removal()
        return known is not None or entry.value is not None

    def _apply_routes(self, entry: Entry) -> bool:
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

    def _remove_unlisted(self, listed: set[str], revision: Revision) -> list[Entry]:
        gone = [
            Entry(key=entry.key, revision=revision, value=None)
            for entry in self.live_entries()
            if entry.key not in listed
            and entry.revision <= revision
            and not self._routes.is_route_table(entry.key)
        ]
        # A removal has the revision of the full delta. It must not be ignored as known
        # if the entry's last change has the same revision.
        for entry in gone:
            self._entries[entry.key] = entry
        if gone:
            self._evict_oldest_removal()
        return gone

    def _evict_oldest_removal(self) -> None:
        removed = [e for e in self._entries.values() if e.value is None]
        if len(removed) <= MAX_REMOVED_KEYS:
            return
        oldest = min(removed, key=lambda entry: entry.revision)
        self._purged_revision = max(self._purged_revision, oldest.revision)
        del self._entries[oldest.key]
