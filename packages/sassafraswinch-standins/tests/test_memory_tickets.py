"""Single faults that affect tickets and verdicts, on an in-memory fleet."""

from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_client import SETTLED_MS, DirectClient


def test_forwarded_request_ends_by_its_deadline():
    """A caller retries a release through another node while the ticket's owner is
    paused. The link to it stays open but silent, so the forward gets no answer.

    Failure: the caller waited 10 s, the timeout of a forward, for a request with a
    deadline of 2 s.
    """
    client = DirectClient()
    ticket = client.ticket("vydej-a")
    client.fleet.pause("vydej-a")
    outcomes = client.release("archiv-b", "goods", ticket)
    client.fleet.run_for(2_200)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.MAY_HAVE_RUN]


def test_retry_of_a_timed_out_request_ends_by_its_own_deadline():
    """A release hangs on a backend server that never answers. Its caller receives
    may-have-run at the deadline and sends the same ticket again.

    Failure: the retry joined a call whose deadline had passed and which was not
    checked again for ten minutes.
    """
    client = DirectClient()
    ticket = client.ticket("archiv-a")
    client.slow_down(10_000)
    first = client.release("archiv-a", "goods", ticket)
    client.fleet.run_for(1_000)
    for host in ("vydej-a", "vydej-c"):
        client.fleet.pause(host)
    client.fleet.run_for(1_200)
    assert [outcome.verdict for outcome in first] == [Verdict.MAY_HAVE_RUN]
    second = client.release("archiv-a", "goods", ticket)
    client.fleet.run_for(2_200)
    assert [outcome.verdict for outcome in second] == [Verdict.MAY_HAVE_RUN]


def test_node_without_a_document_does_not_report_a_ticket_as_not_run():
    """A release runs, and its caller retries it through a node that has just started
    and has no document yet.

    Failure: the node reported not-run, so the caller would use a new ticket and the
    supplier would ship twice.
    """
    client = DirectClient()
    ticket = client.ticket("archiv-a")
    outcomes = client.release("archiv-a", "goods", ticket)
    client.fleet.run_for(500)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.ANSWERED]
    client.fleet.kill("archiv-b")
    client.fleet.platform_down()
    client.fleet.restart("archiv-b")
    outcomes = client.release("archiv-b", "goods", ticket)
    client.fleet.run_for(1)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.MAY_HAVE_RUN]


def test_child_call_of_a_crashed_node_is_not_reported_as_not_run():
    """The backend server of an approval has a release in flight when its node restarts.
    The backend server keeps running and retries the release through the new node.

    Failure: the new node did not know the parent call, treated the release as unrelated
    and answered not-run, so the backend server could request a ticket and release
    twice.
    """
    client = DirectClient()
    fleet = client.fleet
    ticket_outcomes = client.send(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    fleet.run_for(1)
    for host in ("schvaleni-b", "schvaleni-c"):
        fleet.kill(host)
    client.send(
        "archiv-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_outcomes[0].ticket,
        2_000,
    )
    while not fleet.checks.at_most_once_runs["approval/release"]:
        fleet.run_for(1)
    fleet.backends["schvaleni-a"].faults.slow_factor = 400.0
    fleet.kill("schvaleni-a")
    fleet.restart("schvaleni-a")
    fleet.run_for(12_000)
    assert fleet.checks.last_verdicts["approval/release.0"] is Verdict.MAY_HAVE_RUN


def test_resumed_node_still_answers_its_tickets():
    """A release has run at its ticket's owner, which is then paused. On resuming it
    first requests the newest document from its peers; the caller retries at that time.

    Failure: the node reported may-have-run although it held the complete first answer.
    """
    client = DirectClient()
    ticket, unused = client.ticket("archiv-a"), client.ticket("archiv-a")
    client.release("archiv-a", "goods", ticket)
    client.fleet.run_for(500)
    client.fleet.pause("archiv-a")
    client.fleet.run_for(5_000)
    client.fleet.cut_zones("brno-a")
    client.fleet.resume("archiv-a")
    outcomes = client.release("archiv-a", "goods", ticket)
    first = client.release("archiv-a", "other", unused)
    client.fleet.run_for(1)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.ANSWERED]
    assert [outcome.reason for outcome in first] == [Reason.NO_DOCUMENT]
    assert [outcome.verdict for outcome in first] == [Verdict.NOT_RUN]


