"""Registry of the backend servers and routes in force, built from the replica."""

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.supervision import report_failure, run_step
from sassafraswinch_sidecar.departures import Departures
from sassafraswinch_sidecar.instances import NO_INCARNATION, Instance
from sassafraswinch_sidecar.replica import MAX_REMOVED_KEYS, Entry, Replica
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.routes import RouteTable

RETURN_WINDOW_MS = 2_200.0
"""Time after a platform outage in which registrations that expired during it come
back; the platform promises about 2 s."""

EXPIRED_RETENTION_MS = 60_000.0
"""Time for which a removed instance is kept in case its host reports that it can't
reach the platform. The host detects that within two seconds; the rest allows for links
that come up later."""

MIN_EXPIRY_OUTAGE_MS = 2_500.0
"""Shortest outage in which registrations expire: they live for several heartbeats."""


@dataclass(slots=True, kw_only=True)
class _ExpiredRegistration:
    """Instance whose registration was removed without a leave notice."""

    instance: Instance
    first_revision: Revision
    since_ms: float
    used_until_ms: float = 0.0
    in_use: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class _HeldRemoval:
    """Removal that may only be a loss of data at the platform.

    Attributes:
        revision: revision of the removal.
        until_ms: time at which it takes effect unless the registration is back.
    """

    revision: Revision
    until_ms: float


