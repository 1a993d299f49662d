"""Single faults of an in-memory fleet on a simulated clock."""

from sassafraswinch.membership import HostState
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_client import SETTLED_MS, DirectClient
from sassafraswinch_standins.memory_fleet import CONVERGE_MS, Fleet


def test_child_of_an_ended_parent_ends_by_its_deadline():
    """A node times out an approval while its backend server waits for the release,
    which may have run, so the outcome of the child call stays undecided.

    Failure: the child call of the backend server got no outcome for ten minutes.
    """
    client = DirectClient()
    ticket_outcomes = client.send(
        "schvaleni-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    client.fleet.run_for(1)
    client.slow_down(10_000)
    client.fleet.backends["schvaleni-a"].faults.slow_factor = 1.0
    for host in ("schvaleni-b", "schvaleni-c"):
        client.fleet.kill(host)
    for host in ("archiv-a", "archiv-b"):
        client.fleet.backends[host].faults.slow_factor = 1.0
    outcomes = client.send(
        "schvaleni-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_outcomes[0].ticket,
        2_000,
    )
    client.fleet.run_for(500)
    for host in ("vydej-a", "vydej-c"):
        client.fleet.pause(host)
    client.fleet.run_for(3_000)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.MAY_HAVE_RUN]
    assert not client.fleet.checks.open


