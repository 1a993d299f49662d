"""Fleet membership of a node: known hosts and those that accept new calls."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sassafraswinch.hosts import HostRecord, HostState, HostView
from sassafraswinch.messages import Load, NodeId

__all__ = ["HostRecord", "HostState", "Membership"]

HOST_RETENTION_MS = 7_200_000
"""Time for which a host that is off the list and silent is kept. Two regions may be
partitioned for an hour while the list is wrong, and need each other's addresses
afterwards."""

SELF_LEAVING_GRACE_MS = 60_000
"""Time after the start of a node during which a leaving mark on its own host in the
list is attributed to its previous run: twice the lag of the list."""

MAX_LEAVING_INCARNATIONS = 4
"""Incarnations of one host that are remembered as leaving."""


@dataclass(slots=True, kw_only=True)
class _Host:
    record: HostRecord
    seen_ms: float
    known_since_ms: float
    marked_ms: float
    """When the list first marked the host as leaving, after listing it as live."""
    listed: bool = True
    list_leaving: bool = False
    incarnation: int | None = None
    leaving_incarnations: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_LEAVING_INCARNATIONS)
    )
    sessions: set[int] = field(default_factory=set)
    has_reported: bool = False
    confirmed_ms: float = -math.inf
    """When the latest heartbeat that the host answered was sent."""

    def set_list_leaving(self, leaving: bool, now_ms: float) -> None:
        if leaving and not self.list_leaving:
            self.marked_ms = now_ms
        self.list_leaving = leaving

    @property
    def leaving(self) -> bool:
        return self.list_leaving or self.incarnation in self.leaving_incarnations


class Membership:
    """One node's view of the fleet.

    The platform's host list is a hint: it may lag, lack hosts or go back to an older
    version. It adds hosts and marks them as leaving. What a host reports of itself
    takes precedence, and a host that answers is never removed.

    Args:
        self_host: name of the host that this node runs on.
        self_leaving_grace_ms: time after the start of the node during which a leaving
            mark on its own host is ignored; at least the lag of the list.
    """

    def __init__(
        self, *, self_host: str, self_leaving_grace_ms: float = SELF_LEAVING_GRACE_MS
    ):
        self._self_host = self_host
        self._self_leaving_grace_ms = self_leaving_grace_ms
        self._hosts: dict[str, _Host] = {}
        self._list_version = 0
        self._confirmed_since_ms = -math.inf
        self._candidates: dict[str, tuple[HostView, ...]] = {}

    @property
    def list_version(self) -> int:
        """Version of the newest host list applied; 0 for none."""
        return self._list_version

    @property
    def self_leaving(self) -> bool:
        """Whether the list marks this node's own host as leaving.

        Failure: a host is stopped and its node starts again before the list has
        caught up; when the list then marks the host, the new process would stop as
        well. A mark that appears soon after the start is therefore attributed to the
        previous process; a host that has to leave that early gets a signal.
        """
        own = self._hosts.get(self._self_host)
        if own is None or not own.list_leaving:
            return False
        return own.marked_ms - own.known_since_ms >= self._self_leaving_grace_ms

    def apply_host_list(
        self, records: Iterable[HostRecord], version: int, now_ms: float
    ) -> None:
        """Apply a host list of the platform.

        Failures: an old list marks a leaving host as live again, or a restarted one
        as leaving; an empty or incomplete list removes hosts that work. Therefore
        only a newer version marks hosts, and no version removes a host that was
        seen within ``HOST_RETENTION_MS``.

        Args:
            records: all hosts of the list.
            version: version of the list.
            now_ms: monotonic milliseconds.
        """
        newer = version > self._list_version
        by_name = {record.name: record for record in records}
        self.add_hosts(by_name.values(), now_ms)
        if newer:
            self._list_version = version
            for name, host in self._hosts.items():
                host.listed = name in by_name
                if host.listed:
                    host.record = by_name[name]
                    host.set_list_leaving(
                        host.record.state is HostState.LEAVING, now_ms
                    )
        self._candidates.clear()

    def add_hosts(self, records: Iterable[HostRecord], now_ms: float) -> None:
        """Add unknown hosts, for example from a peer; known hosts stay unchanged."""
        for record in records:
            if record.name not in self._hosts:
                self._hosts[record.name] = _Host(
                    record=record,
                    seen_ms=now_ms,
                    known_since_ms=now_ms,
                    marked_ms=now_ms,
                    list_leaving=record.state is HostState.LEAVING,
                )
        self._candidates.clear()

    def link_up(
        self, host: str, incarnation: int, now_ms: float, *, session: int = 0
    ) -> None:
        """Record that a link dialled by this node is up.

        A new incarnation starts without a leaving mark: the mark of the list was for
        the previous process, and the new one reports itself whether it leaves. It
        gets no calls until its first message has been received.
        """
        known = self._hosts.get(host)
        if known is None:
            return
        if known.incarnation != incarnation:
            if known.incarnation is not None:
                known.list_leaving = False
            known.incarnation = incarnation
            known.sessions.clear()
            known.has_reported = False
            known.confirmed_ms = -math.inf
        known.sessions.add(session)
        known.seen_ms = now_ms
        self._candidates.clear()

    def link_lost(self, host: str, now_ms: float, *, session: int = 0) -> None:
        """Record that a link is closed; others to the host may still be up."""
        known = self._hosts.get(host)
        if known is not None:
            known.sessions.discard(session)
            self._candidates.clear()

    def record_silent_link(self, host: str, now_ms: float, *, session: int = 0) -> None:
        """Record that a link answers no heartbeats; no more calls are sent on it."""
        self.link_lost(host, now_ms, session=session)

    def record_report(self, node: NodeId, load: Load, now_ms: float) -> None:
        """Record what a host reports of itself on a heartbeat or an answer.

        An incarnation that once reported itself as leaving stays so, because its
        messages may arrive out of order over two links.
        """
        host = self._hosts.get(node.host)
        if host is None:
            return
        host.seen_ms = now_ms
        if load.leaving and node.incarnation not in host.leaving_incarnations:
            host.leaving_incarnations.append(node.incarnation)
            self._candidates.clear()
        if not host.has_reported and node.incarnation == host.incarnation:
            host.has_reported = True
            self._candidates.clear()

    def record_round_trip(self, host: str, sent_at_ms: float, now_ms: float) -> None:
        """Record that a host answered a heartbeat sent at ``sent_at_ms``."""
        known = self._hosts.get(host)
        if known is None:
            return
        was_unconfirmed = known.confirmed_ms < self._confirmed_since_ms
        known.seen_ms = now_ms
        known.confirmed_ms = max(known.confirmed_ms, sent_at_ms)
        if was_unconfirmed and known.confirmed_ms >= self._confirmed_since_ms:
            self._candidates.clear()

    def require_fresh_round_trips(self, now_ms: float) -> None:
        """Send no calls to a host until it answers a heartbeat sent from now on.

        Failure: a process resumes after a long pause and, by its stale view, sends
        calls to hosts that left meanwhile. Heartbeats in its receive buffers look
        fresh but are as old as the pause. Only the answer to a heartbeat sent from
        now on proves that all messages before it have been read.
        """
        self._confirmed_since_ms = now_ms
        self._candidates.clear()

    def is_isolated(self) -> bool:
        """Return whether no other host is reachable over a link."""
        linked = (h for h in self._hosts.values() if h.sessions)
        return not any(self._view(host).linked for host in linked)

    def knows(self, host: str) -> bool:
        """Return whether a host of this name is known."""
        return host in self._hosts

    def host_record(self, host: str) -> HostRecord | None:
        """Return the newest record of a host."""
        known = self._hosts.get(host)
        return known.record if known else None

    def candidates(self, service: str, now_ms: float) -> tuple[HostView, ...]:
        """Return the hosts of a service that are not leaving."""
        found = self._candidates.get(service)
        if found is None:
            found = tuple(
                self._view(host)
                for host in self._hosts.values()
                if host.record.service == service and not host.leaving
            )
            self._candidates[service] = found
        return found

    def views(self, now_ms: float) -> tuple[HostView, ...]:
        """Return all known hosts, for the operators' status."""
        return tuple(self._view(host) for host in self._hosts.values())

    def peers(self, now_ms: float) -> tuple[HostRecord, ...]:
        """Return the other hosts to dial; those off the list come last."""
        others = (
            host for host in self._hosts.values() if host.record.name != self._self_host
        )
        dial_order = sorted(others, key=lambda host: (not host.listed, host.leaving))
        return tuple(host.record for host in dial_order)

    def records(self) -> tuple[HostRecord, ...]:
        """Return the records of all known hosts, to send to a restarted peer."""
        return tuple(host.record for host in self._hosts.values())

    def tick(self, now_ms: float) -> None:
        """Evict hosts that are off the list and silent for ``HOST_RETENTION_MS``."""
        expired = [
            name
            for name, host in self._hosts.items()
            if not host.listed
            and not host.sessions
            and now_ms - host.seen_ms >= HOST_RETENTION_MS
        ]
        for name in expired:
            del self._hosts[name]
        if expired:
            self._candidates.clear()

    def _view(self, host: _Host) -> HostView:
        local = host.record.name == self._self_host
        confirmed = host.confirmed_ms >= self._confirmed_since_ms
        return HostView(
            name=host.record.name,
            service=host.record.service,
            availability_zone=host.record.availability_zone,
            leaving=host.leaving,
            linked=local or (bool(host.sessions) and host.has_reported and confirmed),
            local=local,
        )
