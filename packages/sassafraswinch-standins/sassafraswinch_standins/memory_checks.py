"""Invariants of an in-memory fleet, checked while it runs."""

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
"""Time after its deadline within which a request must get its outcome: the owner's
grace of 50 ms, two ticks, and a round trip to another availability zone."""

LEAVE_KNOWN_MS = 3_000.0
"""Time within which all peers know that a host is leaving."""

LOWEST = 1_000
"""Class order below every priority class."""

LOAD_REASONS = frozenset({Reason.OVERLOADED, Reason.EVICTED})


@dataclass(slots=True, kw_only=True)
class PendingRequest:
    """Request that waits for its outcome."""

    mark: str
    identity: str
    host: str
    due_at_ms: float

    @property
    def operation(self) -> str:
        """Name of the requested operation or child call."""
        return self.identity.rpartition("/")[2].rstrip("0123456789").rstrip("-")


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Number of calls that nodes sent for one call tree, by purpose."""

    sent: Counter = field(default_factory=Counter)

    @property
    def retries(self) -> int:
        """Number of calls beyond the first one for each purpose."""
        return self.sent.total() - len(self.sent)


class Checks:
    """Record of all actual runs, against which each reported outcome is checked."""

    def __init__(self, *, schedule: Schedule):
        self.schedule = schedule
        self.runs: Counter[str] = Counter()
        """Runs on all backend servers, by the mark to which one verdict applies."""
        self.at_most_once: set[str] = set()
        """Identities of requests that may run at most once, whatever their outcomes."""
        self.at_most_once_runs: Counter[str] = Counter()
        self.last_verdicts: dict[str, Verdict] = {}
        """Last reported verdict of each mark."""
        self.not_run: set[str] = set()
        self.verdicts: Counter[str] = Counter()
        self.operations: Counter[tuple[str, Verdict]] = Counter()
        self.reasons: Counter[tuple[Verdict, Reason | None]] = Counter()
        self.open: dict[tuple[str, int], PendingRequest] = {}
        self.call_counts: defaultdict[str, CallCounts] = defaultdict(CallCounts)
        self.stamps: dict[NodeId, Stamp] = {}
        self.served: dict[str, Stamp] = {}
        self.calm = False
        """Whether no fault is active and all processes run, even if just started."""
        self.instants: dict[str, tuple[float, int]] = {}

    def fail(self, invariant: str, facts: str) -> None:
        """Stop the simulation.

        Raises:
            InvariantError: on every call.
        """
        at = f"at {self.schedule.now_ms:.1f} ms: "
        raise InvariantError(invariant=invariant, facts=at + facts)

    def record_run(self, mark: str, identity: str, host: str) -> None:
        """Check and record that a backend server began to run a request."""
        self.runs[mark] += 1
        if identity in self.at_most_once:
            self.at_most_once_runs[identity] += 1
            if self.at_most_once_runs[identity] > 1:
                self.fail("at most once", f"{identity} ran again, on {host}: {mark}")
        if mark in self.not_run:
            self.fail("NOT_RUN means not run", f"{mark} ran later, on {host}")

    def record_request(self, handle: tuple[str, int], pending: PendingRequest) -> None:
        """Record a request submitted to a node."""
        self.open[handle] = pending

    def record_outcome(self, handle: tuple[str, int], outcome: Outcome) -> None:
        """Check and record the outcome that a node gave a request."""
        pending = self.open.pop(handle, None)
        if pending is None:
            self.fail("one outcome", f"request {handle} got another: {outcome}")
        if self.schedule.now_ms > pending.due_at_ms + OUTCOME_GRACE_MS:
            overdue_ms = self.schedule.now_ms - pending.due_at_ms
            self.fail(
                "outcome by the deadline",
                f"{pending.mark} at {pending.host} was {overdue_ms:.0f} ms overdue: "
                f"{outcome.verdict} {outcome.reason}",
            )
        self.check_verdict(pending, outcome)

    def check_verdict(self, pending: PendingRequest, outcome: Outcome) -> None:
        """Check the reported outcome of a request against its actual runs."""
        self.verdicts[outcome.verdict.value] += 1
        self.reasons[outcome.verdict, outcome.reason] += 1
        self.operations[pending.operation, outcome.verdict] += 1
        self.last_verdicts[pending.mark] = outcome.verdict
        if outcome.verdict is Verdict.NOT_RUN:
            self.not_run.add(pending.mark)
            if self.runs[pending.mark]:
                self.fail(
                    "NOT_RUN means not run",
                    f"{pending.mark} had run, but {pending.host} said {outcome.reason}",
                )
        if outcome.verdict is Verdict.ANSWERED:
            echoed = outcome.body.decode()
            if echoed != pending.identity:
                self.fail(
                    "own answer", f"{pending.identity} got the answer to {echoed}"
                )

    def check_overdue(self, is_paused: set[str]) -> None:
        """Check that no request is past its deadline and grace without an outcome."""
        for pending in self.open.values():
            if pending.host in is_paused:
                continue
            if self.schedule.now_ms > pending.due_at_ms + OUTCOME_GRACE_MS:
                self.fail(
                    "outcome by the deadline",
                    f"{pending.mark} at {pending.host} has no outcome",
                )

    def extend_deadlines(self, host: str) -> None:
        """Extend the deadlines at a resumed node, which reads its input only now."""
        longest_ms = max(deadline_ms for *_, deadline_ms in CLASSES)
        for pending in self.open.values():
            if pending.host == host:
                pending.due_at_ms = self.schedule.now_ms + longest_ms

    def record_withdrawal(self, handle: tuple[str, int]) -> None:
        """Record that a caller disconnected previous its outcome."""
        self.open.pop(handle, None)

    def discard_host(self, host: str) -> list[PendingRequest]:
        """Discard the state of a crashed node and return its pending requests."""
        for node in [node for node in self.stamps if node.host == host]:
            del self.stamps[node]
        lost = [h for h, pending in self.open.items() if pending.host == host]
        return [self.open.pop(handle) for handle in lost]

    def record_call(self, call: Call, purpose: str) -> None:
        """Check and count a call that a node sent, first attempt or retry."""
        counts = self.call_counts[call.root_id]
        counts.sent[purpose] += 1
        if counts.retries > ALLOWANCE:
            self.fail(
                "retries within the allowance",
                f"{counts.retries} retries of root {call.root_id}: {dict(counts.sent)}",
            )

    def started_while_leaving(self, host: str, left_at_ms: float, call: Call) -> None:
        """Fail as a leaving node dispatched a call."""
        since_ms = self.schedule.now_ms - left_at_ms
        self.fail(
            "a leaving host starts nothing",
            f"{host} started {call.operation} {since_ms:.0f} ms after it began to "
            "leave",
        )

    def check_stopped(self, host: str, exchanges: int) -> None:
        """Check that a completed planned stop cut off no request."""
        waiting = [
            pending.mark for pending in self.open.values() if pending.host == host
        ]
        if waiting or exchanges:
            self.fail(
                "a planned stop cuts nothing",
                f"{host}: {waiting} wait, {exchanges} calls at its backend server",
            )

    def check_converged(self, stamps: dict[str, Stamp], version: int) -> None:
        """Check that all nodes hold the same document, at least the platform's.

        Args:
            stamps: stamp of the document that each node holds.
            version: version that the platform serves.
        """
        if len(set(stamps.values())) > 1 or min(stamps.values()).version < version:
            self.fail("in force everywhere", f"platform has {version}, nodes {stamps}")

    def check_nothing_in_flight(self, left: dict[str, list]) -> None:
        """Check that nothing is left in flight long after the last call."""
        if left:
            self.fail("nothing is left behind", str(left))

    def record_held_document(self, node: NodeId, stamp: Stamp) -> None:
        """Check and record which document a node holds."""
        previous = self.stamps.get(node)
        if (
            previous is not None
            and stamp != previous
            and not supersedes(stamp, previous)
        ):
            self.fail("version never falls", f"{node.host}: {previous}, then {stamp}")
        self.stamps[node] = stamp

    def record_applied_document(self, host: str, stamp: Stamp) -> None:
        """Check and record which document a host applies, over all its processes.

        A newer document is lost if no running process holds it any more; going back
        to the older one is then allowed.
        """
        previous = self.served.get(host, stamp)
        lost = not any(supersedes(held, stamp) for held in self.stamps.values())
        if self.calm and supersedes(previous, stamp) and not lost:
            self.fail("a change never reverts", f"{host}: {previous}, then {stamp}")
        self.served[host] = stamp

    def sent_to_leaving(self, sender: str, host: str, left_at_ms: float) -> None:
        """Check a call to a leaving node, sent on a link that never failed."""
        since_ms = self.schedule.now_ms - left_at_ms
        if since_ms > LEAVE_KNOWN_MS:
            self.fail(
                "no new work for a leaving host",
                f"{sender} sent {host} a call {since_ms:.0f} ms after it began to "
                "leave",
            )

    def sent_on_stale_view(self, sender: str, host: str) -> None:
        """Fail as a resumed node sent a call to a host that has not answered since."""
        self.fail("no call on an old view", f"{sender} sent {host} a call on resuming")

    def check_decision(
        self, host: str, orders: dict[object, int], decision: GateDecision
    ) -> None:
        """Check that no lower class started after a higher one was refused."""
        for refusal in decision.refused:
            if refusal.reason in LOAD_REASONS:
                self.check_admission(host, orders[refusal.key], False)
        for key in decision.start:
            self.check_admission(host, orders[key], True)

    def check_admission(self, place: str, class_order: int, admitted: bool) -> None:
        """Check that no call is admitted right after a more important one's refusal."""
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

    def count_undecided(self) -> tuple[int, int]:
        """Return how many requests ended as MAY_HAVE_RUN, and how many never ran."""
        undecided = [
            mark
            for mark, verdict in self.last_verdicts.items()
            if verdict is Verdict.MAY_HAVE_RUN
        ]
        return len(undecided), sum(1 for mark in undecided if not self.runs[mark])
