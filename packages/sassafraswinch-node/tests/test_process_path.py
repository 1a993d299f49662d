"""Tests of complete calls through real processes: callers, nodes, backend servers."""

from dataclasses import replace

import orjson
import pytest

from sassafraswinch_standins.answers import MAX_FILLER_BYTES
from sassafraswinch_standins.chain import (
    APPROVE,
    ARCHIVE,
    LOOKUP,
    ORDER_STATE,
)
from sassafraswinch_standins.control import call_json
from sassafraswinch_standins.recovery import recover
from sassafraswinch_standins.requester import Requester

MAX_BODY_BYTES = 1_048_576
FORGED_ROOT = "f" * 32


@pytest.fixture(scope="module")
def fleet(shared_fleet):
    recover(shared_fleet)
    return shared_fleet


@pytest.fixture
def requester():
    requester = Requester()
    yield requester
    requester.close()


def ingress_of(fleet, host="prehled-1"):
    return fleet.hosts[host].entry


def runs_of(fleet, request_id):
    return [
        run
        for run in fleet.runs()
        if run["request_id"] == request_id
        or run["request_id"].startswith(f"{request_id}/")
    ]


def answered_by_class(fleet, host, operation):
    series = call_json(fleet.hosts[host].operators, "/burn")["series"]
    return {
        s["class_name"]: s["total"]["good"] + s["total"]["late"]
        for s in series
        if s["operation"] == operation
    }


@pytest.mark.parametrize("host", ["prehled-1", "prehled-2"])
def test_lookup_runs_on_the_full_chain_and_is_answered(fleet, requester, host):
    lookup = requester.new("GET", LOOKUP)
    reply = requester.send(ingress_of(fleet, host), lookup)

    assert reply.summary == (200, "answered", None)
    assert reply.fault is None
    runs = runs_of(fleet, lookup.request_id)
    assert [run["service"] for run in runs] == ["schvaleni", "vydej", "prehled"]
    assert len({run["root_id"] for run in runs}) == 1


def test_approval_with_a_ticket_runs_once_with_its_release(fleet, requester):
    approval = requester.with_ticket(ingress_of(fleet), requester.new("POST", APPROVE))
    assert not runs_of(fleet, approval.request_id)

    reply = requester.send(ingress_of(fleet), approval)

    assert reply.summary == (200, "answered", None)
    assert reply.fault is None
    runs = runs_of(fleet, approval.request_id)
    assert [run["operation"] for run in runs] == ["approve-order", "release-order"]


def test_retry_of_an_approval_through_any_node_gets_the_first_response(
    fleet, requester
):
    """The caller loses the response to an approval and retries it through another node.

    A second approval would make a supplier ship twice. The other node, in another
    availability zone, has no record of the first one.
    """
    approval = requester.with_ticket(ingress_of(fleet), requester.new("POST", APPROVE))
    replies = [
        requester.send(ingress_of(fleet, host), approval)
        for host in ("prehled-1", "prehled-1", "prehled-2", "vydej-2")
    ]

    assert [reply.summary for reply in replies] == [(200, "answered", None)] * 4
    assert len({reply.body for reply in replies}) == 1
    assert len(runs_of(fleet, approval.request_id)) == 2


def test_concurrent_retries_share_one_run(fleet, requester):
    """A caller sends an approval eight times concurrently through two nodes."""
    approval = requester.with_ticket(ingress_of(fleet), requester.new("POST", APPROVE))
    hosts = ["prehled-1", "prehled-2"] * 4
    replies = requester.submit_all(
        lambda h: requester.send(ingress_of(fleet, h), approval), hosts
    )

    assert {reply.result().summary for reply in replies} == {(200, "answered", None)}
    assert len(runs_of(fleet, approval.request_id)) == 2


def test_response_of_1_mb_is_complete_after_three_hops(fleet, requester):
    """Each hop forwards a response of 1 MB, and each receiver checks it.

    A truncated or mixed response fails the checksum at the hop where it happened: a
    backend server then responds with 502, and the caller sees the fault.
    """
    archive = requester.new("GET", ARCHIVE, answer_bytes=MAX_FILLER_BYTES)
    reply = requester.send(ingress_of(fleet), archive)

    assert reply.summary == (200, "answered", None)
    assert reply.fault is None
    assert len(reply.body) > MAX_FILLER_BYTES
    assert len(runs_of(fleet, archive.request_id)) == 3


