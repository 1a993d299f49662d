"""A copy of the platform's data that sidecars keep and hand on to each other.

The platform numbers all changes with one revision counter, so two copies merge by
taking the later entry of each key: no agreement between sidecars is needed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_REMOVED = 4_096
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
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes that bring a copy up to a revision.

    Attributes:
        revision: all changes up to it are in the entries or known to the receiver.
        whole: whether keys that the entries don't name are gone.
        entries: the changed keys.
    """

    revision: int
    whole: bool
    entries: tuple[Entry, ...]


class Replica:
    """The platform's data up to one revision, in memory.

    Attributes:
        revision: all changes up to it are known; 0 knows nothing.
    """

    def __init__(self):
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._forgotten_revision = 0

    def merge(self, delta: Delta) -> list[Entry]:
        """Take in changes.

        A delta that is older than this copy still brings single keys that are newer,
        and never takes one back.

        Returns:
            The entries that changed, removals included.
        """
        changed = [entry for entry in delta.entries if self._take(entry)]
        if delta.whole and delta.revision >= self.revision:
            named = {entry.key for entry in delta.entries}
            changed += self._remove_others(named, delta.revision)
            # A whole reading doesn't name what was removed before it, so a peer that
            # lags behind it can't be told removals one by one.
            self._forgotten_revision = max(self._forgotten_revision, delta.revision)
        self.revision = max(self.revision, delta.revision)
        return changed

    def since(self, revision: int) -> Delta:
        """Return what a copy of that revision lacks."""
        whole = revision < self._forgotten_revision
        entries = tuple(
            entry
            for entry in self._entries.values()
            if (entry.value is not None if whole else entry.revision > revision)
        )
        return Delta(revision=self.revision, whole=whole, entries=entries)

    def live(self) -> Iterable[Entry]:
        """Return the entries that aren't removed."""
        return (e for e in self._entries.values() if e.value is not None)

    def _take(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return False
        self._entries[entry.key] = entry
        if entry.value is None:
            # Kept also for a key that was never seen here: a peer may know it, and
            # would keep it for ever if this copy told no removal.
            self._forget_removed()
        return known is not None or entry.value is not None

    def _remove_others(self, named: set[str], revision: int) -> list[Entry]:
        gone = [
            Entry(key=entry.key, revision=revision, value=None)
            for entry in self.live()
            if entry.key not in named and entry.revision <= revision
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
        if len(removed) <= MAX_REMOVED:
            return
        oldest = min(removed, key=lambda entry: entry.revision)
        self._forgotten_revision = max(self._forgotten_revision, oldest.revision)
        del self._entries[oldest.key]
