"""Tests of the benchmark figures on small synthetic reports."""

import pytest

from sassafraswinch_standins.figures import (
    SERIES_FIELDS,
    Series,
    Timeline,
    amplification,
    count_duplicate_runs,
    goodput,
    inversions,
    recovery_ms,
    wasted_share,
)
from sassafraswinch_standins.graph import brno

GRAPH = brno()
TIMELINE = Timeline(
    baseline_start_ms=0, disturbance_start_ms=1000, disturbance_end_ms=2000, end_ms=8000
)
INTERVALS = 80


def series(**by_traffic):
    """Return a series of good requests only, with the given fields replaced."""
    perfect = {field: [2] * INTERVALS for field in SERIES_FIELDS}
    perfect["refused"] = [0] * INTERVALS
    traffic = {
        t.name: perfect | by_traffic.get(t.name.replace("-", "_"), {})
        for t in GRAPH.traffic
    }
    return Series([{"traffic": traffic}])


def run(request_id, busy_ms=10.0, service="prehled", at_ms=0.0, operation="x"):
    return {
        "request_id": request_id,
        "busy_ms": busy_ms,
        "service": service,
        "started_at_ms": at_ms,
        "operation": operation,
    }


def test_recovery_starts_at_the_first_lasting_normal_window():
    bad = [2] * 10 + [0] * 20 + [2] * 5 + [0] * 5 + [2] * 40
    assert recovery_ms(GRAPH, series(), TIMELINE) == 0
    late = series(approve={"objective_by_start": bad})
    # Approvals are a third of the paying requests. Of the 60 paying requests in a
    # window, 58 are within the objective in the window from 3.9 s, which has one bad
    # interval of ten, and 56 in the window before it.
    assert recovery_ms(GRAPH, late, TIMELINE) == 1900
    never = series(trial_lookup={"good_by_start": [2] * 20 + [0] * 60})
    assert recovery_ms(GRAPH, never, TIMELINE) is None


def test_wasted_work_is_that_of_attempts_without_a_good_response():
    runs = [run("c:approve:1.0"), run("c:approve:1.0/1"), run("c:approve:2.0/0", 20)]
    assert wasted_share(runs, {"c:approve:1.0"}) == pytest.approx(0.5)


def test_duplicate_runs_are_counted_across_attempts():
    runs = [
        run("c:approve:1.0", operation="approve-order"),
        run("c:approve:1.1", operation="approve-order"),
        run("c:approve:1.1/0"),
        run("c:approve:2.0/0"),
    ]
    assert amplification(runs) == pytest.approx(4 / 3)
    assert count_duplicate_runs(runs, {"approve-order"}) == 1


def test_inversion_needs_a_lower_class_in_the_call_tree_in_the_same_interval():
    refused = [0] * INTERVALS
    refused[3], refused[5] = 2, 1
    figures = series(paying_lookup={"refused": refused})
    runs = [run("c:trial-lookup:1.0/0/0", service="archiv", at_ms=350.0)]
    assert inversions(GRAPH, figures, runs, 0.0, TIMELINE) == (2, 3)
    higher = [run("c:approve:1.0", service="prehled", at_ms=350.0)]
    assert inversions(GRAPH, figures, higher, 0.0, TIMELINE) == (0, 3)


def test_goodput_is_relative_to_slot_capacity():
    half = series(approve={"good": [1] * INTERVALS})
    figures = goodput(GRAPH, half, TIMELINE, slow={})
    assert figures["ideal_per_s"]["approve"] == 20
    # Weights are slot times on archiv, the bottleneck: 80 ms for an action, 40 ms for
    # a lookup.
    assert figures["highest_class_share"] == pytest.approx(240 / 320)
    assert figures["paying_share"] == pytest.approx(320 / 400)
    assert figures["whole_share"] == pytest.approx(400 / 480)


def test_cheap_lookups_instead_of_approvals_do_not_exceed_capacity():
    """Goodput counts slot time, so that displaced expensive requests are noticed.

    A slowed archive sustains 60 calls per second: 30 approvals or 60 lookups.
    """
    none, full = [0] * INTERVALS, [6] * INTERVALS
    lookups = series(
        approve={"good": none},
        release={"good": none},
        paying_lookup={"good": full},
        trial_lookup={"good": none},
    )
    figures = goodput(GRAPH, lookups, TIMELINE, slow={"archiv": 5})
    assert figures["highest_class_share"] == 0
    assert figures["whole_share"] == pytest.approx(1.0)
