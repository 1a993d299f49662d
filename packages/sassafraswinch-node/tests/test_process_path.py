"""The whole path through real processes: callers, nodes, backend servers and back."""

from dataclasses import replace

import orjson
import pytest

from sassafraswinch_standins.answers import MAX_FILLER_BYTES
from sassafraswinch_standins.asker import Asker
from sassafraswinch_standins.chain import (
    APPROVE,
    ARCHIVE,
    LOOKUP,
    ORDER_STATE,
)
from sassafraswinch_standins.control import call_json
from sassafraswinch_standins.recovery import recover

LONGEST_BODY_BYTES = 1_048_576
FORGED_ROOT = "f" * 32


@pytest.fixture(scope="module")
def fleet(shared_fleet):
    recover(shared_fleet)
    return shared_fleet


@pytest.fixture
def asker():
    asker = Asker()
    yield asker
    asker.close()


def entry(fleet, host="prehled-1"):
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
def test_lookup_calls_down_the_chain_and_its_answer_comes_back(fleet, asker, host):
    lookup = asker.new("GET", LOOKUP)
    reply = asker.ask(entry(fleet, host), lookup)

    assert reply.told == (200, "answered", None)
    assert reply.fault is None
    runs = runs_of(fleet, lookup.request_id)
    assert [run["service"] for run in runs] == ["schvaleni", "vydej", "prehled"]
    assert len({run["root_id"] for run in runs}) == 1


def test_approval_with_a_ticket_runs_once_with_its_release(fleet, asker):
    approval = asker.with_ticket(entry(fleet), asker.new("POST", APPROVE))
    assert not runs_of(fleet, approval.request_id)

    reply = asker.ask(entry(fleet), approval)

    assert reply.told == (200, "answered", None)
    assert reply.fault is None
    runs = runs_of(fleet, approval.request_id)
    assert [run["operation"] for run in runs] == ["approve-order", "release-order"]


def test_repeat_of_an_approval_through_any_node_gets_the_first_answer(fleet, asker):
    """The caller loses the answer of an approval, and sends it again elsewhere.

    Seen by a user: a second approval would make a supplier ship twice. The other
    node, in another availability zone, knows nothing of the first one.
    """
    approval = asker.with_ticket(entry(fleet), asker.new("POST", APPROVE))
    replies = [
        asker.ask(entry(fleet, host), approval)
        for host in ("prehled-1", "prehled-1", "prehled-2", "vydej-2")
    ]

    assert [reply.told for reply in replies] == [(200, "answered", None)] * 4
    assert len({reply.body for reply in replies}) == 1
    assert len(runs_of(fleet, approval.request_id)) == 2


def test_repeats_that_come_together_join_one_run(fleet, asker):
    """A nervous caller sends an approval eight times at once, through two nodes."""
    approval = asker.with_ticket(entry(fleet), asker.new("POST", APPROVE))
    hosts = ["prehled-1", "prehled-2"] * 4
    replies = asker.together(lambda h: asker.ask(entry(fleet, h), approval), hosts)

    assert {reply.result().told for reply in replies} == {(200, "answered", None)}
    assert len(runs_of(fleet, approval.request_id)) == 2


def test_answer_of_1_mb_comes_whole_through_three_hops(fleet, asker):
    """Each hop hands an answer of 1 MB on, and each receiver checks it.

    A truncated or mixed answer fails the checksum at whichever hop it happened: a
    backend server then answers 502, and the caller sees the fault.
    """
    archive = asker.new("GET", ARCHIVE, answer_bytes=MAX_FILLER_BYTES)
    reply = asker.ask(entry(fleet), archive)

    assert reply.told == (200, "answered", None)
    assert reply.fault is None
    assert len(reply.body) > MAX_FILLER_BYTES
    assert len(runs_of(fleet, archive.request_id)) == 3


