"""Invariants of a fleet in memory, checked while it runs."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from sassafraswinch.errors import InvariantError
from sassafraswinch.gate import GateDecision
from sassafraswinch.messages import Call, NodeId
from sassafraswinch.requests import Outcome
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch.version_claims import Stamp, supersedes
from sassafraswinch_standins.memory_document import ALLOWANCE, CLASSES
from sassafraswinch_standins.memory_schedule import Schedule

OUTCOME_GRACE_MS = 150.0
"""Time past its deadline by which a request must have its outcome: the owner's own
grace of 50 ms, two ticks, and a round trip to another availability zone."""

LEAVE_KNOWN_MS = 3_000.0
"""Time by which all peers know that a host leaves."""

LOWEST = 1_000
"""Beyond every class."""

REFUSED_FOR_LOAD = frozenset({Reason.OVERLOADED, Reason.EVICTED})


@dataclass(slots=True, kw_only=True)
class Asked:
    """A request that waits for its outcome."""

    mark: str
    identity: str
    host: str
    due_at_ms: float

    @property
    def operation(self) -> str:
        """The operation, or the child call, that is asked for."""
        return self.identity.rpartition("/")[2].rstrip("0123456789").rstrip("-")


@dataclass(slots=True, kw_only=True)
class Tries:
    """Calls that nodes sent for one whole request, by what they are for."""

    sent: Counter = field(default_factory=Counter)

    @property
    def retries(self) -> int:
        """Calls beyond the first one for each purpose."""
        return self.sent.total() - len(self.sent)


class Checks:
    """Knows the truth about runs and holds all that callers are told against it."""

    def __init__(self, *, schedule: Schedule):
        self.schedule = schedule
        self.runs: Counter[str] = Counter()
        """Runs on all backend servers, by mark: what one verdict is told of."""
        self.once: set[str] = set()
        """Identities of what may run once at most, whatever is told meanwhile."""
        self.once_runs: Counter[str] = Counter()
        self.told: dict[str, Verdict] = {}
        """The last verdict told of each mark."""
        self.not_run: set[str] = set()
        self.verdicts: Counter[str] = Counter()
        self.operations: Counter[tuple[str, Verdict]] = Counter()
        self.reasons: Counter[tuple[Verdict, Reason | None]] = Counter()
        self.open: dict[tuple[str, int], Asked] = {}
        self.tries: defaultdict[str, Tries] = defaultdict(Tries)
        self.stamps: dict[NodeId, Stamp] = {}
        self.served: dict[str, Stamp] = {}
        self.calm = False
        """Whether nothing fails and all processes run, though some just started."""
        self.instants: dict[str, tuple[float, int]] = {}

    def fail(self, invariant: str, facts: str) -> None:
        """Stop the run.

        Raises:
            InvariantError: always.
        """
        at = f"at {self.schedule.now_ms:.1f} ms: "
        raise InvariantError(invariant=invariant, facts=at + facts)

    def ran(self, mark: str, identity: str, host: str) -> None:
        """A backend server began to run a request."""
        self.runs[mark] += 1
        if identity in self.once:
            self.once_runs[identity] += 1
            if self.once_runs[identity] > 1:
                self.fail("at most once", f"{identity} ran again, on {host}: {mark}")
        if mark in self.not_run:
            self.fail("NOT_RUN means not run", f"{mark} ran later, on {host}")

    def asked(self, handle: tuple[str, int], asked: Asked) -> None:
        """A request was handed to a node."""
        self.open[handle] = asked

    def responded(self, handle: tuple[str, int], outcome: Outcome) -> None:
        """A node gave a request its outcome."""
        asked = self.open.pop(handle, None)
        if asked is None:
            self.fail("one outcome", f"request {handle} got another: {outcome}")
        if self.schedule.now_ms > asked.due_at_ms + OUTCOME_GRACE_MS:
            late_ms = self.schedule.now_ms - asked.due_at_ms
            self.fail(
                "outcome by the deadline",
                f"{asked.mark} at {asked.host} was {late_ms:.0f} ms late: "
                f"{outcome.verdict} {outcome.reason}",
            )
        self.tell(asked, outcome)

    def tell(self, asked: Asked, outcome: Outcome) -> None:
        """Hold what is told of a request against the truth."""
        self.verdicts[outcome.verdict.value] += 1
        self.reasons[outcome.verdict, outcome.reason] += 1
        self.operations[asked.operation, outcome.verdict] += 1
        self.told[asked.mark] = outcome.verdict
        if outcome.verdict is Verdict.NOT_RUN:
            self.not_run.add(asked.mark)
            if self.runs[asked.mark]:
                self.fail(
                    "NOT_RUN means not run",
                    f"{asked.mark} had run, but {asked.host} said {outcome.reason}",
                )
        if outcome.verdict is Verdict.ANSWERED:
            echoed = outcome.body.decode()
            if echoed != asked.identity:
                self.fail("own answer", f"{asked.identity} got that of {echoed}")

    def late(self, is_paused: set[str]) -> None:
        """Look for requests that are past their time without an outcome."""
        for asked in self.open.values():
            if asked.host in is_paused:
                continue
            if self.schedule.now_ms > asked.due_at_ms + OUTCOME_GRACE_MS:
                self.fail(
                    "outcome by the deadline", f"{asked.mark} at {asked.host} has none"
                )

    def resumed(self, host: str) -> None:
        """A paused node goes on; it takes in only now what came meanwhile."""
        longest_ms = max(deadline_ms for *_, deadline_ms in CLASSES)
        for asked in self.open.values():
            if asked.host == host:
                asked.due_at_ms = self.schedule.now_ms + longest_ms

    def withdrawn(self, handle: tuple[str, int]) -> None:
        """A caller has gone before its outcome."""
        self.open.pop(handle, None)

    def host_gone(self, host: str) -> list[Asked]:
        """Take out what waited at a node that died, and what it knew."""
        for node in [node for node in self.stamps if node.host == host]:
            del self.stamps[node]
        lost = [h for h, asked in self.open.items() if asked.host == host]
        return [self.open.pop(handle) for handle in lost]

    def sent(self, call: Call, purpose: str) -> None:
        """A node sent a call, as a first try or as a retry."""
        tries = self.tries[call.root_id]
        tries.sent[purpose] += 1
        if tries.retries > ALLOWANCE:
            self.fail(
                "retries within the allowance",
                f"{tries.retries} retries of root {call.root_id}: {dict(tries.sent)}",
            )

    def started_while_leaving(self, host: str, left_at_ms: float, call: Call) -> None:
        """A node that leaves dispatched a call."""
        since_ms = self.schedule.now_ms - left_at_ms
        self.fail(
            "a leaving host starts nothing",
            f"{host} started {call.operation} {since_ms:.0f} ms after it left",
        )

    def stopped(self, host: str, exchanges: int) -> None:
        """A planned stop has come to its end."""
        waiting = [asked.mark for asked in self.open.values() if asked.host == host]
        if waiting or exchanges:
            self.fail(
                "a planned stop cuts nothing",
                f"{host}: {waiting} wait, {exchanges} at its backend server",
            )

    def converged(self, stamps: dict[str, Stamp], version: int) -> None:
        """Nodes that have been connected for long enough hold these documents.

        Args:
            stamps: what each node holds.
            version: what the platform hands out.
        """
        if len(set(stamps.values())) > 1 or min(stamps.values()).version < version:
            self.fail("in force everywhere", f"platform has {version}, nodes {stamps}")

    def quiet(self, left: dict[str, list]) -> None:
        """Nothing may be left in flight long after the last call."""
        if left:
            self.fail("nothing is left behind", str(left))

    def holds(self, node: NodeId, stamp: Stamp) -> None:
        """Note which document a node holds."""
        before = self.stamps.get(node)
        if before is not None and stamp != before and not supersedes(stamp, before):
            self.fail("version never falls", f"{node.host}: {before}, then {stamp}")
        self.stamps[node] = stamp

    def serves(self, host: str, stamp: Stamp) -> None:
        """Note by which document a host lets requests in, over all its processes.

        Where no running process holds the newer one any more, it is lost.
        """
        before = self.served.get(host, stamp)
        lost = not any(supersedes(held, stamp) for held in self.stamps.values())
        if self.calm and supersedes(before, stamp) and not lost:
            self.fail("a change never reverts", f"{host}: {before}, then {stamp}")
        self.served[host] = stamp

    def sent_to_leaving(self, sender: str, host: str, left_at_ms: float) -> None:
        """A node sent a call to one that leaves, on a link that never failed."""
        since_ms = self.schedule.now_ms - left_at_ms
        if since_ms > LEAVE_KNOWN_MS:
            self.fail(
                "no new work for a leaving host",
                f"{sender} sent {host} a call {since_ms:.0f} ms after it left",
            )

    def sent_on_old_view(self, sender: str, host: str) -> None:
        """A node that woke sent a call to a host which hasn't answered it since."""
        self.fail("no call on an old view", f"{sender} sent {host} a call on waking")

    def decided(
        self, host: str, orders: dict[object, int], decision: GateDecision
    ) -> None:
        """Look for a lower class that started after a higher one was refused."""
        for refusal in decision.refused:
            if refusal.reason in REFUSED_FOR_LOAD:
                self.admitted(host, orders[refusal.key], False)
        for key in decision.start:
            self.admitted(host, orders[key], True)

    def admitted(self, place: str, class_order: int, admitted: bool) -> None:
        """Note what was decided on a call; not after a more important one's refusal."""
        at_ms, refused = self.instants.get(place, (-1.0, LOWEST))
        if at_ms != self.schedule.now_ms:
            refused = LOWEST
        if admitted and class_order > refused:
            self.fail(
                "no inversions",
                f"{place}: class {class_order} started, class {refused} was refused",
            )
        if not admitted:
            refused = min(refused, class_order)
        self.instants[place] = self.schedule.now_ms, refused

    def unproved(self) -> tuple[int, int]:
        """Return how many requests got MAY_HAVE_RUN last, and how many never ran."""
        open_ended = [
            mark
            for mark, verdict in self.told.items()
            if verdict is Verdict.MAY_HAVE_RUN
        ]
        return len(open_ended), sum(1 for mark in open_ended if not self.runs[mark])