class Decoder(Protocol):
    """Decodes the platform's items; each platform adapter implements it."""

    def instance_id(self, key: str) -> str | None:
        """Return the ID of the instance that a key describes, if it describes one."""

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the route table."""

    def parse_instance(self, instance_id: str, value: bytes) -> Instance:
        """Parse an instance.

        Raises:
            InvalidFieldsError: names each invalid field.
        """

    def parse_route_table(self, value: bytes) -> RouteTable:
        """Parse the route table.

        Raises:
            InvalidFieldsError: names each invalid field.
        """


class Fleet:
    """Instances by service and the route table, as decoded from the platform's data.

    An invalid route table is ignored: the one in force stays. An instance whose entry
    is invalid gets no new work until the entry is valid again, since another writer may
    have replaced it. Both faults are reported. The version of the route table never
    decreases in the lifetime of a process.

    Args:
        decoder: decodes the platform's items.
        report_error: called with the error of each invalid item.
        is_isolated: returns whether the host at an address reports that it can't reach
            the platform, in which case the missing registration of its server proves
            nothing.
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
        self._report_error = report_error
        self._is_isolated = is_isolated
        self._expired: dict[str, _ExpiredRegistration] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._by_zone: dict[str, list[str]] = {}
        self._known_at_ms: dict[str, float] = {}
        self._held_removals: dict[str, _HeldRemoval] = {}
        self._departures = Departures()
        self._removed_ids: dict[str, None] = {}
        self._first_revisions: dict[str, Revision] = {}
        self._first_incarnations: dict[str, int] = {}
        self._parsed_table: tuple[bytes, RouteTable] | None = None
        self._outage_since_ms: float | None = None
        self._hold_until_ms = 0.0

    def of_service(self, service: str) -> list[Instance]:
        """Return the instances of a service that may get work."""
        return self._by_service.get(service, [])

    def serving(self) -> Iterable[Instance]:
        """Return the instances of all services that may get work."""
        return itertools.chain.from_iterable(self._by_service.values())

    def zones(self) -> Mapping[str, list[str]]:
        """Return the sorted host addresses of each availability zone."""
        return self._by_zone

    def hosts_of(self, availability_zone: str) -> list[str]:
        """Return the sorted host addresses of an availability zone."""
        return self._by_zone.get(availability_zone, [])

    def instances_at(self, ip: str) -> list[Instance]:
        """Return the instances at an address, leaving ones included."""
        return [found for found in self.instances.values() if found.ip == ip]

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance must get no new work.

        An unknown instance may get work: the sender's replica can be newer than this
        one, and the backend server checks the ID itself.
        """
        instance = self.instances.get(instance_id)
        if instance is not None:
            return instance.leaving
        if self._departures.has_leave_notice_of_any_lifetime(instance_id):
            return True
        expired = self._expired.get(instance_id)
        return instance_id in self._removed_ids and not (expired and expired.in_use)

    def record_leave_notice(
        self, instance_id: str, incarnation: int = NO_INCARNATION
    ) -> None:
        """Record that an instance stated in a response that it is leaving.

        It gets no new work for the rest of its lifetime, whatever the platform lists.

        Args:
            instance_id: id of the instance.
            incarnation: the lifetime. If it is unknown, the sender knew no registration
                yet, and the notice counts for the first lifetime known here.
        """
        if incarnation == NO_INCARNATION:
            incarnation = self._first_incarnations.get(instance_id, NO_INCARNATION)
        identity = (instance_id, incarnation)
        expired = self._expired.get(instance_id)
        if expired is not None and expired.instance.identity == identity:
            del self._expired[instance_id]
        if not self._departures.record_leave_notice(identity):
            return
        instance = self.instances.get(instance_id)
        if instance is not None and instance.identity == identity:
            self.instances[instance_id] = replace(instance, leaving=True)
        self._rebuild_indexes()

    def incarnation_of(self, instance_id: str) -> int:
        """Return the registered lifetime of an instance; 0 if it is unknown."""
        instance = self.instances.get(instance_id)
        return NO_INCARNATION if instance is None else instance.incarnation

    def expired_instance_at(self, ip: str) -> Instance | None:
        """Return the latest instance at an address whose registration expired.

        Returns None if an instance is registered at the address. An instance that gave
        leave notice doesn't count as expired.
        """
        if self.instances_at(ip):
            return None
        found = [each for each in self._expired.values() if each.instance.ip == ip]
        latest = max(found, key=lambda each: each.first_revision, default=None)
        return latest.instance if latest else None

    def cold_left_ms(self, instance: Instance, now_ms: float) -> float:
        """Return the remaining time in which an instance is slow after its start."""
        known_ms = now_ms - self._known_at_ms.get(instance.id, now_ms)
        return max(0.0, instance.cold_ms - known_ms)

    def record_outage(self, now_ms: float) -> None:
        """Record that the platform can't be read."""
        if self._outage_since_ms is None:
            self._outage_since_ms = now_ms

    def record_outage_end(self, now_ms: float) -> None:
        """Record that the platform can be read."""
        if self._is_outage_long(now_ms):
            self._hold_until_ms = now_ms + RETURN_WINDOW_MS
        self._outage_since_ms = None

    def record_store_restore(self, now_ms: float) -> None:
        """Record that the platform's store was restored from an older copy.

        Failure: servers that registered after the copy was taken have no registration,
        and every request that needs them is refused until they have registered again.
        """
        self._hold_until_ms = now_ms + RETURN_WINDOW_MS

    def apply_entries(self, entries: Iterable[Entry], now_ms: float) -> None:
        """Apply changed entries of the replica."""
        for entry in entries:
            run_step("platform_entry", self._apply_entry, entry, now_ms)
        self._rebuild_indexes()

    def _apply_entry(self, entry: Entry, now_ms: float) -> None:
        instance_id = self._decoder.instance_id(entry.key)
        if instance_id is not None:
            self._apply_instance(instance_id, entry, now_ms)
        elif self._decoder.is_route_table(entry.key) and entry.value is not None:
            self._apply_table(entry.value)

    def is_route_table(self, key: str) -> bool:
        """Return whether a key holds the route table (RoutesReader)."""
        return self._decoder.is_route_table(key)

    def routes_version(self, value: bytes) -> int | None:
        """Return the version of a route table; None if it is invalid (RoutesReader)."""
        table = self._parse_table(value)
        return None if table is None else table.version

    def tick(self, replica: Replica, now_ms: float) -> None:
        """Apply the changes that are due by time.

        Removes held instances whose registrations didn't come back, accepts instances
        that a restored store keeps listing, and updates the use of isolated ones.
        """
        self._update_isolated(now_ms)
        listed = self._departures.pop_returned(now_ms)
        returned = [each for each in listed if each.id in self.instances]
        for instance in returned:
            self._add_instance(instance)
        due = [
            found
            for found, held in self._held_removals.items()
            if now_ms >= held.until_ms
        ]
        if due:
            live = {
                self._decoder.instance_id(entry.key) for entry in replica.live_entries()
            }
            for instance_id in due:
                held = self._held_removals.pop(instance_id)
                if instance_id not in live:
                    self._remove(instance_id, held.revision, now_ms)
        if due or returned:
            self._rebuild_indexes()

    def _update_isolated(self, now_ms: float) -> None:
        """Use instances whose registrations expired while their hosts are isolated.

        Failure: a third of the hosts is cut off from the platform for some seconds,
        their registrations expire, and a service whose other server leaves has none
        left, though two can be reached. All requests that needed it were refused for
        8 s. The host itself refuses such requests once the platform reports to it that
        its server is no longer registered.
        """
        changed = False
        for instance_id, expired in list(self._expired.items()):
            if self._is_isolated(expired.instance.ip):
                expired.used_until_ms = now_ms + RETURN_WINDOW_MS
            in_use = now_ms < expired.used_until_ms
            changed = changed or in_use != expired.in_use
            expired.in_use = in_use
            if not in_use and now_ms - expired.since_ms >= EXPIRED_RETENTION_MS:
                del self._expired[instance_id]
        if changed:
            self._rebuild_indexes()

    def _apply_instance(self, instance_id: str, entry: Entry, now_ms: float) -> None:
        if entry.value is None:
            if self._may_return(instance_id, now_ms):
                until_ms = self._return_window_end_ms(now_ms)
                held = _HeldRemoval(revision=entry.revision, until_ms=until_ms)
                self._held_removals.setdefault(instance_id, held)
            else:
                self._remove(instance_id, entry.revision, now_ms)
            return
        instance = self._parse_instance(instance_id, entry.value)
        if instance is None:
            self.instances.pop(instance_id, None)
            self._held_removals.pop(instance_id, None)
            return
        self._held_removals.pop(instance_id, None)
        known = self.instances.get(instance_id)
        if known != instance:
            self._known_at_ms[instance_id] = now_ms
        if known is not None and known.incarnation != instance.incarnation:
            # A restarted server counts as the latest one at its address.
            self._first_revisions.pop(instance_id, None)
        self._record_first_revision(instance_id, entry.revision)
        self._record_first_incarnation(instance)
        self._add_instance(self._with_departure(instance, entry.revision, now_ms))

    def _parse_instance(self, instance_id: str, value: bytes) -> Instance | None:
        """Parse a registration; None if it is invalid, or can't be parsed at all."""
        try:
            return self._decoder.parse_instance(instance_id, value)
        except InvalidFieldsError as error:
            self._report_error(error)
        except Exception as error:
            report_failure("parse_instance", error)
        return None

    def _add_instance(self, instance: Instance) -> None:
        self._removed_ids.pop(instance.id, None)
        self._expired.pop(instance.id, None)
        self.instances[instance.id] = instance

    def _with_departure(
        self, instance: Instance, revision: Revision, now_ms: float
    ) -> Instance:
        """Return an instance, as leaving if a restored store lists it after it left."""
        expired = self._expired.get(instance.id)
        if expired is not None and expired.in_use:
            # Its own host reports that the server is running.
            self._departures.discard_departure(instance)
        if not self._departures.accept_registration(instance, revision, now_ms):
            return replace(instance, leaving=True)
        if instance.leaving:
            self._departures.record_departure(instance, revision)
        return instance

    def _record_first_revision(self, instance_id: str, revision: Revision) -> None:
        """Record the revision at which an instance first appeared at its address.

        An entry in a new era was either written before the copy was taken, and keeps
        the number that it had then, or was written again later. The lower number
        counts.
        """
        first = self._first_revisions.setdefault(instance_id, revision)
        if first.era < revision.era:
            number = min(first.number, revision.number)
            self._first_revisions[instance_id] = Revision(revision.era, number)

    def _record_first_incarnation(self, instance: Instance) -> None:
        """Record the first known lifetime of an instance whose id may be kept.

        A leave notice that was received before any registration counts for it.
        """
        first = self._first_incarnations
        if instance.incarnation == NO_INCARNATION or instance.id in first:
            return
        first[instance.id] = instance.incarnation
        if len(first) > MAX_REMOVED_KEYS:
            del first[next(iter(first))]
        if self._departures.has_leave_notice((instance.id, NO_INCARNATION)):
            self._departures.record_leave_notice(instance.identity)

    def _is_outage_long(self, now_ms: float) -> bool:
        since_ms = self._outage_since_ms
        return since_ms is not None and now_ms - since_ms >= MIN_EXPIRY_OUTAGE_MS

    def _may_return(self, instance_id: str, now_ms: float) -> bool:
        """Return whether a removal may only be an expiry during an outage.

        Failure: registrations that expired during a platform outage are removed at its
        end, and every request is refused until their servers have registered again.
        Registrations of running servers come back under the same ID, so the instances
        are held for that long.
        """
        known = self.instances.get(instance_id)
        if known is None or known.leaving:
            return False
        return now_ms < self._return_window_end_ms(now_ms)

    def _return_window_end_ms(self, now_ms: float) -> float:
        """Return the time until which registrations that expired in an outage return.

        The time counts from the end of the outage, not from each removal: a late
        removal may be that of a server that leaves without notice.
        """
        if self._is_outage_long(now_ms):
            return now_ms + RETURN_WINDOW_MS
        return self._hold_until_ms

    def _remove(self, instance_id: str, revision: Revision, now_ms: float) -> None:
        instance = self.instances.pop(instance_id, None)
        if instance is not None:
            self._departures.record_departure(instance, revision)
        self._known_at_ms.pop(instance_id, None)
        first_revision = self._first_revisions.pop(instance_id, UNKNOWN)
        if instance is not None and not instance.leaving:
            self._expired[instance_id] = _ExpiredRegistration(
                instance=instance, first_revision=first_revision, since_ms=now_ms
            )
        self._removed_ids[instance_id] = None
        if len(self._removed_ids) > MAX_REMOVED_KEYS:
            del self._removed_ids[next(iter(self._removed_ids))]

    def _apply_table(self, value: bytes) -> None:
        table = self._parse_table(value)
        if table is None:
            return
        if self.table is None or table.version > self.table.version:
            self.table = table

    def _parse_table(self, value: bytes) -> RouteTable | None:
        """Parse a route table, with the latest result cached.

        The replica needs its version and then the fleet the table itself.
        """
        if self._parsed_table is None or self._parsed_table[0] is not value:
            try:
                self._parsed_table = value, self._decoder.parse_route_table(value)
            except InvalidFieldsError as error:
                self._report_error(error)
                return None
            except Exception as error:
                # The replica is merging a delta, which must not end half-way.
                report_failure("parse_routes", error)
                return None
        return self._parsed_table[1]

    def _rebuild_indexes(self) -> None:
        """Index the instances by service and zone, without superseded ones.

        Failure: after a power loss the registrations of the old lifetimes stay for
        seconds beside the new ones, and half of the requests go to instances that no
        longer exist. An address has one server at a time, the one registered last.
        """
        at_address: dict[tuple[str, int], tuple[int, Instance]] = {}
        for first_revision, instance in self._usable_instances():
            address = (instance.ip, instance.port)
            known = at_address.get(address)
            # A registration that a restored store has lost is held for a while. It came
            # after those that the store lists, so numbers are compared without the era.
            if known is None or first_revision.number > known[0]:
                at_address[address] = (first_revision.number, instance)
        self._by_zone = _hosts_by_zone(instance for _, instance in at_address.values())
        self._by_service = {}
        for _, instance in at_address.values():
            if not instance.leaving:
                self._by_service.setdefault(instance.service, []).append(instance)

    def _usable_instances(self) -> Iterator[tuple[Revision, Instance]]:
        """Yield instances of configured services, each with its first revision.

        Failure: an entry of another writer names a service that doesn't exist and the
        address of a server that does. That server would get no more work.
        """
        services = self.table.server_services if self.table else frozenset()
        for instance_id, instance in self.instances.items():
            if not services or instance.service in services:
                yield self._first_revisions[instance_id], instance
        for expired in self._expired.values():
            if expired.in_use:
                yield expired.first_revision, expired.instance


def _hosts_by_zone(instances: Iterable[Instance]) -> dict[str, list[str]]:
    hosts: dict[str, set[str]] = {}
    for instance in instances:
        hosts.setdefault(instance.availability_zone, set()).add(instance.ip)
    return {zone: sorted(ips) for zone, ips in hosts.items()}
