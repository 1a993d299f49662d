"""The platform in memory: documents and a host list that lag, fail or go back."""

from dataclasses import dataclass

from sassafraswinch.membership import HostRecord, HostState
from sassafraswinch_standins.memory_document import make_document
from sassafraswinch_standins.memory_schedule import Schedule

LIST_LAG_MS = 30_000.0
"""Time after which the host list shows that a host leaves or is back."""


class PlatformDownError(ConnectionError):
    """The platform doesn't answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """A document as readers get it."""

    version: int
    body: bytes
    valid: bool = True


class MemoryPlatform:
    """What nodes read; faults are set from outside.

    Attributes:
        is_down: whether every read fails.
        stale_by: how many documents a reader without one is behind.
        list_is_empty: whether newer host lists are empty.
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
        """Publish a document; operators may also go back or use a version twice."""
        self._documents.append(Published(version=version, body=body, valid=valid))

    def document(self, after: int) -> Published | None:
        """Return the document if its version is above ``after``.

        Raises:
            PlatformDownError: no answer.
        """
        self._check()
        newest = len(self._documents) - 1
        published = self._documents[max(0, newest - self.stale_by)]
        return published if published.version > after else None

    def shows(self, published: Published) -> bool:
        """Return whether all watchers get a document to see, and may use it.

        They watch for versions above the last one read, be it invalid.
        """
        others = [other for other in self._documents if other is not published]
        return published.valid and all(
            other.version < published.version or other.valid for other in others
        )

    def hosts(self, after: int) -> tuple[int, tuple[HostRecord, ...]] | None:
        """Return version and content of the host list if it is newer.

        Raises:
            PlatformDownError: no answer.
        """
        self._check()
        if self._list_version <= after:
            return None
        records = () if self.list_is_empty else tuple(self._records.values())
        return self._list_version, records

    def host_is(self, name: str, state: HostState) -> None:
        """Change the host list, which shows it after ``LIST_LAG_MS``."""
        self._schedule.after(LIST_LAG_MS, lambda: self._show(name, state))

    def empty_list(self) -> None:
        """Publish a host list without hosts."""
        self.list_is_empty = True
        self._list_version += 1

    def repair(self) -> None:
        """Answer again, with the newest document and the whole list."""
        self.is_down = False
        self.stale_by = 0
        if self.list_is_empty:
            self.list_is_empty = False
            self._list_version += 1

    def _show(self, name: str, state: HostState) -> None:
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

    def _check(self) -> None:
        if self.is_down:
            raise PlatformDownError
