"""Tests of planned stops and leaving hosts under load: calls in flight complete."""

import time
from dataclasses import replace

import pytest

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
from sassafraswinch_standins.requester import Requester

APPROVAL_MS = 2_500.0
"""Longer than the leave notice, so that a stop has to wait; the child call to release
comes halfway through."""

LEAVE_NOTICE_MS = 1_000

NO_NEW_WORK_MS = 3_000
"""Guaranteed time after which a leaving backend server gets no new requests."""

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
def recovered_fleet(fleet):
    recover(fleet)
    return fleet


@pytest.fixture
def long_deadline_requester(fleet):
    """Client with a deadline longer than a stop."""
    for host in fleet.hosts:
        fleet.control_backend(host, forget_runs=True)
    long_deadline_requester = Requester(caller="dispatcher", organisation="carrier")
    yield long_deadline_requester
    long_deadline_requester.close()


def ingress_of(fleet, host):
    return fleet.hosts[host].entry


def now_ms():
    return time.monotonic() * 1000


def start_lookups(fleet, name):
    """Start a load of lookups at all ingress addresses, on persistent connections."""
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
    """Check that every lookup got a complete response and no connection broke."""
    figures = fleet.collect(load, LOAD_MS / 1000)["traffic"]["lookup"]
    print(figures["attempt_outcomes"], figures["reasons"])
    assert figures["outcomes"]["good"] == figures["first_attempts"] > 0
    assert "broken-connection" not in figures["reasons"]
    assert figures["attempt_outcomes"]["may_have_run"] == 0
    assert figures["attempt_outcomes"]["wrong"] == 0


def assert_no_run_aborted(fleet):
    assert {run["state"] for run in fleet.runs()} == {"answered"}


def assert_no_new_work(fleet, host, since_ms):
    late = [
        run
        for run in fleet.runs()
        if run["host"] == host and run["started_at_ms"] > since_ms + NO_NEW_WORK_MS
    ]
    assert not late


def in_flight_on(fleet, long_deadline_requester, host, other):
    """Start approvals that a host executes, owns, or forwards to their owner."""
    executed = long_deadline_requester.with_ticket(
        ingress_of(fleet, other), long_deadline_requester.new("POST", APPROVE)
    )
    owned = long_deadline_requester.with_ticket(
        ingress_of(fleet, host), long_deadline_requester.new("POST", APPROVE)
    )
    forwarded = long_deadline_requester.with_ticket(
        ingress_of(fleet, "schvaleni-2"), long_deadline_requester.new("POST", APPROVE)
    )
    sent = [(other, executed), (host, owned), (host, forwarded)]
    replies = long_deadline_requester.submit_all(
        lambda pair: long_deadline_requester.send(ingress_of(fleet, pair[0]), pair[1]),
        sent,
    )
    ids = {approval.request_id for _, approval in sent}

    def all_started():
        return ids <= {run["request_id"] for run in fleet.runs()}

    wait_until("approvals run", all_started)
    return replies


def assert_refuses_new_requests(fleet, long_deadline_requester, host, unused):
    """Check that a leaving node refuses requests and issues no ticket.

    Failure: a caller uses a ticket of a node that has stopped since. The only possible
    verdict is may-have-run, although nothing ran.
    """
    for request in (replace(unused, ticket=None), unused):
        reply = long_deadline_requester.send(ingress_of(fleet, host), request)
        assert reply.summary == (503, "not-run", "leaving")
        assert reply.ticket is None
        assert reply.headers["connection"] == "close"
        assert int(reply.headers["retry-after-ms"]) > 0


def test_planned_stop_completes_calls_in_flight(
    recovered_fleet, long_deadline_requester
):
    """SIGTERM of a node under load, without a leaving mark in the host list.

    In flight are approvals that it executes, owns, and forwards; their child calls to
    release are made after the leave notice, and lookups arrive on persistent
    connections all the time. All get complete responses, the process exits with code
    0, and its backend server gets no new requests.
    """
    fleet = recovered_fleet
    load = start_lookups(fleet, "stop")
    replies = in_flight_on(fleet, long_deadline_requester, "schvaleni-1", "vydej-1")
    unused = long_deadline_requester.with_ticket(
        ingress_of(fleet, "schvaleni-1"), long_deadline_requester.new("POST", APPROVE)
    )
    stopped_at_ms = now_ms()
    fleet.node("schvaleni-1").terminate()
    wait_until("leaving", lambda: fleet.status("schvaleni-1")["state"] == "leaving")
    assert_refuses_new_requests(fleet, long_deadline_requester, "schvaleni-1", unused)

    assert {reply.result().summary for reply in replies} == {(200, "answered", None)}
    assert {reply.result().fault for reply in replies} == {None}
    assert fleet.node("schvaleni-1").wait(timeout_s=30) == 0
    assert_all_good(fleet, load)
    assert_no_run_aborted(fleet)
    assert_no_new_work(fleet, "schvaleni-1", stopped_at_ms)


def test_host_listed_as_leaving_gets_no_new_work(
    recovered_fleet, long_deadline_requester
):
    """The platform's host list, not a signal, marks a host as leaving under load.

    Its node starts a planned stop: all calls complete, and it exits with code 0.
    """
    fleet = recovered_fleet
    load = start_lookups(fleet, "list")
    replies = in_flight_on(fleet, long_deadline_requester, "schvaleni-1", "vydej-1")
    listed_at_ms = now_ms()
    fleet.publish_hosts(states={"schvaleni-1": "leaving"})

    assert {reply.result().summary for reply in replies} == {(200, "answered", None)}
    assert fleet.node("schvaleni-1").wait(timeout_s=30) == 0
    fleet.publish_hosts()
    assert_all_good(fleet, load)
    assert_no_run_aborted(fleet)
    assert_no_new_work(fleet, "schvaleni-1", listed_at_ms)


def test_second_sigterm_exits_at_once_and_logs_aborted_calls(
    fleet, long_deadline_requester
):
    """A backend server hangs, so that a planned stop does not complete.

    The operator sends a second SIGTERM: the process exits with code 1, its log lists
    the calls, and callers at its ingress get the verdict may-have-run.
    """
    fleet.control_backend("schvaleni-2", fault="hang")
    ingress = ingress_of(fleet, "schvaleni-2")
    approval = long_deadline_requester.with_ticket(
        ingress, long_deadline_requester.new("POST", APPROVE)
    )
    requests = [approval, long_deadline_requester.new("GET", ORDER_STATE)]
    replies = long_deadline_requester.submit_all(
        lambda request: long_deadline_requester.send(ingress, request), requests
    )
    wait_until("hanging", lambda: len(fleet.runs()) == len(requests))
    node = fleet.node("schvaleni-2")
    node.terminate()
    wait_until("leaving", lambda: fleet.status("schvaleni-2")["state"] == "leaving")
    node.terminate()

    assert node.wait(timeout_s=30) == 1
    assert [reply.result().summary for reply in replies] == [
        (502, "may-have-run", "cancelled")
    ] * len(requests)
    log = node.error_path.read_text()
    fleet.control_backend("schvaleni-2", fault="none")
    aborted = [line for line in log.splitlines() if " event=call_cut " in line]
    assert sum("operation=approve-order" in line for line in aborted) == 2
    assert sum("operation=order-state" in line for line in aborted) == 2
    assert {line.split()[1] for line in aborted} == {"level=warning"}
    assert " event=node_cut in_flight=4" in log
