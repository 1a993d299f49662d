"""Silent links and paused nodes: honest verdicts, and at most one run."""

from collections import Counter

import pytest

from sassafraswinch_standins.asker import Asker
from sassafraswinch_standins.chain import APPROVE, ORDER_STATE, RELEASE, chain
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until

FAR_ROUTES = {"brno-b>vydej-1": "schvaleni-2", "ostrava-c>vydej-1": "schvaleni-3"}
"""Routes to the only server of vydej, and a host that calls over each."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    graph = chain(approval_ms=300, lookup_ms=700, servers=3, releases=1)
    directory = tmp_path_factory.mktemp("silence")
    with Fleet(graph=graph, directory=directory, relay_links=True) as fleet:
        yield fleet


@pytest.fixture
def patient(fleet):
    """An asker whose deadline outlasts the faults, of a fleet that is whole."""
    wait_until("all linked", lambda: all(map(fleet.sees_all, fleet.hosts)))
    patient = Asker(caller="dispatcher", organisation="carrier")
    yield patient
    patient.close()


def entry(fleet, host):
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


def assert_honest(fleet, replies, operation):
    """An answer means one run, not-run means none, and anything else at most one."""
    runs = runs_by_id(fleet, operation)
    allowed = {"answered": {1}, "not-run": {0}, "may-have-run": {0, 1}}
    wrong = [
        (reply.told, runs[reply.request_id])
        for reply in replies
        if runs[reply.request_id] not in allowed[reply.verdict]
    ]
    assert not wrong


def test_silent_links_cost_no_answer_and_no_second_run(fleet, patient):
    """Two links go silent, each in one direction, while new connections work.

    Releases run behind them, and more are sent before anyone can know. Behind the
    link that loses answers all of them run: their answers come over the new link.
    Behind the link that loses calls the later ones never arrive: the executing node
    proves it, and the callers are told not-run.
    """
    directions = dict(zip(FAR_ROUTES, ("to-client", "to-target"), strict=True))
    releases = {
        route: [
            patient.with_ticket(entry(fleet, host), patient.new("POST", RELEASE))
            for _ in range(6)
        ]
        for route, host in FAR_ROUTES.items()
    }

    def send(route, chosen):
        through = entry(fleet, FAR_ROUTES[route])
        return patient.together(lambda r: patient.ask(through, r), chosen)

    replies = {route: send(route, releases[route][:3]) for route in FAR_ROUTES}
    for route in FAR_ROUTES:
        wait_started(fleet, releases[route][:3], "release-order")
    for route, direction in directions.items():
        fleet.control_relay(
            [route], fault="silent", direction=direction, only_open=True
        )
        replies[route] += send(route, releases[route][3:])
    ended = {r: [reply.result() for reply in replies[r]] for r in FAR_ROUTES}

    told = {route: [reply.told for reply in ended[route]] for route in FAR_ROUTES}
    answered, fenced = (200, "answered", None), (503, "not-run", "fenced")
    assert told["brno-b>vydej-1"] == [answered] * 6
    assert told["ostrava-c>vydej-1"] == [answered] * 3 + [fenced] * 3
    for route in FAR_ROUTES:
        assert_honest(fleet, ended[route], "release-order")
        assert {r.fault for r in ended[route] if r.status == 200} == {None}


def test_call_that_was_told_not_run_never_runs_when_its_frame_comes_late(
    fleet, patient
):
    """A link goes silent with calls on their way, and delivers them much later.

    The owner made a new link meanwhile and heard "never started" over it; so the
    callers were told not-run and went on with fresh tickets. The late frames must
    not start: their session is below the fence.
    """
    route, host = "brno-b>vydej-1", "schvaleni-2"
    through = entry(fleet, host)
    releases = [
        patient.with_ticket(through, patient.new("POST", RELEASE)) for _ in range(5)
    ]
    fleet.control_relay([route], fault="held")
    replies = patient.together(lambda r: patient.ask(through, r), releases)
    ended = [reply.result() for reply in replies]

    assert {reply.told for reply in ended} == {(503, "not-run", "fenced")}
    assert fleet.held_by_relay(route) > 0
    fleet.control_relay([route], fault="none")
    wait_until("frames delivered", lambda: fleet.held_by_relay(route) == 0)
    again = [patient.new("POST", RELEASE, ticket=reply.ticket) for reply in ended]
    renewed = patient.together(lambda r: patient.ask(through, r), again)
    renewed = [reply.result() for reply in renewed]
    assert {reply.told for reply in renewed} == {(200, "answered", None)}
    assert_honest(fleet, ended + renewed, "release-order")


def test_paused_executing_node_runs_nothing_that_was_told_not_run(fleet, patient):
    """SIGSTOP of an executing node with calls in its buffers, SIGCONT much later.

    Meanwhile its owner has retried lookups elsewhere and told the callers with a
    short deadline that their approvals may have run. When the node wakes up it reads
    the old frames first; the outcomes that were told must stay true.
    """
    paying = Asker()
    through, paused = entry(fleet, "vydej-1"), fleet.node("schvaleni-1")
    hasty = [paying.with_ticket(through, paying.new("POST", APPROVE)) for _ in "123"]
    approvals = [
        patient.with_ticket(through, patient.new("POST", APPROVE)) for _ in "123"
    ]
    lookups = [patient.new("GET", ORDER_STATE) for _ in "12"]
    paused.pause()
    try:
        early = paying.together(lambda a: paying.ask(through, a), hasty)
        late = patient.together(lambda a: patient.ask(through, a), approvals)
        looked_up = patient.together(lambda a: patient.ask(through, a), lookups)
        early = [reply.result() for reply in early]
        looked_up = [reply.result() for reply in looked_up]
    finally:
        paused.resume()
    late = [reply.result() for reply in late]
    paying.close()

    assert {reply.told for reply in looked_up} == {(200, "answered", None)}
    assert {reply.told for reply in early} == {(504, "may-have-run", "deadline")}
    wait_until("woken node serves", lambda: fleet.sees_all("schvaleni-1"))
    wait_until("nothing runs", lambda: all(run["ended_at_ms"] for run in fleet.runs()))
    print(Counter(reply.told for reply in late))
    assert_honest(fleet, early + late, "approve-order")
    lookup_runs = runs_by_id(fleet, "order-state")
    assert {lookup_runs[lookup.request_id] for lookup in lookups} <= {1, 2}
