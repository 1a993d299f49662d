"""In-memory platform whose documents and host list may lag, fail or go back."""

from dataclasses import dataclass

from sassafraswinch.membership import HostRecord, HostState
from sassafraswinch_standins.memory_document import make_document
from sassafraswinch_standins.memory_schedule import Schedule

LIST_LAG_MS = 30_000.0
"""Delay until the host list shows that a host is leaving or back."""


class PlatformDownError(ConnectionError):
    """The platform does not answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """Published document, as served to readers."""

    version: int
    body: bytes
    valid: bool = True


class MemoryPlatform:
    """Documents and host list for nodes to read, with faults set by the caller.

    Attributes:
        is_down: whether every read fails.
        stale_by: by how many documents the served one is behind the newest.
        list_is_empty: whether the served host list is empty.
    """

    def __init__(self, *, schedule: Schedule, records: tuple[HostRecord, ...]):
        self._schedule = schedule
        self._documents = [Published(version=1, body=make_document(1))]
        self._records = {record.name: record for record in records}
        self._list_version = 1
        self.is_down = False
        self.stale_by = 0
        self.list_is_empty = False

    @property
    def version(self) -> int:
        """Version of the newest document."""
        return max(published.version for published in self._documents)

    def publish(self, body: bytes, version: int, *, valid: bool = True) -> None:
        """Publish a document; its version may also be an older or a used one."""
        self._documents.append(Published(version=version, body=body, valid=valid))

    def document(self, after: int) -> Published | None:
        """Return the document if its version is above ``after``.

        Raises:
            PlatformDownError: the platform does not answer.
        """
        self._require_up()
        newest = len(self._documents) - 1
        published = self._documents[max(0, newest - self.stale_by)]
        return published if published.version > after else None

    def shows(self, published: Published) -> bool:
        """Return whether all readers receive this document and may use it.

        They read only versions above the last one read, even if that was invalid.
        """
        others = [other for other in self._documents if other is not published]
        return published.valid and all(
            other.version < published.version or other.valid for other in others
        )

    def hosts(self, after: int) -> tuple[int, tuple[HostRecord, ...]] | None:
        """Return version and content of the host list if newer than ``after``.

        Raises:
            PlatformDownError: the platform does not answer.
        """
        self._require_up()
        if self._list_version <= after:
            return None
        records = () if self.list_is_empty else tuple(self._records.values())
        return self._list_version, records

    def set_host_state(self, name: str, state: HostState) -> None:
        """Change the state of a host in the list after ``LIST_LAG_MS``."""
        self._schedule.after(LIST_LAG_MS, lambda: self._change_list(name, state))

    def empty_list(self) -> None:
        """Publish an empty host list."""
        self.list_is_empty = True
        self._list_version += 1

    def repair(self) -> None:
        """Answer again, with the newest document and the complete host list."""
        self.is_down = False
        self.stale_by = 0
        if self.list_is_empty:
            self.list_is_empty = False
            self._list_version += 1

    def _change_list(self, name: str, state: HostState) -> None:
        record = self._records[name]
        self._records[name] = HostRecord(
            name=record.name,
            service=record.service,
            availability_zone=record.availability_zone,
            state=state,
            link=record.link,
            entry=record.entry,
            operators=record.operators,
        )
        self._list_version += 1

    def _require_up(self) -> None:
        if self.is_down:
            raise PlatformDownError
