"""Failures around tickets and verdicts, one by one, on a fleet of whole nodes."""

from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_desk import SETTLED_MS, Desk


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
    operation = process.node.entry.classifier.find_operation(
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
