"""Failures of a whole fleet, one by one, on a simulated clock."""

from sassafraswinch.membership import HostState
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_standins.memory_desk import SETTLED_MS, Desk
from sassafraswinch_standins.memory_fleet import CONVERGE_MS, Fleet


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


def test_fleet_that_leaves_as_a_whole_is_started_anew():
    """Every host begins its planned stop while the platform is down, and then all is
    repaired. Each host still had its process, so none was started anew, and a moment
    later there was no node left that could hold a document.
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
