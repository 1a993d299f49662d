"""Which hosts there are and which take new work, from the list and from links."""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from sassafraswinch.hosts import HostRecord, HostState, HostView
from sassafraswinch.messages import Load, NodeId

__all__ = ["HostRecord", "HostState", "Membership"]

FORGET_MS = 7_200_000
"""A host that is off the list and silent is kept this long: two regions may lose
each other for an hour while the list is wrong, and need the addresses afterwards."""

OWN_MARK_MS = 60_000
"""Time after its start in which a node takes a mark of its own host in the list for
one of its earlier run: twice the lag of the list."""

LEFT_INCARNATIONS = 4
"""Incarnations of one host remembered as leaving."""


@dataclass(slots=True, kw_only=True)
class _Host:
    record: HostRecord
    seen_ms: float
    known_since_ms: float
    marked_ms: float
    """When the list first showed it leaving, after showing it live."""
    listed: bool = True
    list_leaving: bool = False
    incarnation: int | None = None
    left: deque[int] = field(default_factory=lambda: deque(maxlen=LEFT_INCARNATIONS))
    sessions: set[int] = field(default_factory=set)
    heard: bool = False
    proved_ms: float = -math.inf

    def mark(self, leaving: bool, now_ms: float) -> None:
        if leaving and not self.list_leaving:
            self.marked_ms = now_ms
        self.list_leaving = leaving

    @property
    def leaving(self) -> bool:
        return self.list_leaving or self.incarnation in self.left


