"""Failures of a whole fleet, one by one, on a simulated clock."""

from sassafraswinch.membership import HostState
from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_backend import MARK_HEADER, PURPOSE_HEADER
from sassafraswinch_standins.memory_checks import Asked
from sassafraswinch_standins.memory_fleet import Fleet

SETTLED_MS = 4_000


class Desk:
    """One caller that chooses its nodes and keeps every outcome."""

    def __init__(self, seed: int = 1):
        self.fleet = Fleet(seed=seed)
        self.fleet.run_for(SETTLED_MS)

    def release(
        self, host: str, mark: str, ticket: str | None, deadline_ms: float = 2_000
    ) -> list[Outcome]:
        """Ask a node for a release of goods; the list takes the outcome."""
        return self.ask(
            host, mark, "vydej", "POST", "/orders/17/release", ticket, deadline_ms
        )

    def ask(
        self, host, mark, service, method, target, ticket=None, deadline_ms=1_500
    ) -> list[Outcome]:
        """Send a request to a node."""
        told = []
        request = Request(
            handle=0,
            service=service,
            method=method,
            target=target,
            headers=((MARK_HEADER, mark), (PURPOSE_HEADER, mark)),
            body=mark.encode(),
            organisation="acme",
            ticket=ticket,
        )
        if method == "POST":
            self.fleet.checks.once.add(mark)
        due_at_ms = self.fleet.schedule.now_ms + deadline_ms
        asked = Asked(mark=mark, identity=mark, host=host, due_at_ms=due_at_ms)
        self.fleet.processes[host].submit(request, asked, told.append)
        return told

    def ticket(self, host: str) -> str:
        """Return a fresh ticket of a node for a release."""
        told = self.release(host, f"none-{self.fleet.schedule.now_ms}", None)
        self.fleet.run_for(1)
        assert told[0].reason is Reason.TICKET_REQUIRED
        return told[0].ticket

    def slow(self, factor: float) -> None:
        """Let all backend servers take this much longer."""
        for backend in self.fleet.backends.values():
            backend.faults.slow_factor = factor


def test_forwarded_request_ends_by_its_deadline():
    """A caller repeats a release through another node while the ticket's owner is
    paused. The link to it stays open and silent, so the forward never comes back.

    The caller waited 10 s, the bound of a forward, for a request of 2 s.
    """
    desk = Desk()
    ticket = desk.ticket("vydej-a")
    desk.fleet.pause("vydej-a")
    told = desk.release("archiv-b", "goods", ticket)
    desk.fleet.run_for(2_200)
    assert [outcome.verdict for outcome in told] == [Verdict.MAY_HAVE_RUN]


def test_repeat_of_a_given_up_request_ends_by_its_own_deadline():
    """A release hangs on a backend server that never answers. Its caller is told
    may-have-run at the deadline and sends the same ticket again.

    The repeat joined a call whose deadline was past, and nobody looked at it again
    for ten minutes.
    """
    desk = Desk()
    ticket = desk.ticket("archiv-a")
    desk.slow(10_000)
    first = desk.release("archiv-a", "goods", ticket)
    desk.fleet.run_for(1_000)
    for host in ("vydej-a", "vydej-c"):
        desk.fleet.pause(host)
    desk.fleet.run_for(1_200)
    assert [outcome.verdict for outcome in first] == [Verdict.MAY_HAVE_RUN]
    second = desk.release("archiv-a", "goods", ticket)
    desk.fleet.run_for(2_200)
    assert [outcome.verdict for outcome in second] == [Verdict.MAY_HAVE_RUN]


