"""Tests of a fleet of real node processes."""

import pytest

from sassafraswinch_standins.caller_settings import CallerSettings, Phase
from sassafraswinch_standins.clock import now_ms
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.graph import brno


@pytest.fixture
def fleet(tmp_path):
    with Fleet(graph=brno(servers=1), directory=tmp_path, relay_links=True) as fleet:
        yield fleet


def test_whole_path_serves_each_kind_of_traffic_once(fleet):
    caller = fleet.start_caller(
        CallerSettings(
            name="caller",
            entries=fleet.entries("brno-a"),
            phases=[Phase(rate_per_s=20)],
            duration_ms=2000,
            start_at_ms=now_ms() + 1500,
            traffic=list(fleet.graph.traffic),
        )
    )
    report = fleet.collect(caller, 4)
    outcomes = [figures["outcomes"] for figures in report["traffic"].values()]
    offered = sum(f["first_attempts"] for f in report["traffic"].values())
    assert sum(o["good"] for o in outcomes) == offered
    assert sum(o["wrong"] for o in outcomes) == 0
    runs = fleet.runs()
    ids = [run["request_id"] for run in runs]
    assert len(ids) == len(set(ids))
    assert {i for i in ids if "/" not in i} == set(report["ids"]["good"])
    roots = {run["request_id"].partition("/")[0]: run["root_id"] for run in runs}
    assert all(
        run["root_id"] == roots[run["request_id"].partition("/")[0]] for run in runs
    )


def test_all_processes_are_killed_when_the_run_fails(tmp_path):
    with (
        pytest.raises(RuntimeError, match="a test fails"),
        Fleet(graph=brno(servers=1), directory=tmp_path) as fleet,
    ):
        fleet.node("archiv-1").pause()
        raise RuntimeError("a test fails")
    assert not any(process.alive for process in fleet.processes.values())