class Membership:
    """One node's view of the fleet.

    The platform's list is a hint that lags, shrinks or goes backwards. It adds
    hosts and marks them; what a host says of itself weighs more, and a host
    that answers is never removed.

    Args:
        self_host: name of the host that this node runs on.
        own_mark_ms: how long after its start a node ignores that the list says it
            leaves; at least the lag of the list.
    """

    def __init__(self, *, self_host: str, own_mark_ms: float = OWN_MARK_MS):
        self._self_host = self_host
        self._own_mark_ms = own_mark_ms
        self._hosts: dict[str, _Host] = {}
        self._list_version = 0
        self._trusted_after_ms = -math.inf
        self._candidates: dict[str, tuple[HostView, ...]] = {}

    @property
    def list_version(self) -> int:
        """Version of the newest host list taken in; 0 for none."""
        return self._list_version

    @property
    def self_leaving(self) -> bool:
        """Whether the list says that this node's own host leaves.

        Failure guarded against: a host is stopped and its node starts again while
        the list still lags; then the list marks it, and the new process would stop
        as well. A mark that appears within ``own_mark_ms`` of the start was for the
        process before; a host that is to leave so early is told by a signal.
        """
        own = self._hosts.get(self._self_host)
        if own is None or not own.list_leaving:
            return False
        return own.marked_ms - own.known_since_ms >= self._own_mark_ms

    def replace(
        self, records: Iterable[HostRecord], version: int, now_ms: float
    ) -> None:
        """Take in a host list of the platform.

        Failures guarded against: an old list marks a leaving host as live
        again, or a restarted one as leaving; an empty or shrunken list takes
        hosts away that work. Only a newer version marks hosts; none removes a
        host that was seen within ``FORGET_MS``.

        Args:
            records: all hosts of the list.
            version: version of the list.
            now_ms: monotonic milliseconds.
        """
        newer = version > self._list_version
        by_name = {record.name: record for record in records}
        self.learn(by_name.values(), now_ms)
        if newer:
            self._list_version = version
            for name, host in self._hosts.items():
                host.listed = name in by_name
                if host.listed:
                    host.record = by_name[name]
                    host.mark(host.record.state is HostState.LEAVING, now_ms)
        self._candidates.clear()

    def learn(self, records: Iterable[HostRecord], now_ms: float) -> None:
        """Add hosts not known yet, as from a peer; changes no known host."""
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
        """Take in that this node's own link to a host is up.

        A new incarnation starts clean: the list's mark was for the process
        before it, and the new one says itself whether it leaves. It takes no
        work until its first word is heard.
        """
        known = self._hosts.get(host)
        if known is None:
            return
        if known.incarnation != incarnation:
            if known.incarnation is not None:
                known.list_leaving = False
            known.incarnation = incarnation
            known.sessions.clear()
            known.heard = False
            known.proved_ms = -math.inf
        known.sessions.add(session)
        known.seen_ms = now_ms
        self._candidates.clear()

    def link_lost(self, host: str, now_ms: float, *, session: int = 0) -> None:
        """Take in that a link is closed; others to the host may still be up."""
        known = self._hosts.get(host)
        if known is not None:
            known.sessions.discard(session)
            self._candidates.clear()

    def silent(self, host: str, now_ms: float, *, session: int = 0) -> None:
        """Take in that a link answers no heartbeats; it takes no more work."""
        self.link_lost(host, now_ms, session=session)

    def heard(self, node: NodeId, load: Load, now_ms: float) -> None:
        """Take in what a host says of itself, on a heartbeat or an answer.

        An incarnation that said it leaves never stops leaving: its messages
        may arrive out of order over two links.
        """
        host = self._hosts.get(node.host)
        if host is None:
            return
        host.seen_ms = now_ms
        if load.leaving and node.incarnation not in host.left:
            host.left.append(node.incarnation)
            self._candidates.clear()
        if not host.heard and node.incarnation == host.incarnation:
            host.heard = True
            self._candidates.clear()

    def round_trip(self, host: str, sent_at_ms: float, now_ms: float) -> None:
        """Take in that a host answered a heartbeat sent at ``sent_at_ms``."""
        known = self._hosts.get(host)
        if known is None:
            return
        distrusted = known.proved_ms < self._trusted_after_ms
        known.seen_ms = now_ms
        known.proved_ms = max(known.proved_ms, sent_at_ms)
        if distrusted and known.proved_ms >= self._trusted_after_ms:
            self._candidates.clear()

    def distrust(self, now_ms: float) -> None:
        """Hold back all work for other hosts until each proves its link anew.

        Failure guarded against: a process paused for long wakes and sends work
        by its old view, to hosts that left meanwhile. Heartbeats that lay in
        its buffers look fresh but are as old as the pause; only an answer to a
        heartbeat sent from now on proves that all before it has been read.
        """
        self._trusted_after_ms = now_ms
        self._candidates.clear()

    def isolated(self) -> bool:
        """Return whether no other host can be reached over a link."""
        linked = (h for h in self._hosts.values() if h.sessions)
        return not any(self._view(host).linked for host in linked)

    def knows(self, host: str) -> bool:
        """Return whether a host of this name is known."""
        return host in self._hosts

    def record(self, host: str) -> HostRecord | None:
        """Return the newest record of a host."""
        known = self._hosts.get(host)
        return known.record if known else None

    def candidates(self, service: str, now_ms: float) -> tuple[HostView, ...]:
        """Return the hosts of a service that don't leave."""
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
        """Return every known host, for operators."""
        return tuple(self._view(host) for host in self._hosts.values())

    def peers(self, now_ms: float) -> tuple[HostRecord, ...]:
        """Return the other hosts, to dial; those off the list come last."""
        others = (
            host for host in self._hosts.values() if host.record.name != self._self_host
        )
        by_standing = sorted(others, key=lambda host: (not host.listed, host.leaving))
        return tuple(host.record for host in by_standing)

    def records(self) -> tuple[HostRecord, ...]:
        """Return all known hosts, to hand to a restarted peer."""
        return tuple(host.record for host in self._hosts.values())

    def tick(self, now_ms: float) -> None:
        """Forget hosts that are off the list and silent for ``FORGET_MS``."""
        gone = [
            name
            for name, host in self._hosts.items()
            if not host.listed
            and not host.sessions
            and now_ms - host.seen_ms >= FORGET_MS
        ]
        for name in gone:
            del self._hosts[name]
        if gone:
            self._candidates.clear()

    def _view(self, host: _Host) -> HostView:
        local = host.record.name == self._self_host
        proved = host.proved_ms >= self._trusted_after_ms
        return HostView(
            name=host.record.name,
            service=host.record.service,
            availability_zone=host.record.availability_zone,
            leaving=host.leaving,
            linked=local or (bool(host.sessions) and host.heard and proved),
            local=local,
        )
