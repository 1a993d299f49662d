"""Tests of nodes killed while calls run: correct verdicts and no duplicate runs."""

from collections import Counter

import pytest

from sassafraswinch_standins.chain import APPROVE, ORDER_STATE, chain
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.recovery import recover
from sassafraswinch_standins.requester import Requester

RETRY_ALLOWANCE = 3
"""Retry allowance in the chain's document."""

APPROVALS = 8
LOOKUPS = 8


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    graph = chain(approval_ms=1_000, lookup_ms=400)
    with Fleet(graph=graph, directory=tmp_path_factory.mktemp("kill")) as fleet:
        yield fleet


@pytest.fixture
def requester(fleet):
    """Client of a fleet that has recovered from the previous test."""
    recover(fleet)
    requester = Requester()
    yield requester
    requester.close()


def ingress_of(fleet, host):
    return fleet.hosts[host].entry


def runs_by_id(fleet, requests, operation):
    ids = {request.request_id for request in requests}
    return Counter(
        run["request_id"].partition("/")[0]
        for run in fleet.runs()
        if run["operation"] == operation and run["request_id"].partition("/")[0] in ids
    )


def wait_all_started(fleet, requests, operation):
    def started():
        return len(runs_by_id(fleet, requests, operation)) == len(requests)

    wait_until(f"{len(requests)} runs of {operation} started", started)


def assert_at_most_once(fleet, requests):
    for operation in ("approve-order", "release-order"):
        runs = runs_by_id(fleet, requests, operation)
        assert not [i for i, count in runs.items() if count > 1], runs


def test_approvals_on_a_killed_executing_node_may_have_run(fleet, requester):
    """SIGKILL of the executing node while eight approvals run on its backend server.

    The owner can't know whether they ran. It returns may-have-run, and only once the
    node has restarted or the deadline has passed. The callers then retry with the same
    tickets through the owner and other nodes: nothing runs twice.
    """
    owner_address = ingress_of(fleet, "vydej-1")
    approvals = [
        requester.with_ticket(owner_address, requester.new("POST", APPROVE))
        for _ in range(APPROVALS)
    ]
    replies = requester.submit_all(
        lambda a: requester.send(owner_address, a), approvals
    )
    wait_all_started(fleet, approvals, "approve-order")
    fleet.node("schvaleni-1").kill()
    fleet.node("schvaleni-1").start()

    outcomes = Counter(reply.result().verdict for reply in replies)
    assert outcomes == {"may-have-run": APPROVALS}
    for host in ("vydej-1", "vydej-2", "schvaleni-1"):
        retries = requester.submit_all(
            lambda a, h=host: requester.send(ingress_of(fleet, h), a), approvals
        )
        assert {reply.result().verdict for reply in retries} == {"may-have-run"}
    assert_at_most_once(fleet, approvals)


def test_killed_executing_node_costs_a_lookup_one_retry(fleet, requester):
    """SIGKILL of the executing node while eight lookups run on its backend server.

    They are repeatable: each is retried on the host of the other availability zone,
    within its allowance, and succeeds with a delay. For requests that arrive after the
    kill nothing was written to the dead node, so the other host serves all of them at
    once, approvals as well.
    """
    owner_address = ingress_of(fleet, "vydej-1")
    lookups = [requester.new("GET", ORDER_STATE) for _ in range(LOOKUPS)]
    replies = requester.submit_all(lambda a: requester.send(owner_address, a), lookups)
    wait_all_started(fleet, lookups, "order-state")
    fleet.node("schvaleni-1").kill()

    assert {reply.result().summary for reply in replies} == {(200, "answered", None)}
    assert {reply.result().fault for reply in replies} == {None}
    runs = runs_by_id(fleet, lookups, "order-state")
    assert set(runs.values()) == {2}
    child_runs = runs_by_id(fleet, lookups, "stock")
    assert max(child_runs.values()) <= 1 + RETRY_ALLOWANCE

    later_requests = [requester.new("GET", ORDER_STATE) for _ in range(4)]
    later_requests += [
        requester.with_ticket(owner_address, requester.new("POST", APPROVE))
        for _ in range(4)
    ]
    replies = requester.submit_all(
        lambda a: requester.send(owner_address, a), later_requests
    )
    outcomes = Counter(reply.result().summary for reply in replies)
    assert outcomes == {(200, "answered", None): 8}
    assert_at_most_once(fleet, later_requests)


def test_tickets_of_a_killed_owner_never_run_again(fleet, requester):
    """SIGKILL of the owner while approvals that it dispatched run on other nodes.

    The callers' connections break. They retry with the same tickets through other nodes
    while the owner is down, and through the owner after its restart. Each time the
    verdict is may-have-run, since the owner's record of its dispatches is lost.
    """
    owner = "vydej-1"
    approvals = [
        requester.with_ticket(ingress_of(fleet, owner), requester.new("POST", APPROVE))
        for _ in range(APPROVALS)
    ]
    unused = requester.with_ticket(
        ingress_of(fleet, owner), requester.new("POST", APPROVE)
    )
    replies = requester.submit_all(
        lambda a: requester.send(ingress_of(fleet, owner), a), approvals
    )
    wait_all_started(fleet, approvals, "approve-order")
    fleet.node(owner).kill()
    assert all(reply.result().connection_error for reply in replies)

    retries = requester.submit_all(
        lambda a: requester.send(ingress_of(fleet, "vydej-2"), a), approvals
    )
    assert {reply.result().summary for reply in retries} == {
        (502, "may-have-run", "ticket-owner-unreachable")
    }
    fleet.node(owner).start()
    fleet.wait_ready([owner])
    wait_until("owner linked again", lambda: fleet.is_fully_linked("vydej-2"))
    for host in (owner, "vydej-2"):
        retries = requester.submit_all(
            lambda a, h=host: requester.send(ingress_of(fleet, h), a),
            [*approvals, unused],
        )
        assert {reply.result().summary for reply in retries} == {
            (502, "may-have-run", "ticket-owner-restarted")
        }
    assert_at_most_once(fleet, [*approvals, unused])
    assert not runs_by_id(fleet, [unused], "approve-order")


def test_child_call_of_a_killed_owner_is_never_retried(fleet, requester):
    """SIGKILL of the node whose backend server has just made a child call, a release.

    That node owned the release. Its backend server gets no response and the approval
    fails; the caller's retry must not run the release a second time.
    """
    owner_address = ingress_of(fleet, "vydej-2")
    approval = requester.with_ticket(owner_address, requester.new("POST", APPROVE))
    (reply,) = requester.submit_all(
        lambda a: requester.send(owner_address, a), [approval]
    )
    wait_all_started(fleet, [approval], "release-order")
    fleet.node("schvaleni-2").kill()
    fleet.node("schvaleni-2").start()

    assert reply.result().verdict == "may-have-run"
    assert requester.send(owner_address, approval).verdict == "may-have-run"
    assert_at_most_once(fleet, [approval])
