"""A short play of the fault soak, and what its checks notice."""

import pytest

from fault_soak.play import play
from fault_soak.record import (
    DRAIN_CEILING_S,
    FATAL_TARGET,
    SPREAD_S,
    Record,
    Run,
    Sent,
    body_of,
)

SEED = 2
"""All processes are killed once, others paused and killed; links are cut and silenced,
servers crash and leave, and the routes change."""

FAILED_SEEDS = (
    28,  # A new instance at an idle server's address was refused on the old one's word.
    29,  # The same, and SIGHUP ended a process that was starting.
    220,  # Sidecars of two releases broke their links on each other's messages.
)
"""Seeds that ever failed by a fault of the program, each with its cause."""


@pytest.mark.parametrize("seed", [SEED, *FAILED_SEEDS])
async def test_promises_hold_while_processes_links_and_servers_fail(seed, tmp_path):
    outcome = await play(seed, tmp_path)
    assert not outcome.broken
    assert outcome.statuses[200] > outcome.statuses.total() / 2


async def test_request_that_ends_servers_is_held_back_while_all_else_fails(tmp_path):
    """One request ends each server that runs it and comes again at any host, while
    processes, links and servers fail around it. It may end three servers, and those
    that run it before all hosts can know.
    """
    outcome = await play(SEED, tmp_path, fatal=True)
    assert not outcome.broken
    assert outcome.statuses[200] > outcome.statuses.total() / 2


async def test_promises_hold_while_the_store_comes_back_from_older_copies(tmp_path):
    """Guards against changes and leavings that are lost in a restore of the store."""
    outcome = await play(SEED, tmp_path, restores=True)
    assert not outcome.broken
    assert outcome.faults["store-restored"]
    assert outcome.statuses[200] > outcome.statuses.total() / 2


def sent(**fields) -> Sent:
    known = {
        "request_id": "a",
        "host": "host-1",
        "caller_service": "archiv",
        "method": "POST",
        "target": "/approve/a",
        "idempotent": False,
        "organisation": "own",
        "sent_s": 1.0,
        "status": 200,
        "done_s": 2.0,
    }
    return Sent(**known | fields)


def run(**fields) -> Run:
    known = {
        "request_id": "a",
        "instance_id": "i-1",
        "service": "schvaleni",
        "method": "POST",
        "target": "/approve/a",
        "caller_service": "archiv",
        "organisation": "own",
        "started_s": 1.1,
        "drained_since_s": None,
    }
    return Run(**known | fields)


def broken(sent_requests, runs) -> list[str]:
    record = Record()
    record.services_of["/approve/"].add("schvaleni")
    record.sent = {each.request_id: each for each in sent_requests}
    record.runs = list(runs)
    return [line.partition(":")[0] for line in record.broken_promises()]


def test_requests_that_are_served_once_break_nothing():
    assert broken([sent()], [run()]) == []
    assert broken([sent(status=503)], []) == []
    assert broken([sent(status=502)], [run()]) == []
    assert broken([sent(idempotent=True)], [run(), run()]) == []


@pytest.mark.parametrize(
    ("request_fields", "runs", "line"),
    [
        ({}, [run(), run()], "ran twice"),
        ({"status": 503}, [run()], "ran though refused"),
        ({}, [], "answered without a run"),
        ({"status": None}, [], "no answer"),
        ({"status": 401}, [], "denied"),
        ({"fault": "answer of another request"}, [run()], "answer of another request"),
        ({}, [run(target="/approve/b")], "changed on the way"),
        ({}, [run(caller_service="nobody")], "wrong origin"),
        ({}, [run(service="archiv")], "wrong service"),
        ({}, [run(organisation="limited")], "wrong organisation"),
        ({"organisation": ""}, [run(organisation="")], "wrong organisation"),
        ({}, [run(has_key=True)], "key passed on"),
        (
            {},
            [run(drained_since_s=0.0, started_s=DRAIN_CEILING_S + 1)],
            "sent to a server that leaves",
        ),
    ],
)
def test_each_broken_promise_is_noticed(request_fields, runs, line):
    assert broken([sent(**request_fields)], runs) == [line]


def test_run_that_nobody_asked_for_is_noticed():
    assert broken([], [run()]) == ["unasked"]


def test_older_version_after_a_newer_one_is_noticed_in_one_lifetime_only():
    """A process serves a route of version 3, and later one that version 2 had."""
    new = sent(request_id="n", version=3, idempotent=True, sent_s=1.0, done_s=1.2)
    old = sent(request_id="o", version=2, idempotent=True, sent_s=9.0, done_s=9.1)
    runs = [run(request_id="n"), run(request_id="o")]
    assert broken([new, old], runs) == ["version fell"]
    old.lifetime = 1
    assert broken([new, old], runs) == []


def fatal_runs(*starts_s) -> list[str]:
    record = Record()
    record.services_of["/orders/"].add("archiv")
    request = sent(target=FATAL_TARGET, idempotent=True, method="GET", status=502)
    record.sent = {"a": request}
    record.runs = [
        run(target=FATAL_TARGET, service="archiv", method="GET", started_s=at)
        for at in starts_s
    ]
    return [line.partition(":")[0] for line in record.broken_promises()]


def test_request_that_goes_on_ending_servers_is_noticed():
    late = [3.0 + SPREAD_S + number for number in range(1, 5)]
    assert fatal_runs(1.0, 2.0, 3.0, *late[:3]) == []
    assert fatal_runs(1.0, 2.0, 3.0, 3.1, 3.2, 3.3) == []
    assert fatal_runs(1.0, 2.0, 3.0, *late) == ["went on ending servers"]


def test_an_organisation_over_its_limit_is_noticed():
    def lines(count):
        requests = [
            sent(request_id=str(n), organisation="limited") for n in range(count)
        ]
        runs = [
            run(request_id=str(n), organisation="limited", started_s=1 + n * 0.05)
            for n in range(count)
        ]
        return broken(requests, runs)

    assert lines(50) == []
    assert lines(51) == ["over the limit"]


def test_bodies_differ_between_requests():
    assert body_of("a") != body_of("b")