def test_restarted_node_takes_no_calls_before_it_serves_a_document():
    """A restarted host of schvaleni requests the newest document from its peers for
    three seconds, while other nodes already send it calls.

    Failure: it started approvals and then refused their child calls because it had no
    document, so the order was not looked up and no goods were released.
    """
    client = DirectClient()
    ticket_outcomes = client.send(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    client.fleet.run_for(1)
    for host in ("schvaleni-a", "schvaleni-b", "schvaleni-c"):
        client.fleet.kill(host)
    client.fleet.restart("schvaleni-a")
    client.fleet.run_for(1_500)
    outcomes = client.send(
        "archiv-a",
        "approval",
        "schvaleni",
        "POST",
        "/orders/17/approval",
        ticket_outcomes[0].ticket,
    )
    client.fleet.run_for(2_000)
    assert [outcome.verdict for outcome in outcomes] == [Verdict.NOT_RUN]
    assert outcomes[0].reason is Reason.NO_DOCUMENT


def test_host_whose_probe_was_lost_gets_work_again():
    """Other nodes probe a restarted host with one call. The host is paused at that
    time, so the call times out; shortly afterwards the host is healthy again.

    Failure: the other nodes waited for the end of that call and never sent the host
    work again.
    """
    client = DirectClient(seed=5)
    fleet = client.fleet
    fleet.kill("archiv-b")
    fleet.run_for(500)
    fleet.restart("archiv-b")
    fleet.run_for(SETTLED_MS)
    fleet.pause("archiv-b")
    look_up_orders(fleet, 50)
    fleet.run_for(1_000)
    fleet.resume("archiv-b")
    fleet.run_for(10_000)
    before = fleet.backends["archiv-b"].runs
    look_up_orders(fleet, 100)
    assert fleet.backends["archiv-b"].runs - before > 20


def look_up_orders(fleet: Fleet, count: int) -> None:
    """Look up orders through one node, in sequence."""
    for _ in range(count):
        fleet.callers.call("lookup-order", host="vydej-c")
        fleet.run_for(20)


def test_planned_stop_cuts_off_no_request():
    """Each host is stopped in turn under load; the platform's list shows the stop 30 s
    later.

    Requests that were in flight there, or are sent there because of the old list, are
    answered or proved not run. Only tickets issued there earlier may find no owner.
    """
    fleet = DirectClient().fleet
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
    undecided_reasons = {
        reason
        for verdict, reason in fleet.checks.reasons
        if verdict is Verdict.MAY_HAVE_RUN
    }
    assert undecided_reasons <= {Reason.TICKET_OWNER_UNREACHABLE}
    assert fleet.checks.verdicts["answered"] > 4_000


def test_change_is_in_force_within_nine_seconds_of_a_zone_without_platform():
    """Two availability zones lose the platform and some links between hosts are silent.
    Only the third zone reads each published change.

    The change must reach the other zones through peers within nine seconds, and no
    node may go back to an older document.
    """
    fleet = DirectClient().fleet
    fleet.silence("archiv-a", "schvaleni-b")
    fleet.silence("schvaleni-a", "schvaleni-c")
    for process in fleet.processes.values():
        process.reads.allowed = process.availability_zone == "brno-a"
    for _ in range(5):
        fleet.publish()
        fleet.run_for(9_000)
        fleet.check_converged()


def test_restarted_node_does_not_serve_a_stale_copy():
    """A node restarts while the platform serves a document two versions old.

    Its peers hold the newer one, so the node must not apply the older one, not even
    until it receives the newer version from them.
    """
    fleet = DirectClient().fleet
    for _ in range(3):
        fleet.publish()
        fleet.run_for(3_000)
    for host in fleet.records:
        fleet.kill(host)
        fleet.repair(stale_ms=20_000)
        fleet.run_for(9_000)
        fleet.check_converged()


def test_resumed_node_sends_no_child_call_on_a_stale_view():
    """The node of schvaleni-a is paused while its backend server runs an approval and
    makes the child call for the release; the hosts that would run it stop meanwhile.

    Failure: on resuming, the node read the child call before the messages about those
    hosts and sent it to one that had stopped, so it ended as may-have-run.
    """
    client = DirectClient()
    fleet = client.fleet
    for host in ("schvaleni-b", "schvaleni-c"):
        fleet.kill(host)
    ticket_outcomes = client.send(
        "archiv-a", "none", "schvaleni", "POST", "/orders/17/approval"
    )
    fleet.run_for(1)
    ticket = ticket_outcomes[0].ticket
    path = "/orders/17/approval"
    client.send("archiv-a", "go", "schvaleni", "POST", path, ticket, 2_000)
    while not fleet.checks.runs["go"]:
        fleet.run_for(1)
    fleet.pause("schvaleni-a")
    fleet.run_for(200)
    for host in ("archiv-a", "archiv-b", "vydej-a", "vydej-c"):
        fleet.leave(host)
    fleet.run_for(8_000)
    fleet.resume("schvaleni-a")
    fleet.run_for(100)
    assert not fleet.checks.runs["go/release.0"]


def test_restarted_host_ignores_the_leaving_state_of_its_earlier_run():
    """A host is stopped as planned and its node restarts five seconds later. The
    platform's list shows the stop only 30 s after it began.

    Failure: the new process read that its host was leaving, refused all work and
    stopped as well.
    """
    fleet = DirectClient().fleet
    fleet.leave("vydej-a")
    fleet.run_for(5_000)
    assert "vydej-a" not in fleet.processes
    fleet.restart("vydej-a")
    fleet.run_for(40_000)
    assert not fleet.processes["vydej-a"].node.lifecycle.leaving


def test_host_leaves_when_only_the_platform_lists_it_as_leaving():
    """The platform lists a host as leaving after it has run for a minute.

    The node receives no signal: it must stop because of the list alone, without
    cutting off a request.
    """
    fleet = DirectClient().fleet
    fleet.run_for(60_000)
    fleet.platform.set_host_state("vydej-a", HostState.LEAVING)
    fleet.run_for(40_000)
    assert "vydej-a" not in fleet.processes


def test_fleet_that_leaves_as_a_whole_is_restarted():
    """Every host begins its planned stop while the platform is down; then all faults
    are repaired.

    Failure: each host still had its process, so none was restarted, and shortly
    afterwards no node was left to hold a document.
    """
    fleet = Fleet(seed=0, sparse=True)
    fleet.run_for(CONVERGE_MS)
    fleet.platform_down()
    for host in fleet.records:
        fleet.leave(host)
    fleet.repair(stale_ms=5_000)
    fleet.run_for(CONVERGE_MS)
    assert fleet.processes.keys() == fleet.records.keys()
    fleet.check_converged()