def test_child_of_an_ended_parent_ends_by_its_deadline():
    """An approval's backend server waits for a release while its node gives the
    approval up. The release may have run, so its fate stays open below.

    The backend server's own request got no outcome for ten minutes.
    """
    desk = Desk()
    ticket_told = desk.ask(
        "schvaleni-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    desk.fleet.run_for(1)
    desk.slow(10_000)
    desk.fleet.backends["schvaleni-a"].faults.slow_factor = 1.0
    for host in ("schvaleni-b", "schvaleni-c"):
        desk.fleet.kill(host)
    for host in ("archiv-a", "archiv-b"):
        desk.fleet.backends[host].faults.slow_factor = 1.0
    told = desk.ask(
        "schvaleni-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_told[0].ticket,
        2_000,
    )
    desk.fleet.run_for(500)
    for host in ("vydej-a", "vydej-c"):
        desk.fleet.pause(host)
    desk.fleet.run_for(3_000)
    assert [outcome.verdict for outcome in told] == [Verdict.MAY_HAVE_RUN]
    assert not desk.fleet.checks.open


def test_node_without_a_document_proves_nothing_about_a_ticket():
    """A release runs; its caller repeats it through a node that has just started and
    has no document yet, and is told not-run.

    The caller then takes a new ticket, and the supplier ships twice.
    """
    desk = Desk()
    ticket = desk.ticket("archiv-a")
    told = desk.release("archiv-a", "goods", ticket)
    desk.fleet.run_for(500)
    assert [outcome.verdict for outcome in told] == [Verdict.ANSWERED]
    desk.fleet.kill("archiv-b")
    desk.fleet.platform_down()
    desk.fleet.restart("archiv-b")
    told = desk.release("archiv-b", "goods", ticket)
    desk.fleet.run_for(1)
    assert [outcome.verdict for outcome in told] == [Verdict.MAY_HAVE_RUN]


def test_restarted_node_takes_no_calls_before_it_serves_a_document():
    """A host of schvaleni restarts. For three seconds it asks its peers for the newest
    document; meanwhile others already send it calls.

    It started approvals whose own calls it then refused for want of a document: the
    order was looked at by nobody, and no goods were released.
    """
    desk = Desk()
    ticket_told = desk.ask(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    desk.fleet.run_for(1)
    for host in ("schvaleni-a", "schvaleni-b", "schvaleni-c"):
        desk.fleet.kill(host)
    desk.fleet.restart("schvaleni-a")
    desk.fleet.run_for(1_500)
    told = desk.ask(
        "archiv-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_told[0].ticket,
    )
    desk.fleet.run_for(2_000)
    assert [outcome.verdict for outcome in told] == [Verdict.NOT_RUN]
    assert told[0].reason is Reason.NO_DOCUMENT


def test_child_of_a_lost_node_is_not_called_not_run():
    """An approval's backend server has a release under way when its node restarts.
    The backend server lives on and repeats the release through the new node.

    The new node knew no such parent, took the release for a stray call and answered
    not-run, so that the backend server could ask for a ticket and release twice.
    """
    desk = Desk()
    fleet = desk.fleet
    ticket_told = desk.ask(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    fleet.run_for(1)
    for host in ("schvaleni-b", "schvaleni-c"):
        fleet.kill(host)
    desk.ask(
        "archiv-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_told[0].ticket,
        2_000,
    )
    while not fleet.checks.once_runs["approval/release"]:
        fleet.run_for(1)
    fleet.backends["schvaleni-a"].faults.slow_factor = 400.0
    fleet.kill("schvaleni-a")
    fleet.restart("schvaleni-a")
    fleet.run_for(12_000)
    assert fleet.checks.told["approval/release.0"] is Verdict.MAY_HAVE_RUN


def test_host_whose_probe_was_lost_gets_work_again():
    """A host restarts, so others try it with one call first. It is paused just then
    and the call is given up at its deadline; a moment later the host is well.

    The others waited for the end of that call and never sent the host work again.
    """
    desk = Desk(seed=5)
    fleet = desk.fleet
    fleet.kill("archiv-b")
    fleet.run_for(500)
    fleet.restart("archiv-b")
    fleet.run_for(SETTLED_MS)
    fleet.pause("archiv-b")
    looked_up(fleet, 50)
    fleet.run_for(1_000)
    fleet.wake("archiv-b")
    fleet.run_for(10_000)
    before = fleet.backends["archiv-b"].runs
    looked_up(fleet, 100)
    assert fleet.backends["archiv-b"].runs - before > 20


def looked_up(fleet: Fleet, count: int) -> None:
    """Look up orders through one node, one after the other."""
    for _ in range(count):
        fleet.callers.call("lookup-order", host="vydej-c")
        fleet.run_for(20)


def test_waking_node_still_knows_its_tickets():
    """A release has run at its ticket's owner, which is then paused. On waking it asks
    its peers for the newest document first; the caller repeats just then.

    The node holds the whole first answer, and told the caller may-have-run.
    """
    desk = Desk()
    ticket, unused = desk.ticket("archiv-a"), desk.ticket("archiv-a")
    desk.release("archiv-a", "goods", ticket)
    desk.fleet.run_for(500)
    desk.fleet.pause("archiv-a")
    desk.fleet.run_for(5_000)
    desk.fleet.cut_zones("brno-a")
    desk.fleet.wake("archiv-a")
    told = desk.release("archiv-a", "goods", ticket)
    first = desk.release("archiv-a", "other", unused)
    desk.fleet.run_for(1)
    assert [outcome.verdict for outcome in told] == [Verdict.ANSWERED]
    assert [outcome.reason for outcome in first] == [Reason.NO_DOCUMENT]
    assert [outcome.verdict for outcome in first] == [Verdict.NOT_RUN]


def test_node_without_a_document_passes_tickets_on():
    """A caller repeats a release through a node that has just started and has no
    document; the ticket's owner is linked and holds the answer.

    The node need not read the request to know where its ticket belongs.
    """
    desk = Desk()
    ticket = desk.ticket("archiv-a")
    desk.release("archiv-a", "goods", ticket)
    desk.fleet.run_for(500)
    desk.fleet.kill("archiv-b")
    desk.fleet.restart("archiv-b")
    desk.fleet.run_for(1_500)
    told = desk.release("archiv-b", "goods", ticket)
    desk.fleet.run_for(100)
    assert [outcome.verdict for outcome in told] == [Verdict.ANSWERED]


def test_ticket_holds_where_the_document_differs():
    """Operators have just said that lookups of history may run once only. One node
    has the new document and gives a ticket out; then it goes back to the old one.

    By the old document the operation is repeatable, so the node ran the same ticket
    once for each time it came.
    """
    desk = Desk()
    process = desk.fleet.processes["schvaleni-a"]
    operation = process.node.entry.classifier.operation(
        "schvaleni", "GET", "/orders/17/history"
    )
    ticket = process.node.entry.ledger.issue(
        "acme", operation.name, desk.fleet.schedule.now_ms
    )
    desk.fleet.checks.once.add("history")
    for _ in range(2):
        told = desk.ask(
            "schvaleni-a", "history", "schvaleni", "GET", "/orders/17/history", ticket
        )
        desk.fleet.run_for(500)
        assert [outcome.verdict for outcome in told] == [Verdict.ANSWERED]


def test_planned_stop_cuts_off_nothing():
    """Each host of the fleet is stopped in turn while callers go on, and the
    platform's list shows it 30 s later.

    Whatever was in flight there, or is sent there by the old list, is answered or
    provably not run. Only tickets that it gave out before may find no owner.
    """
    fleet = Desk().fleet
    for host in fleet.records:
        for step in range(200):
            for operation in ("approve-order", "order-history", "lookup-order"):
                fleet.callers.call(operation, repeats=3)
            if step == 20:
                fleet.leave(host)
            fleet.run_for(25)
        fleet.run_for(2_000)
        assert host not in fleet.processes
        fleet.restart(host)
        fleet.run_for(SETTLED_MS)
    unproved = {
        reason
        for verdict, reason in fleet.checks.reasons
        if verdict is Verdict.MAY_HAVE_RUN
    }
    assert unproved <= {Reason.TICKET_OWNER_UNREACHABLE}
    assert fleet.checks.verdicts["answered"] > 4_000


def test_change_is_in_force_within_nine_seconds_of_a_zone_without_platform():
    """Two availability zones lose the platform, and each other's links are silent in
    part; a change is published that only the third zone reads.

    It reaches the others from peers, and none of them holds an older one later.
    """
    fleet = Desk().fleet
    fleet.silence("archiv-a", "schvaleni-b")
    fleet.silence("schvaleni-a", "schvaleni-c")
    for process in fleet.processes.values():
        process.reads.allowed = process.availability_zone == "brno-a"
    for _ in range(5):
        fleet.publish()
        fleet.run_for(9_000)
        fleet.check_converged()


def test_restarted_node_does_not_serve_a_stale_copy():
    """A node restarts while the platform hands out a document two versions old.

    Its peers hold the newer one, so the node must not serve the older one even for
    the moment until it hears of that.
    """
    fleet = Desk().fleet
    for _ in range(3):
        fleet.publish()
        fleet.run_for(3_000)
    for host in fleet.records:
        fleet.kill(host)
        fleet.repair(stale_ms=20_000)
        fleet.run_for(9_000)
        fleet.check_converged()


def test_waking_node_sends_no_child_call_on_an_old_view():
    """The node of schvaleni-a is paused while its backend server runs an approval,
    which calls for a release meanwhile; the host that would run it stops and goes.

    On waking the node read the release before the news of that host, and sent it to
    one that wasn't there any more: the release may have run, as far as anyone knew.
    """
    desk = Desk()
    fleet = desk.fleet
    for host in ("schvaleni-b", "schvaleni-c"):
        fleet.kill(host)
    ticket_told = desk.ask(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    fleet.run_for(1)
    ticket = ticket_told[0].ticket
    path = "/orders/17/approval"
    desk.ask("archiv-a", "go", "schvaleni", "POST", path, ticket, 2_000)
    while not fleet.checks.runs["go"]:
        fleet.run_for(1)
    fleet.pause("schvaleni-a")
    fleet.run_for(200)
    for host in ("archiv-a", "archiv-b", "vydej-a", "vydej-c"):
        fleet.leave(host)
    fleet.run_for(8_000)
    fleet.wake("schvaleni-a")
    fleet.run_for(100)
    assert not fleet.checks.runs["go/release.0"]


def test_each_waiter_gets_a_ticket_of_its_own():
    """A caller sends a release twice at once, and both connections get the answer.

    Both also got the same fresh ticket. The caller kept two tickets as it thought, and
    its second next release was told may-have-run, being another request's.
    """
    desk = Desk()
    ticket = desk.ticket("archiv-a")
    told = [desk.release("archiv-a", "goods", ticket) for _ in range(2)]
    desk.fleet.run_for(500)
    assert [outcomes[0].verdict for outcomes in told] == [Verdict.ANSWERED] * 2
    assert told[0][0].ticket != told[1][0].ticket


def test_restarted_host_ignores_the_mark_of_its_earlier_run():
    """A host is stopped as planned and its node starts again five seconds later. The
    platform's list shows the stop only 30 s after it began.

    The new process read that it was leaving, refused all work and stopped as well.
    """
    fleet = Desk().fleet
    fleet.leave("vydej-a")
    fleet.run_for(5_000)
    assert "vydej-a" not in fleet.processes
    fleet.restart("vydej-a")
    fleet.run_for(40_000)
    assert not fleet.processes["vydej-a"].node.lifecycle.leaving


def test_host_leaves_by_the_platforms_word_alone():
    """A host has run for long when the platform lists it as leaving.

    No signal comes: its node stops by the list, and cuts off nothing.
    """
    fleet = Desk().fleet
    fleet.run_for(60_000)
    fleet.platform.host_is("vydej-a", HostState.LEAVING)
    fleet.run_for(40_000)
    assert "vydej-a" not in fleet.processes


def test_frame_held_in_a_silent_link_starts_nothing_after_its_fence():
    """The link of a ticket's owner to the only host of vydej goes silent, and a release
    is written into it. A newer link is dialled; over it the call is fenced, never
    started. The caller is told not-run and goes on; then the old link wakes up.

    The release would run although its caller was told that it never would.
    """
    desk = Desk()
    fleet = desk.fleet
    ticket = desk.ticket("archiv-a")
    fleet.kill("vydej-c")
    fleet.run_for(1_000)
    fleet.silence("archiv-a", "vydej-a")
    desk.release("archiv-a", "goods", ticket)
    fleet.run_for(5_500)
    told = desk.release("archiv-a", "goods", ticket)
    fleet.run_for(100)
    assert [outcome.verdict for outcome in told] == [Verdict.NOT_RUN]
    fleet.release()
    fleet.run_for(3_000)
    assert not fleet.checks.runs["goods"]


def test_ticket_told_not_run_never_runs_by_a_late_repeat():
    """A release finds no host and its caller is told not-run, so it goes on with a new
    ticket. An earlier copy of the request, sent through another node, is still under
    way; when it comes, there is a host again.

    The release would run twice, once for each ticket.
    """
    desk = Desk()
    fleet = desk.fleet
    ticket = desk.ticket("archiv-a")
    fleet.kill("vydej-a")
    fleet.kill("vydej-c")
    fleet.run_for(100)
    first = desk.release("archiv-a", "goods", ticket)
    fleet.restart("vydej-a")
    fleet.run_for(SETTLED_MS)
    late = desk.release("archiv-b", "goods", ticket)
    fleet.run_for(500)
    told = [outcome.verdict for outcome in (*first, *late)]
    assert told == [Verdict.NOT_RUN] * 2
