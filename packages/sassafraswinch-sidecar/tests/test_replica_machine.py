"""Stateful test of replicas of a store that is restored from older copies."""

from dataclasses import replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision

ROUTES = "routes"
HOSTS = st.integers(0, 2)
KEYS = st.sampled_from([ROUTES, "a", "b", "c"])


def servers(replica):
    """Return the values of the servers that aren't removed, by key."""
    return {
        each.key: each.value for each in replica.live_entries() if each.key != ROUTES
    }


class NumberedRoutes:
    """Routes whose value is their version (RoutesReader)."""

    def is_route_table(self, key):
        return key == ROUTES

    def routes_version(self, value):
        return int(value)


class RestoredStore(RuleBasedStateMachine):
    """Hosts that read and watch the store, request changes and are isolated.

    Attributes:
        written: what the operator and the servers wrote last; None where removed.
        items: content of the store, removals included.
        in_transit: deltas in transit, each with the receiving host.
    """

    def __init__(self):
        super().__init__()
        self.written: dict[str, bytes | None] = {}
        self.items: dict[str, Entry] = {}
        self.revision = Revision(0, 0)
        self.snapshots = [({}, Revision(0, 0))]
        self.hosts = [Replica(routes=NumberedRoutes()) for _ in range(3)]
        self.isolated: set[int] = set()
        self.in_transit: list[tuple[int, Delta]] = []
        self.version = 0
        self.seen_versions = [0, 0, 0]

    def put(self, key, value):
        era, number = self.revision
        self.revision = Revision(era, number + 1)
        self.items[key] = Entry(key=key, revision=self.revision, value=value)
        self.snapshots.append((dict(self.items), self.revision))

    def write(self, key, value):
        self.written[key] = value
        self.put(key, value)

    @rule(changes=st.lists(st.tuples(KEYS, st.binary(max_size=1)), min_size=1))
    def change(self, changes):
        """Write routes and registrations; an empty value removes a registration."""
        for key, value in changes:
            if key == ROUTES:
                self.version += 1
                self.write(key, b"%d" % self.version)
            elif value or self.written.get(key) is not None:
                self.write(key, value or None)

    @rule(back=st.integers(1, 5), again=st.booleans())
    def restore(self, back, again):
        """Revert some changes, which are written again at once or later."""
        del self.snapshots[-back:-1]
        items, revision = self.snapshots[-2:][0]
        era = self.revision.era + 1
        self.revision = Revision(era, revision.number)
        self.items = {
            key: replace(entry, revision=Revision(era, entry.revision.number))
            for key, entry in items.items()
        }
        self.snapshots[-1] = dict(self.items), self.revision
        if again:
            self.write_again()

    @rule()
    def write_again(self):
        for key, value in self.written.items():
            held = self.items.get(key)
            if (held.value if held else None) != value:
                self.put(key, value)

    @rule(host=HOSTS, reachable=st.booleans())
    def set_reachable(self, host, reachable):
        """Isolate a host from the store, or reconnect it."""
        if reachable:
            self.isolated.discard(host)
        else:
            self.isolated.add(host)

    @rule(
        host=HOSTS,
        source=st.sampled_from(["read", "watch", "ask"]),
        peer=HOSTS,
        late=st.booleans(),
    )
    def synchronise(self, host, source, peer, late):
        """Read the full store, watch it, or request changes from a peer."""
        if source == "ask":
            delta = self.hosts[peer].changes_since(self.hosts[host].position)
            self.send(host, delta, late)
            assert late or self.is_up_to_date(host, peer)
        elif host not in self.isolated:
            self.send(
                host,
                self.full_delta() if source == "read" else self.changes(host),
                late,
            )

    def changes(self, host):
        """Return the reply to a watch that sends only a number, without an era."""
        after = self.hosts[host].revision.number
        found = (e for e in self.items.values() if e.revision.number > after)
        return Delta(revision=self.revision, is_full=False, entries=tuple(found))

    def is_up_to_date(self, host, peer):
        """Return whether a host has all data of a peer that isn't behind it."""
        own, other = self.hosts[host], self.hosts[peer]
        if own.position.is_behind(other.position):
            return False
        return own.revision > other.revision or servers(own) == servers(other)

    def send(self, host, delta, late):
        if late:
            self.in_transit.append((host, delta))
        else:
            self.hosts[host].merge(delta)

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver(self, data, duplicate):
        index = data.draw(st.integers(0, len(self.in_transit) - 1))
        host, delta = (
            self.in_transit[index] if duplicate else self.in_transit.pop(index)
        )
        self.hosts[host].merge(delta)

    @invariant()
    def routes_version_never_decreases(self):
        versions = [host.routes_version for host in self.hosts]
        pairs = zip(self.seen_versions, versions, strict=True)
        assert all(seen <= version <= self.version for seen, version in pairs)
        self.seen_versions = versions

    def full_delta(self):
        live = tuple(e for e in self.items.values() if e.value is not None)
        return Delta(revision=self.revision, is_full=True, entries=live)

    def teardown(self):
        """One host reads the store; the others receive all changes from a peer."""
        self.write_again()
        first, second, third = self.hosts
        first.merge(self.full_delta())
        second.merge(first.changes_since(second.position))
        third.merge(second.changes_since(third.position))
        expected = {
            key: value for key, value in self.written.items() if value is not None
        }
        for host in self.hosts:
            assert {entry.key: entry.value for entry in host.live_entries()} == expected
            assert host.position == first.position


RestoredStore.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
test_replicas_of_a_restored_store_converge = RestoredStore.TestCase