def test_node_without_a_document_forwards_tickets_to_their_owner():
    """A caller retries a release through a node that has just started and has no
    document; the ticket's owner is linked and holds the answer.

    The node can forward the ticket to its owner without classifying the request.
    """
    client = DirectClient()
    ticket = client.ticket("archiv-a")
    client.release("archiv-a", "goods", ticket)
    client.fleet.run_for(500)
    client.fleet.kill("archiv-b")
    client.fleet.restart("archiv-b")
    client.fleet.run_for(1_500)
    outcomes = client.release("archiv-b", "goods", ticket)
    client.fleet.run_for(100)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.ANSWERED]


def test_ticket_prevents_a_second_run_under_a_different_document():
    """A new document declares lookups of history non-repeatable. A node issues a ticket
    under the new document and then applies the old one.

    Failure: the operation is repeatable under the old document, so the node ran the
    same ticket once for each time it arrived.
    """
    client = DirectClient()
    process = client.fleet.processes["schvaleni-a"]
    operation = process.node.entry.classifier.find_operation(
        "schvaleni", "GET", "/orders/17/history"
    )
    ticket = process.node.entry.ledger.issue(
        "acme", operation.name, client.fleet.schedule.now_ms
    )
    client.fleet.checks.at_most_once.add("history")
    for _ in range(2):
        outcomes = client.send(
            "schvaleni-a", "history", "schvaleni", "GET", "/orders/17/history", ticket
        )
        client.fleet.run_for(500)
        assert [outcome.verdict for outcome in outcomes] == [Verdict.ANSWERED]


def test_each_waiting_connection_gets_its_own_ticket():
    """A caller sends a release on two connections at once, and both get the answer.

    Failure: both also got the same new ticket. The caller kept it as two tickets, and
    the second release that used it got may-have-run, as the ticket belonged to another
    request.
    """
    client = DirectClient()
    ticket = client.ticket("archiv-a")
    outcome_lists = [client.release("archiv-a", "goods", ticket) for _ in range(2)]
    client.fleet.run_for(500)
    assert [outcomes[0].verdict for outcomes in outcome_lists] == [Verdict.ANSWERED] * 2
    assert outcome_lists[0][0].ticket != outcome_lists[1][0].ticket


def test_frame_held_in_a_silent_link_starts_nothing_after_its_fence():
    """The link of a ticket's owner to the only host of vydej goes silent, and a release
    is written to it. A newer link is dialled, and the call is fenced over it as never
    started. The caller receives not-run; then the old link delivers its frames.

    Without the fence the release would run after it was reported as not run.
    """
    client = DirectClient()
    fleet = client.fleet
    ticket = client.ticket("archiv-a")
    fleet.kill("vydej-c")
    fleet.run_for(1_000)
    fleet.silence("archiv-a", "vydej-a")
    client.release("archiv-a", "goods", ticket)
    fleet.run_for(5_500)
    outcomes = client.release("archiv-a", "goods", ticket)
    fleet.run_for(100)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.NOT_RUN]
    fleet.release()
    fleet.run_for(3_000)
    assert not fleet.checks.runs["goods"]


def test_ticket_reported_as_not_run_is_not_run_by_a_late_retry():
    """A release finds no host and its caller receives not-run, so it may retry with a
    new ticket. An earlier copy of the request, sent through another node, is still in
    transit and arrives when there is a host again.

    Failure: the release would run twice, once for each ticket.
    """
    client = DirectClient()
    fleet = client.fleet
    ticket = client.ticket("archiv-a")
    fleet.kill("vydej-a")
    fleet.kill("vydej-c")
    fleet.run_for(100)
    first = client.release("archiv-a", "goods", ticket)
    fleet.restart("vydej-a")
    fleet.run_for(SETTLED_MS)
    late = client.release("archiv-b", "goods", ticket)
    fleet.run_for(500)
    verdicts = [outcome.verdict for outcome in (*first, *late)]
    assert verdicts == [Verdict.NOT_RUN] * 2
