"""Replicas of a store that is restored from copies, against the writers' own record."""

from dataclasses import replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import Revision

ROUTES = "routes"
HOSTS = st.integers(0, 2)
KEYS = st.sampled_from([ROUTES, "a", "b", "c"])


def servers(replica):
    """Return the entries of servers that aren't removed."""
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
    """Hosts that read, watch, ask each other, and are cut off from the store.

    Attributes:
        record: what the operator and the servers wrote last; None where removed.
        items: what the store holds, removals included.
        late: messages under way, each with the host that it goes to.
    """

    def __init__(self):
        super().__init__()
        self.record: dict[str, bytes | None] = {}
        self.items: dict[str, Entry] = {}
        self.revision = Revision(0, 0)
        self.copies = [({}, Revision(0, 0))]
        self.hosts = [Replica(routes=NumberedRoutes()) for _ in range(3)]
        self.cut: set[int] = set()
        self.late: list[tuple[int, Delta]] = []
        self.version = 0
        self.seen_versions = [0, 0, 0]

    def put(self, key, value):
        era, number = self.revision
        self.revision = Revision(era, number + 1)
        self.items[key] = Entry(key=key, revision=self.revision, value=value)
        self.copies.append((dict(self.items), self.revision))

    def write(self, key, value):
        self.record[key] = value
        self.put(key, value)

    @rule(changes=st.lists(st.tuples(KEYS, st.binary(max_size=1)), min_size=1))
    def change(self, changes):
        """Write routes and entries of servers; an empty value removes a server."""
        for key, value in changes:
            if key == ROUTES:
                self.version += 1
                self.write(key, b"%d" % self.version)
            elif value or self.record.get(key) is not None:
                self.write(key, value or None)

    @rule(back=st.integers(1, 5), again=st.booleans())
    def restore(self, back, again):
        """Go back some changes, which are written again at once or later."""
        del self.copies[-back:-1]
        items, revision = self.copies[-2:][0]
        era = self.revision.era + 1
        self.revision = Revision(era, revision.number)
        self.items = {
            key: replace(entry, revision=Revision(era, entry.revision.number))
            for key, entry in items.items()
        }
        self.copies[-1] = dict(self.items), self.revision
        if again:
            self.write_again()

    @rule()
    def write_again(self):
        for key, value in self.record.items():
            held = self.items.get(key)
            if (held.value if held else None) != value:
                self.put(key, value)

    @rule(host=HOSTS, reached=st.booleans())
    def reach(self, host, reached):
        """Cut a host off from the store, or end that."""
        if reached:
            self.cut.discard(host)
        else:
            self.cut.add(host)

    @rule(
        host=HOSTS,
        way=st.sampled_from(["read", "watch", "ask"]),
        peer=HOSTS,
        late=st.booleans(),
    )
    def learn(self, host, way, peer, late):
        """Read the store whole, watch it, or ask a peer."""
        if way == "ask":
            told = self.hosts[peer].changes_since(self.hosts[host].position)
            self.send(host, told, late)
            assert late or self.knows_all(host, peer)
        elif host not in self.cut:
            self.send(host, self.whole() if way == "read" else self.news(host), late)

    def news(self, host):
        """Return the answer to a watch of which the store knows the number alone."""
        after = self.hosts[host].revision.number
        found = (e for e in self.items.values() if e.revision.number > after)
        return Delta(revision=self.revision, is_full=False, entries=tuple(found))

    def knows_all(self, host, peer):
        """Return whether a host knows what a peer knows that isn't behind it."""
        own, other = self.hosts[host], self.hosts[peer]
        if own.position.is_behind(other.position):
            return False
        return own.revision > other.revision or servers(own) == servers(other)

    def send(self, host, delta, late):
        if late:
            self.late.append((host, delta))
        else:
            self.hosts[host].merge(delta)

    @precondition(lambda self: self.late)
    @rule(data=st.data(), twice=st.booleans())
    def deliver(self, data, twice):
        index = data.draw(st.integers(0, len(self.late) - 1))
        host, delta = self.late[index] if twice else self.late.pop(index)
        self.hosts[host].merge(delta)

    @invariant()
    def routes_never_fall(self):
        versions = [host.routes_version for host in self.hosts]
        pairs = zip(self.seen_versions, versions, strict=True)
        assert all(seen <= version <= self.version for seen, version in pairs)
        self.seen_versions = versions

    def whole(self):
        live = tuple(e for e in self.items.values() if e.value is not None)
        return Delta(revision=self.revision, is_full=True, entries=live)

    def teardown(self):
        """One host reads the store; the others hear of all changes from a peer."""
        self.write_again()
        first, second, third = self.hosts
        first.merge(self.whole())
        second.merge(first.changes_since(second.position))
        third.merge(second.changes_since(third.position))
        expected = {
            key: value for key, value in self.record.items() if value is not None
        }
        for host in self.hosts:
            assert {entry.key: entry.value for entry in host.live_entries()} == expected
            assert host.position == first.position


RestoredStore.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=30
)
test_copies_of_a_restored_store_end_equal = RestoredStore.TestCase
