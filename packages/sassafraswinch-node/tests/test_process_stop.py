"""Planned stops and leaving hosts under load: nothing is cut, no new work comes."""

import time
from dataclasses import replace

import pytest

from sassafraswinch_standins.asker import Asker
from sassafraswinch_standins.caller_settings import (
    CallerSettings,
    Phase,
    Retries,
    Traffic,
)
from sassafraswinch_standins.chain import APPROVE, ORDER_STATE, chain
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.recovery import recover

APPROVAL_MS = 2_500.0
"""Longer than the notice, so that a stop has to wait; its release comes halfway."""

LEAVE_NOTICE_MS = 1_000

NO_NEW_WORK_MS = 3_000
"""The promise: after this time a leaving backend server gets no new work."""

LOAD_MS = 5_000
LOOKUPS_PER_S = 60


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    graph = chain(approval_ms=APPROVAL_MS, lookup_ms=20)
    node = {
        "leave_notice_ms": LEAVE_NOTICE_MS,
        "list_leave_delay_ms": 0,
        "log_level": "info",
    }
    directory = tmp_path_factory.mktemp("stop")
    with Fleet(graph=graph, directory=directory, node=node) as fleet:
        yield fleet


@pytest.fixture
def whole_fleet(fleet):
    recover(fleet)
    return fleet


@pytest.fixture
def patient(fleet):
    """An asker whose deadline outlasts a stop."""
    for host in fleet.hosts:
        fleet.control_backend(host, forget_runs=True)
    patient = Asker(caller="dispatcher", organisation="carrier")
    yield patient
    patient.close()


def entry(fleet, host):
    return fleet.hosts[host].entry


def now_ms():
    return time.monotonic() * 1000


def start_lookups(fleet, name):
    """Begin a load of lookups at all entries, on kept connections."""
    lookup = Traffic(
        name="lookup",
        class_name="paying",
        service="schvaleni",
        path="/orders/{id}/state",
        caller_id="buyer",
        organisation_id="distributor",
    )
    settings = CallerSettings(
        name=name,
        entries=[host.entry for host in fleet.hosts.values()],
        phases=[Phase(rate_per_s=LOOKUPS_PER_S)],
        duration_ms=LOAD_MS,
        traffic=[lookup],
        retries=Retries(limit=40, pause_ms=50),
    )
    return fleet.start_caller(settings)


def assert_all_good(fleet, load):
    """Every lookup was answered whole; none met a connection cut under it."""
    figures = fleet.collect(load, LOAD_MS / 1000)["traffic"]["lookup"]
    print(figures["attempt_outcomes"], figures["reasons"])
    assert figures["outcomes"]["good"] == figures["first_attempts"] > 0
    assert "broken-connection" not in figures["reasons"]
    assert figures["attempt_outcomes"]["may_have_run"] == 0
    assert figures["attempt_outcomes"]["wrong"] == 0


def assert_no_run_cut(fleet):
    assert {run["state"] for run in fleet.runs()} == {"answered"}


def assert_no_new_work(fleet, host, since_ms):
    late = [
        run
        for run in fleet.runs()
        if run["host"] == host and run["started_at_ms"] > since_ms + NO_NEW_WORK_MS
    ]
    assert not late


def in_flight_on(fleet, patient, host, other):
    """Begin approvals that a host executes, owns, or forwards to their owner."""
    executed = patient.with_ticket(entry(fleet, other), patient.new("POST", APPROVE))
    owned = patient.with_ticket(entry(fleet, host), patient.new("POST", APPROVE))
    forwarded = patient.with_ticket(
        entry(fleet, "schvaleni-2"), patient.new("POST", APPROVE)
    )
    sent = [(other, executed), (host, owned), (host, forwarded)]
    replies = patient.together(
        lambda pair: patient.ask(entry(fleet, pair[0]), pair[1]), sent
    )
    ids = {approval.request_id for _, approval in sent}

    def begun():
        return ids <= {run["request_id"] for run in fleet.runs()}

    wait_until("approvals run", begun)
    return replies