def test_many_answers_of_1_mb_at_once_are_each_the_callers_own(fleet, asker):
    """Twelve answers of 1 MB share the links; a mixture would fail a checksum."""
    archives = [
        asker.new("GET", ARCHIVE, answer_bytes=MAX_FILLER_BYTES) for _ in range(12)
    ]
    entries = [entry(fleet, "prehled-1"), entry(fleet, "schvaleni-2")] * 6
    replies = [
        reply.result()
        for reply in asker.together(
            lambda pair: asker.ask(*pair), zip(entries, archives, strict=True)
        )
    ]

    assert {reply.told for reply in replies} == {(200, "answered", None)}
    assert [reply.fault for reply in replies] == [None] * 12


def test_body_at_the_bound_passes_and_one_byte_more_is_refused(fleet, asker):
    approval = asker.new("POST", APPROVE)
    fields = orjson.dumps({"id": approval.request_id, "answer_bytes": 10})
    at_bound = replace(approval, body=fields.ljust(LONGEST_BODY_BYTES))
    above = replace(approval, body=fields.ljust(LONGEST_BODY_BYTES + 1))

    refused = asker.ask(entry(fleet), above)
    assert refused.told == (413, "not-run", "too-large")
    assert not runs_of(fleet, approval.request_id)

    ticketed = asker.with_ticket(entry(fleet), at_bound)
    refused = asker.ask(entry(fleet), replace(ticketed, body=above.body))
    # Only the ticket's owner can know that nothing has run under it.
    assert refused.told == (413, "may-have-run", "too-large")
    reply = asker.ask(entry(fleet), ticketed)
    assert reply.told == (200, "answered", None)
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
    fleet, asker, method, path
):
    unknown = asker.new(method, path)
    reply = asker.ask(entry(fleet), unknown)

    assert reply.told == (404, "not-run", "unknown-operation")
    assert not runs_of(fleet, unknown.request_id)


def test_context_headers_of_a_caller_are_stripped(fleet, asker):
    """A caller forges the context: root, deadline, parent, class.

    Were it passed on, the backend server would answer 504 within its 1 ms, its run
    would carry the forged root, and a caller could pose as a running parent.
    """
    lookup = asker.new(
        "GET",
        ORDER_STATE,
        headers={
            "traceparent": f"00-{FORGED_ROOT}-{'a' * 16}-01",
            "x-deadline-ms": "1",
            "sassafraswinch-class": "paying",
            "sassafraswinch-verdict": "answered",
        },
    )
    reply = asker.ask(entry(fleet), lookup)

    assert reply.told == (200, "answered", None)
    runs = runs_of(fleet, lookup.request_id)
    assert len(runs) == 2
    assert FORGED_ROOT not in {run["root_id"] for run in runs}


def test_a_caller_gets_the_labels_of_its_own_organisation_only(fleet):
    """A trial caller names a paying organisation, to be served before trial work."""
    cases = {
        ("buyer", "distributor"): "paying",
        ("trial-buyer", "prospect"): "trial",
        ("trial-buyer", "distributor"): "rest",
        ("nobody", "nowhere"): "rest",
    }
    before = answered_by_class(fleet, "schvaleni-1", "order-state")
    for caller, organisation in cases:
        asker = Asker(caller=caller, organisation=organisation)
        reply = asker.ask(entry(fleet, "schvaleni-1"), asker.new("GET", ORDER_STATE))
        assert reply.told == (200, "answered", None)
        asker.close()
    after = answered_by_class(fleet, "schvaleni-1", "order-state")

    gained = {name: count - before.get(name, 0) for name, count in after.items()}
    assert gained == {"paying": 1, "trial": 1, "rest": 2}


def test_ticket_of_one_organisation_is_no_good_for_another(fleet, asker):
    """A rival distributor guesses, or overhears, the ticket of another's approval."""
    approval = asker.with_ticket(entry(fleet), asker.new("POST", APPROVE))
    rival = Asker(caller="dispatcher", organisation="carrier")
    reply = rival.ask(entry(fleet), approval)
    rival.close()

    assert (reply.status, reply.reason) == (400, "ticket-invalid")
    assert not runs_of(fleet, approval.request_id)
    assert asker.ask(entry(fleet), approval).status == 200
