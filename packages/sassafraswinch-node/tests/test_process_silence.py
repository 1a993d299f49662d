"""Tests of silent links and paused nodes: correct verdicts and at most one run."""

from collections import Counter

import pytest

from sassafraswinch_standins.chain import APPROVE, ORDER_STATE, RELEASE, chain
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.requester import Requester

FAR_ROUTES = {"brno-b>vydej-1": "schvaleni-2", "ostrava-c>vydej-1": "schvaleni-3"}
"""Routes to the only backend server of vydej, each with a host that calls over it."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    graph = chain(approval_ms=300, lookup_ms=700, servers=3, releases=1)
    directory = tmp_path_factory.mktemp("silence")
    with Fleet(graph=graph, directory=directory, relay_links=True) as fleet:
        yield fleet


@pytest.fixture
def long_deadline_requester(fleet):
    """Client with a deadline longer than the faults, in a fully linked fleet."""
    wait_until("all linked", lambda: all(map(fleet.is_fully_linked, fleet.hosts)))
    long_deadline_requester = Requester(caller="dispatcher", organisation="carrier")
    yield long_deadline_requester
    long_deadline_requester.close()


def ingress_of(fleet, host):
    return fleet.hosts[host].entry


def runs_by_id(fleet, operation):
    return Counter(
        run["request_id"] for run in fleet.runs() if run["operation"] == operation
    )


def wait_started(fleet, requests, operation):
    ids = {request.request_id for request in requests}
    wait_until(
        f"{len(ids)} runs of {operation}",
        lambda: ids <= runs_by_id(fleet, operation).keys(),
    )


def assert_verdicts_match_runs(fleet, replies, operation):
    """Check the run counts: one for answered, none for not-run, else at most one."""
    runs = runs_by_id(fleet, operation)
    allowed = {"answered": {1}, "not-run": {0}, "may-have-run": {0, 1}}
    wrong = [
        (reply.summary, runs[reply.request_id])
        for reply in replies
        if runs[reply.request_id] not in allowed[reply.verdict]
    ]
    assert not wrong


def test_silent_links_lose_no_response_and_cause_no_second_run(
    fleet, long_deadline_requester
):
    """Two links go silent, each in one direction, while new connections work.

    Releases are running over both, and more are sent before the fault is detected. On
    the link that loses responses all of them run, and the responses arrive over the new
    link. On the link that loses calls the later ones never arrive: the executing node
    confirms that, and their verdict is not-run.
    """
    directions = dict(zip(FAR_ROUTES, ("to-client", "to-target"), strict=True))
    releases = {
        route: [
            long_deadline_requester.with_ticket(
                ingress_of(fleet, host), long_deadline_requester.new("POST", RELEASE)
            )
            for _ in range(6)
        ]
        for route, host in FAR_ROUTES.items()
    }

    def send(route, chosen):
        ingress = ingress_of(fleet, FAR_ROUTES[route])
        return long_deadline_requester.submit_all(
            lambda r: long_deadline_requester.send(ingress, r), chosen
        )

    replies = {route: send(route, releases[route][:3]) for route in FAR_ROUTES}
    for route in FAR_ROUTES:
        wait_started(fleet, releases[route][:3], "release-order")
    for route, direction in directions.items():
        fleet.control_relay(
            [route], fault="silent", direction=direction, only_open=True
        )
        replies[route] += send(route, releases[route][3:])
    ended = {r: [reply.result() for reply in replies[r]] for r in FAR_ROUTES}

    outcomes = {
        route: [reply.summary for reply in ended[route]] for route in FAR_ROUTES
    }
    answered, fenced = (200, "answered", None), (503, "not-run", "fenced")
    assert outcomes["brno-b>vydej-1"] == [answered] * 6
    assert outcomes["ostrava-c>vydej-1"] == [answered] * 3 + [fenced] * 3
    for route in FAR_ROUTES:
        assert_verdicts_match_runs(fleet, ended[route], "release-order")
        assert {r.fault for r in ended[route] if r.status == 200} == {None}


def test_call_with_verdict_not_run_never_runs_from_a_late_frame(
    fleet, long_deadline_requester
):
    """A link goes silent with calls in transit, and delivers them much later.

    Meanwhile the owner opened a new link and received "never started" over it, so the
    callers got not-run and continued with new tickets. The calls in the late frames
    must not start: their session is below the fence.
    """
    route, host = "brno-b>vydej-1", "schvaleni-2"
    ingress = ingress_of(fleet, host)
    releases = [
        long_deadline_requester.with_ticket(
            ingress, long_deadline_requester.new("POST", RELEASE)
        )
        for _ in range(5)
    ]
    fleet.control_relay([route], fault="held")
    replies = long_deadline_requester.submit_all(
        lambda r: long_deadline_requester.send(ingress, r), releases
    )
    ended = [reply.result() for reply in replies]

    assert {reply.summary for reply in ended} == {(503, "not-run", "fenced")}
    assert fleet.held_by_relay(route) > 0
    fleet.control_relay([route], fault="none")
    wait_until("frames delivered", lambda: fleet.held_by_relay(route) == 0)
    renewed_requests = [
        long_deadline_requester.new("POST", RELEASE, ticket=reply.ticket)
        for reply in ended
    ]
    renewed = long_deadline_requester.submit_all(
        lambda r: long_deadline_requester.send(ingress, r), renewed_requests
    )
    renewed = [reply.result() for reply in renewed]
    assert {reply.summary for reply in renewed} == {(200, "answered", None)}
    assert_verdicts_match_runs(fleet, ended + renewed, "release-order")


def test_paused_executing_node_runs_no_call_with_verdict_not_run(
    fleet, long_deadline_requester
):
    """SIGSTOP of an executing node with calls in its buffers, SIGCONT much later.

    Meanwhile the owner has retried lookups on another node, and returned may-have-run
    for approvals with a short deadline. When the node resumes, it reads the old frames
    first; the outcomes already returned must remain correct.
    """
    short_deadline_requester = Requester()
    ingress, paused = ingress_of(fleet, "vydej-1"), fleet.node("schvaleni-1")
    short_deadline_approvals = [
        short_deadline_requester.with_ticket(
            ingress, short_deadline_requester.new("POST", APPROVE)
        )
        for _ in "123"
    ]
    approvals = [
        long_deadline_requester.with_ticket(
            ingress, long_deadline_requester.new("POST", APPROVE)
        )
        for _ in "123"
    ]
    lookups = [long_deadline_requester.new("GET", ORDER_STATE) for _ in "12"]
    paused.pause()
    try:
        short_deadline_replies = short_deadline_requester.submit_all(
            lambda a: short_deadline_requester.send(ingress, a),
            short_deadline_approvals,
        )
        long_deadline_replies = long_deadline_requester.submit_all(
            lambda a: long_deadline_requester.send(ingress, a), approvals
        )
        lookup_replies = long_deadline_requester.submit_all(
            lambda a: long_deadline_requester.send(ingress, a), lookups
        )
        short_deadline_replies = [reply.result() for reply in short_deadline_replies]
        lookup_replies = [reply.result() for reply in lookup_replies]
    finally:
        paused.resume()
    long_deadline_replies = [reply.result() for reply in long_deadline_replies]
    short_deadline_requester.close()

    assert {reply.summary for reply in lookup_replies} == {(200, "answered", None)}
    assert {reply.summary for reply in short_deadline_replies} == {
        (504, "may-have-run", "deadline")
    }
    wait_until("resumed node serves", lambda: fleet.is_fully_linked("schvaleni-1"))
    wait_until("nothing runs", lambda: all(run["ended_at_ms"] for run in fleet.runs()))
    print(Counter(reply.summary for reply in long_deadline_replies))
    assert_verdicts_match_runs(
        fleet, short_deadline_replies + long_deadline_replies, "approve-order"
    )
    lookup_runs = runs_by_id(fleet, "order-state")
    assert {lookup_runs[lookup.request_id] for lookup in lookups} <= {1, 2}