def assert_sends_callers_elsewhere(fleet, patient, host, unused):
    """A leaving node refuses, and gives no ticket that would soon have no owner.

    Failure: a caller uses the ticket of a node that has stopped since, and all that
    anyone can say is "may have run", though nothing ran.
    """
    for ask in (replace(unused, ticket=None), unused):
        reply = patient.ask(entry(fleet, host), ask)
        assert reply.told == (503, "not-run", "leaving")
        assert reply.ticket is None
        assert reply.headers["connection"] == "close"
        assert int(reply.headers["retry-after-ms"]) > 0


def test_planned_stop_cuts_nothing_in_flight(whole_fleet, patient):
    """SIGTERM of a node under load, while the list of hosts never says leaving.

    In flight are approvals that it executes, that it owns, and that it forwards; the
    releases below them are called after its notice is over, and lookups come in on
    kept connections all the time. All are answered whole, the process ends by itself
    with code 0, and its backend server gets no new work.
    """
    fleet = whole_fleet
    load = start_lookups(fleet, "stop")
    replies = in_flight_on(fleet, patient, "schvaleni-1", "vydej-1")
    unused = patient.with_ticket(
        entry(fleet, "schvaleni-1"), patient.new("POST", APPROVE)
    )
    stopped_at_ms = now_ms()
    fleet.node("schvaleni-1").terminate()
    wait_until("leaving", lambda: fleet.status("schvaleni-1")["state"] == "leaving")
    assert_sends_callers_elsewhere(fleet, patient, "schvaleni-1", unused)

    assert {reply.result().told for reply in replies} == {(200, "answered", None)}
    assert {reply.result().fault for reply in replies} == {None}
    assert fleet.node("schvaleni-1").wait(timeout_s=30) == 0
    assert_all_good(fleet, load)
    assert_no_run_cut(fleet)
    assert_no_new_work(fleet, "schvaleni-1", stopped_at_ms)


def test_host_that_the_list_says_is_leaving_gets_no_new_work(whole_fleet, patient):
    """The platform's list, not a signal, says that a host leaves, under load.

    Its node takes that as its planned stop: nothing is cut, and it ends with code 0.
    """
    fleet = whole_fleet
    load = start_lookups(fleet, "list")
    replies = in_flight_on(fleet, patient, "schvaleni-1", "vydej-1")
    listed_at_ms = now_ms()
    fleet.publish_hosts(states={"schvaleni-1": "leaving"})

    assert {reply.result().told for reply in replies} == {(200, "answered", None)}
    assert fleet.node("schvaleni-1").wait(timeout_s=30) == 0
    fleet.publish_hosts()
    assert_all_good(fleet, load)
    assert_no_run_cut(fleet)
    assert_no_new_work(fleet, "schvaleni-1", listed_at_ms)


def test_second_sigterm_ends_at_once_and_names_what_it_cuts(fleet, patient):
    """A backend server hangs, so that a planned stop doesn't come to its end.

    The operator sends a second SIGTERM: the process ends with code 1, its log names
    the calls, and callers at its entry are told that they may have run.
    """
    fleet.control_backend("schvaleni-2", fault="hang")
    through = entry(fleet, "schvaleni-2")
    approval = patient.with_ticket(through, patient.new("POST", APPROVE))
    asks = [approval, patient.new("GET", ORDER_STATE)]
    replies = patient.together(lambda ask: patient.ask(through, ask), asks)
    wait_until("hanging", lambda: len(fleet.runs()) == len(asks))
    node = fleet.node("schvaleni-2")
    node.terminate()
    wait_until("leaving", lambda: fleet.status("schvaleni-2")["state"] == "leaving")
    node.terminate()

    assert node.wait(timeout_s=30) == 1
    assert [reply.result().told for reply in replies] == [
        (502, "may-have-run", "cancelled")
    ] * len(asks)
    log = node.error_path.read_text()
    fleet.control_backend("schvaleni-2", fault="none")
    cut = [line for line in log.splitlines() if " event=call_cut " in line]
    assert sum("operation=approve-order" in line for line in cut) == 2
    assert sum("operation=order-state" in line for line in cut) == 2
    assert {line.split()[1] for line in cut} == {"level=warning"}
    assert " event=node_cut in_flight=4" in log
