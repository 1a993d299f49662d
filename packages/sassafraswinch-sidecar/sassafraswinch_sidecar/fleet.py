"""The backend servers and routes in force, as a replica tells them."""

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_sidecar.departures import Departures
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.replica import MAX_REMOVED_KEYS, Entry, Replica
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.routes import RouteTable

RETURN_WINDOW_MS = 2_200.0
"""Time after an outage of the platform in which entries that expired meanwhile come
back; the platform promises about 2 s."""

EXPIRED_RETENTION_MS = 60_000.0
"""Time in which a removed instance is remembered in case that its host says that it
can't reach the platform. It finds that out within two seconds; the rest is for links
that come up later."""

MIN_EXPIRY_OUTAGE_MS = 2_500.0
"""Shortest outage in which entries expire: they live for several heartbeats."""


@dataclass(slots=True, kw_only=True)
class _Lapsed:
    """An instance whose entry was removed though it didn't say that it leaves."""

    instance: Instance
    first_revision: Revision
    since_ms: float
    used_until_ms: float = 0.0
    in_use: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _Held:
    """A removal that may only be a loss of the platform's.

    Attributes:
        revision: change that told it.
        until_ms: when it counts, if the entry isn't back by then.
    """

    revision: Revision
    until_ms: float


class Decoder(Protocol):
    """Reads the platform's items; the adapter of a platform brings it."""

    def instance_id(self, key: str) -> str | None:
        """Return the instance that a key describes, if it describes one."""

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the routes."""

    def parse_instance(self, instance_id: str, value: bytes) -> Instance:
        """Read an instance.

        Raises:
            InvalidFieldsError: names each wrong field.
        """

    def parse_route_table(self, value: bytes) -> RouteTable:
        """Read the routes.

        Raises:
            InvalidFieldsError: names each wrong field.
        """


class Fleet:
    """What the platform's data means: instances by service, and the route table.

    Routes that can't be read change nothing: what was in force stays. An instance that
    can't be read gets no new work until it can: another writer may have replaced its
    entry. Both faults are reported. The table's version never falls in the lifetime of
    a process.

    Args:
        decoder: reads the platform's items.
        report_error: is told of each that can't be read.
        is_isolated: tells whether the host at an address says that it can't reach the
            platform, so that the missing entry of its server says nothing.
    """

    def __init__(
        self,
        *,
        decoder: Decoder,
        report_error: Callable[[InvalidFieldsError], None],
        is_isolated: Callable[[str], bool] = lambda ip: False,
    ):
        self.table: RouteTable | None = None
        self.instances: dict[str, Instance] = {}
        self._decoder = decoder
        self._report = report_error
        self._is_isolated = is_isolated
        self._lapsed: dict[str, _Lapsed] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._by_zone: dict[str, list[str]] = {}
        self._known_at_ms: dict[str, float] = {}
        self._held: dict[str, _Held] = {}
        self._departures = Departures()
        self._removed: dict[str, None] = {}
        self._first_revisions: dict[str, Revision] = {}
        self._read_table: tuple[bytes, RouteTable] | None = None
        self._away_since_ms: float | None = None
        self._hold_until_ms = 0.0

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that may get work."""
        return self._by_service.get(service, [])

    def serving(self) -> Iterable[Instance]:
        """Return the instances of all services that may get work."""
        return itertools.chain.from_iterable(self._by_service.values())

    def zones(self) -> Mapping[str, list[str]]:
        """Return the addresses of the hosts of each availability zone, in order."""
        return self._by_zone

    def hosts_of(self, availability_zone: str) -> list[str]:
        """Return the addresses of the hosts of a zone, in order."""
        return self._by_zone.get(availability_zone, [])

    def instances_at(self, ip: str) -> list[Instance]:
        """Return the instances at an address, leaving ones included."""
        return [found for found in self.instances.values() if found.ip == ip]

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance must get no new work.

        One that is unknown here may: the sender's copy can be the newer one, and the
        backend server checks the id itself.
        """
        instance = self.instances.get(instance_id)
        if instance is not None:
            return instance.leaving
        lapsed = self._lapsed.get(instance_id)
        return instance_id in self._removed and not (lapsed and lapsed.in_use)

    def expired_instance_at(self, ip: str) -> Instance | None:
        """Return the latest instance at an address whose entry lapsed, if it has none.

        One that is listed there, or that said that it leaves, is no such instance.
        """
        if self.instances_at(ip):
            return None
        found = [each for each in self._lapsed.values() if each.instance.ip == ip]
        latest = max(found, key=lambda each: each.first_revision, default=None)
        return latest.instance if latest else None

    def cold_left_ms(self, instance: Instance, now_ms: float) -> float:
        """Return how much longer an instance is slow after its start."""
        known_ms = now_ms - self._known_at_ms.get(instance.id, now_ms)
        return max(0.0, instance.cold_ms - known_ms)

    def record_outage(self, now_ms: float) -> None:
        """Note that the platform can't be read."""
        if self._away_since_ms is None:
            self._away_since_ms = now_ms

    def record_outage_end(self, now_ms: float) -> None:
        """Note that the platform can be read."""
        if self._was_away_long(now_ms):
            self._hold_until_ms = now_ms + RETURN_WINDOW_MS
        self._away_since_ms = None

    def record_store_restore(self, now_ms: float) -> None:
        """Note that the platform's store came back from an older copy.

        Failure: servers that registered after the copy was taken have no entry, and
        every request that needs them is refused until they have written again.
        """
        self._hold_until_ms = now_ms + RETURN_WINDOW_MS

    def apply_entries(self, entries: Iterable[Entry], now_ms: float) -> None:
        """Take in changed entries."""
        for entry in entries:
            instance_id = self._decoder.instance_id(entry.key)
            if instance_id is not None:
                self._apply_instance(instance_id, entry, now_ms)
            elif self._decoder.is_route_table(entry.key) and entry.value is not None:
                self._apply_table(entry.value)
        self._index()

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the routes (RoutesReader)."""
        return self._decoder.is_route_table(key)

    def routes_version(self, value: bytes) -> int | None:
        """Return the version of routes (RoutesReader)."""
        table = self._parse_table(value)
        return None if table is None else table.version

    def tick(self, replica: Replica, now_ms: float) -> None:
        """Drop held instances whose entries didn't come back, use isolated ones."""
        self._heed_isolation(now_ms)
        listed = self._departures.pop_returned(now_ms)
        returned = [each for each in listed if each.id in self.instances]
        for instance in returned:
            self._take_instance(instance)
        over = [found for found, held in self._held.items() if now_ms >= held.until_ms]
        if over:
            live = {
                self._decoder.instance_id(entry.key) for entry in replica.live_entries()
            }
            for instance_id in over:
                held = self._held.pop(instance_id)
                if instance_id not in live:
                    self._remove(instance_id, held.revision, now_ms)
        if over or returned:
            self._index()

    def _heed_isolation(self, now_ms: float) -> None:
        """Use instances whose entries lapsed while their hosts are cut off.

        Failure: a third of the hosts is cut off from the platform for some seconds,
        their entries expire, and a service whose other server leaves has none left,
        though two can be reached. All requests that need it were refused for 8 s. The
        host itself refuses them once it hears of the platform that its server is gone.
        """
        changed = False
        for instance_id, lapsed in list(self._lapsed.items()):
            if self._is_isolated(lapsed.instance.ip):
                lapsed.used_until_ms = now_ms + RETURN_WINDOW_MS
            in_use = now_ms < lapsed.used_until_ms
            changed = changed or in_use != lapsed.in_use
            lapsed.in_use = in_use
            if not in_use and now_ms - lapsed.since_ms >= EXPIRED_RETENTION_MS:
                del self._lapsed[instance_id]
        if changed:
            self._index()

    def _apply_instance(self, instance_id: str, entry: Entry, now_ms: float) -> None:
        if entry.value is None:
            if self._may_return(instance_id, now_ms):
                until_ms = self._returns_until_ms(now_ms)
                held = _Held(revision=entry.revision, until_ms=until_ms)
                self._held.setdefault(instance_id, held)
            else:
                self._remove(instance_id, entry.revision, now_ms)
            return
        try:
            instance = self._decoder.parse_instance(instance_id, entry.value)
        except InvalidFieldsError as error:
            self._report(error)
            self.instances.pop(instance_id, None)
            self._held.pop(instance_id, None)
            return
        self._held.pop(instance_id, None)
        known = self.instances.get(instance_id)
        if known != instance:
            self._known_at_ms[instance_id] = now_ms
        if known is not None and known.incarnation != instance.incarnation:
            # It started anew: at its address it is the later one from now on.
            self._first_revisions.pop(instance_id, None)
        self._note_first_revision(instance_id, entry.revision)
        self._take_instance(self._unless_departed(instance, entry.revision, now_ms))

    def _take_instance(self, instance: Instance) -> None:
        self._removed.pop(instance.id, None)
        self._lapsed.pop(instance.id, None)
        self.instances[instance.id] = instance

    def _unless_departed(
        self, instance: Instance, revision: Revision, now_ms: float
    ) -> Instance:
        """Return an instance as leaving if a restored store lists one that has left."""
        lapsed = self._lapsed.get(instance.id)
        if lapsed is not None and lapsed.in_use:
            # Its host says itself that the server lives.
            self._departures.discard_departure(instance)
        if not self._departures.accept_registration(instance, revision, now_ms):
            return replace(instance, leaving=True)
        if instance.leaving:
            self._departures.record_departure(instance, revision)
        return instance

    def _note_first_revision(self, instance_id: str, revision: Revision) -> None:
        """Note when an instance came to its address.

        What is listed in a new era was written before the copy was taken, at the number
        that it had, or anew.
        """
        first = self._first_revisions.setdefault(instance_id, revision)
        if first.era < revision.era:
            number = min(first.number, revision.number)
            self._first_revisions[instance_id] = Revision(revision.era, number)

    def _was_away_long(self, now_ms: float) -> bool:
        since_ms = self._away_since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_EXPIRY_OUTAGE_MS

    def _may_return(self, instance_id: str, now_ms: float) -> bool:
        """Return whether a removal may only be an expiry during an outage.

        Failure: entries that expired while the platform was away are removed at its
        return, and every request is refused until their servers have written again.
        Held entries of servers that live come back under the same id.
        """
        known = self.instances.get(instance_id)
        if known is None or known.leaving:
            return False
        return now_ms < self._returns_until_ms(now_ms)

    def _returns_until_ms(self, now_ms: float) -> float:
        """Return until when entries that expired in an outage come back.

        The time counts from the platform's return, not from each removal: one that
        comes late in it may be of a server that leaves without saying so.
        """
        if self._was_away_long(now_ms):
            return now_ms + RETURN_WINDOW_MS
        return self._hold_until_ms

    def _remove(self, instance_id: str, revision: Revision, now_ms: float) -> None:
        instance = self.instances.pop(instance_id, None)
        if instance is not None:
            self._departures.record_departure(instance, revision)
        self._known_at_ms.pop(instance_id, None)
        first_revision = self._first_revisions.pop(instance_id, UNKNOWN)
        if instance is not None and not instance.leaving:
            self._lapsed[instance_id] = _Lapsed(
                instance=instance, first_revision=first_revision, since_ms=now_ms
            )
        self._removed[instance_id] = None
        if len(self._removed) > MAX_REMOVED_KEYS:
            del self._removed[next(iter(self._removed))]

    def _apply_table(self, value: bytes) -> None:
        table = self._parse_table(value)
        if table is None:
            return
        if self.table is None or table.version > self.table.version:
            self.table = table

    def _parse_table(self, value: bytes) -> RouteTable | None:
        """Read routes once, though both their version and they themselves are asked."""
        if self._read_table is None or self._read_table[0] is not value:
            try:
                self._read_table = value, self._decoder.parse_route_table(value)
            except InvalidFieldsError as error:
                self._report(error)
                return None
        return self._read_table[1]

    def _index(self) -> None:
        """Sort the instances by service, without those that another one replaced.

        Failure: after a loss of power the entries of the old lifetimes live on for
        seconds beside the new ones, and half of the requests go to instances that are
        gone. An address has one server at a time, the one that was written last.
        """
        at_address: dict[tuple[str, int], tuple[int, Instance]] = {}
        for first_revision, instance in self._usable():
            address = (instance.ip, instance.port)
            known = at_address.get(address)
            # An entry that a restored store has lost is held for a while, and came
            # after those that it lists: the numbers tell, whatever the era.
            if known is None or first_revision.number > known[0]:
                at_address[address] = (first_revision.number, instance)
        self._by_zone = _hosts_by_zone(instance for _, instance in at_address.values())
        self._by_service = {}
        for _, instance in at_address.values():
            if not instance.leaving:
                self._by_service.setdefault(instance.service, []).append(instance)

    def _usable(self) -> Iterator[tuple[Revision, Instance]]:
        """Yield instances of configured services, each with its first revision.

        Failure: an entry of another writer names a service that doesn't exist, and the
        address of a server that does; that server gets no more work.
        """
        services = self.table.server_services if self.table else frozenset()
        for instance_id, instance in self.instances.items():
            if not services or instance.service in services:
                yield self._first_revisions[instance_id], instance
        for lapsed in self._lapsed.values():
            if lapsed.in_use:
                yield lapsed.first_revision, lapsed.instance


def _hosts_by_zone(instances: Iterable[Instance]) -> dict[str, list[str]]:
    hosts: dict[str, set[str]] = {}
    for instance in instances:
        hosts.setdefault(instance.availability_zone, set()).add(instance.ip)
    return {zone: sorted(ips) for zone, ips in hosts.items()}