def test_concurrent_responses_of_1_mb_are_not_mixed(fleet, requester):
    """Twelve responses of 1 MB share the links; mixed data would fail a checksum."""
    archives = [
        requester.new("GET", ARCHIVE, answer_bytes=MAX_FILLER_BYTES) for _ in range(12)
    ]
    entries = [ingress_of(fleet, "prehled-1"), ingress_of(fleet, "schvaleni-2")] * 6
    replies = [
        reply.result()
        for reply in requester.submit_all(
            lambda pair: requester.send(*pair), zip(entries, archives, strict=True)
        )
    ]

    assert {reply.summary for reply in replies} == {(200, "answered", None)}
    assert [reply.fault for reply in replies] == [None] * 12


def test_body_at_the_limit_passes_and_one_byte_more_is_refused(fleet, requester):
    approval = requester.new("POST", APPROVE)
    fields = orjson.dumps({"id": approval.request_id, "answer_bytes": 10})
    at_limit = replace(approval, body=fields.ljust(MAX_BODY_BYTES))
    too_long = replace(approval, body=fields.ljust(MAX_BODY_BYTES + 1))

    refused = requester.send(ingress_of(fleet), too_long)
    assert refused.summary == (413, "not-run", "too-large")
    assert not runs_of(fleet, approval.request_id)

    ticketed = requester.with_ticket(ingress_of(fleet), at_limit)
    refused = requester.send(ingress_of(fleet), replace(ticketed, body=too_long.body))
    # Only the ticket's owner can know whether a request has run with it.
    assert refused.summary == (413, "may-have-run", "too-large")
    reply = requester.send(ingress_of(fleet), ticketed)
    assert reply.summary == (200, "answered", None)
    assert reply.fault is None


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/prehled/nothing"),
        ("DELETE", "/prehled/orders/1"),
        ("GET", "/no-such-service/orders/1"),
        ("GET", "/prehled/orders/1/../../probe"),
    ],
)
def test_unknown_operation_is_refused_and_reaches_no_backend_server(
    fleet, requester, method, path
):
    unknown = requester.new(method, path)
    reply = requester.send(ingress_of(fleet), unknown)

    assert reply.summary == (404, "not-run", "unknown-operation")
    assert not runs_of(fleet, unknown.request_id)


def test_context_headers_of_a_caller_are_stripped(fleet, requester):
    """A caller forges context headers: root, deadline, parent and class.

    If they were forwarded, the backend server would respond with 504 after 1 ms, its
    run would carry the forged root, and a caller could pose as a running parent call.
    """
    lookup = requester.new(
        "GET",
        ORDER_STATE,
        headers={
            "traceparent": f"00-{FORGED_ROOT}-{'a' * 16}-01",
            "x-deadline-ms": "1",
            "sassafraswinch-class": "paying",
            "sassafraswinch-verdict": "answered",
        },
    )
    reply = requester.send(ingress_of(fleet), lookup)

    assert reply.summary == (200, "answered", None)
    runs = runs_of(fleet, lookup.request_id)
    assert len(runs) == 2
    assert FORGED_ROOT not in {run["root_id"] for run in runs}


def test_caller_gets_only_the_labels_of_its_own_organisation(fleet):
    """A trial caller claims a paying organisation to get a higher priority."""
    cases = {
        ("buyer", "distributor"): "paying",
        ("trial-buyer", "prospect"): "trial",
        ("trial-buyer", "distributor"): "rest",
        ("nobody", "nowhere"): "rest",
    }
    before = answered_by_class(fleet, "schvaleni-1", "order-state")
    for caller, organisation in cases:
        requester = Requester(caller=caller, organisation=organisation)
        reply = requester.send(
            ingress_of(fleet, "schvaleni-1"), requester.new("GET", ORDER_STATE)
        )
        assert reply.summary == (200, "answered", None)
        requester.close()
    after = answered_by_class(fleet, "schvaleni-1", "order-state")

    gained = {name: count - before.get(name, 0) for name, count in after.items()}
    assert gained == {"paying": 1, "trial": 1, "rest": 2}


def test_ticket_of_one_organisation_is_invalid_for_another(fleet, requester):
    """An organisation uses a guessed or intercepted ticket of another organisation."""
    approval = requester.with_ticket(ingress_of(fleet), requester.new("POST", APPROVE))
    rival = Requester(caller="dispatcher", organisation="carrier")
    reply = rival.send(ingress_of(fleet), approval)
    rival.close()

    assert (reply.status, reply.reason) == (400, "ticket-invalid")
    assert not runs_of(fleet, approval.request_id)
    assert requester.send(ingress_of(fleet), approval).status == 200
