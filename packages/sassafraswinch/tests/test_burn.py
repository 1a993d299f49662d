"""Tests of burn recording, burn-rate alerts and merged burn reports."""

import gc

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.burn import (
    OTHER,
    BurnRecorder,
    merge_reports,
    parse_report,
    serialize_report,
)
from sassafraswinch.burn_report import Severity
from sassafraswinch.burn_windows import BURN_WINDOWS_MS, COUNT_SLOTS
from sassafraswinch.document import Objective
from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch.verdict import Reason, Verdict

OBJECTIVE = Objective(answered_percent=99.0, latency_ms=100.0)
SECOND_MS = 1000.0


def recorder(host="brno-a-1", **kwargs):
    burn = BurnRecorder(host=host, now_ms=0, **kwargs)
    burn.set_objectives({"paying": OBJECTIVE}, document_version=7)
    return burn


def record(burn, now_ms, verdict=Verdict.ANSWERED, reason=None, **kwargs):
    facts = {"class_name": "paying", "operation": "approve", "latency_ms": 5.0}
    burn.record(**(facts | kwargs), verdict=verdict, reason=reason, now_ms=now_ms)


@pytest.mark.parametrize(
    ("verdict", "reason", "latency_ms", "standing"),
    [
        (Verdict.ANSWERED, None, 100.0, "good"),
        (Verdict.ANSWERED, None, 100.1, "late"),
        (Verdict.NOT_RUN, Reason.OVERLOADED, 1.0, "refused"),
        (Verdict.NOT_RUN, Reason.LEAVING, 1.0, "refused"),
        (Verdict.NOT_RUN, None, 1.0, "refused"),
        (Verdict.NOT_RUN, Reason.CANCELLED, 1.0, "not_counted"),
        (Verdict.MAY_HAVE_RUN, Reason.CANCELLED, 1.0, "not_counted"),
        (Verdict.NOT_RUN, Reason.TICKET_REQUIRED, 1.0, "not_counted"),
        (Verdict.NOT_RUN, Reason.CALLER_RETRIES, 1.0, "not_counted"),
        (Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, 1.0, "unknown"),
        (Verdict.MAY_HAVE_RUN, Reason.TICKET_EXPIRED, 1.0, "unknown"),
    ],
)
def test_outcome_is_counted_in_its_category(verdict, reason, latency_ms, standing):
    burn = recorder()
    record(burn, 1.0, verdict, reason, latency_ms=latency_ms)
    (series,) = burn.report(2.0).series
    assert getattr(series.total, standing) == 1
    assert all(window.counts == series.total for window in series.windows)
    assert series.reasons == ({reason.value: 1} if reason else {})


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(st.floats(0, 2_000_000), st.booleans()), min_size=1, max_size=40
    ),
    st.floats(0, 30_000_000),
)
def test_windows_match_a_list_of_all_calls(calls, pause_ms):
    burn, now_ms, history = recorder(), 0.0, []
    for gap_ms, good in calls:
        now_ms += gap_ms
        record(burn, now_ms, Verdict.ANSWERED if good else Verdict.MAY_HAVE_RUN)
        history.append((now_ms, good))
    now_ms += pause_ms
    for series in burn.report(now_ms).series:
        for window in series.windows:
            slot_ms = window.window_ms // COUNT_SLOTS
            oldest = now_ms // slot_ms - COUNT_SLOTS
            inside = [good for at_ms, good in history if at_ms // slot_ms >= oldest]
            assert window.counts.good == sum(inside)
            assert window.counts.unknown == len(inside) - sum(inside)


def test_merged_reports_equal_one_report_of_all_calls():
    first, second, combined = recorder("a"), recorder("b"), recorder("c")
    for step in range(400):
        for burn in (first if step % 3 else second, combined):
            record(
                burn,
                step * SECOND_MS,
                Verdict.ANSWERED if step % 7 else Verdict.NOT_RUN,
                None if step % 7 else Reason.EVICTED,
                latency_ms=step / 2,
            )
    texts = [serialize_report(burn.report(400 * SECOND_MS)) for burn in (first, second)]
    merged = merge_reports([parse_report(text, source="node") for text in texts])
    (merged_series,), (expected_series,) = (
        merged.series,
        combined.report(400 * SECOND_MS).series,
    )
    assert merged.hosts == ("a", "b")
    assert merged_series.windows == expected_series.windows
    assert (merged_series.total, merged_series.reasons) == (
        expected_series.total,
        expected_series.reasons,
    )
    for latency, expected in zip(
        merged_series.latencies, expected_series.latencies, strict=True
    ):
        assert latency.p99_ms == expected.p99_ms == pytest.approx(198, rel=0.01)
        assert (
            latency.histogram.get_total_count()
            == expected_series.total.good + expected_series.total.late
        )


def test_merging_no_reports_gives_an_empty_report():
    assert merge_reports([]).series == ()


def test_objective_of_the_newest_document_wins_a_merge():
    old, new = recorder("a"), recorder("b")
    tighter = Objective(answered_percent=99.9, latency_ms=50.0)
    new.set_objectives({"paying": tighter}, document_version=8)
    record(old, 1.0)
    record(new, 1.0)
    merged = merge_reports([old.report(2.0), new.report(2.0)])
    assert merged.document_version == 8
    assert merged.series[0].objective == tighter


def test_outage_pages_within_four_minutes_and_clears_after_it():
    """Approvals are refused for four minutes after an hour of good service.

    The alert must fire during the outage, not once an hour's error budget is spent,
    and it must clear soon after approvals are answered again.
    """
    burn = recorder()
    for second in range(3600):
        record(burn, second * SECOND_MS)
    assert burn.report(3600 * SECOND_MS).series[0].alerts == ()
    for second in range(3600, 3720):
        record(burn, second * SECOND_MS, Verdict.NOT_RUN, Reason.OVERLOADED)
    (series,) = burn.report(3720 * SECOND_MS).series
    assert Severity.PAGE not in {alert.severity for alert in series.alerts}
    for second in range(3720, 3840):
        record(burn, second * SECOND_MS, Verdict.NOT_RUN, Reason.OVERLOADED)
    (series,) = burn.report(3840 * SECOND_MS).series
    assert Severity.PAGE in {alert.severity for alert in series.alerts}
    for second in range(3840, 4300):
        record(burn, second * SECOND_MS)
    (series,) = burn.report(4300 * SECOND_MS).series
    assert Severity.PAGE not in {alert.severity for alert in series.alerts}


def test_new_fleet_pages_as_late_as_a_long_running_one():
    """The first calls of a fleet that has just started are refused.

    All its windows hold the same ten seconds, so each rule would see an hour or six
    of burn and page at once. It must page when five minutes' worth is burnt.
    """
    burn = recorder()
    for second in range(10):
        record(burn, second * SECOND_MS, Verdict.NOT_RUN, Reason.OVERLOADED)
    (series,) = burn.report(10 * SECOND_MS).series
    assert series.windows[-1].burn_rate == pytest.approx(100.0)
    assert series.alerts == ()
    for second in range(10, 140):
        record(burn, second * SECOND_MS, Verdict.NOT_RUN, Reason.OVERLOADED)
    (series,) = burn.report(140 * SECOND_MS).series
    assert [alert.severity for alert in series.alerts] == [Severity.PAGE]


def test_one_bad_call_of_a_rare_operation_raises_no_alert():
    burn = recorder()
    record(burn, 1.0, Verdict.NOT_RUN, Reason.OVERLOADED)
    (series,) = burn.report(2.0).series
    assert series.windows[0].burn_rate == pytest.approx(100.0)
    assert series.alerts == ()


def test_series_above_the_limit_share_one_and_idle_ones_are_evicted():
    """Successive documents name new operations.

    A node that kept a series for each would grow until the operating system kills it
    for its memory use.
    """
    burn = recorder(max_series=4)
    for number in range(10):
        record(burn, 1.0, operation=f"op-{number}")
    names = [series.operation for series in burn.report(2.0).series]
    assert names == [OTHER, "op-0", "op-1", "op-2"]
    later_ms = BURN_WINDOWS_MS[-1] + 10.0
    record(burn, later_ms, operation="new")
    assert [s.operation for s in burn.report(later_ms).series] == ["new"]


def test_reports_are_freed_without_garbage_collection():
    """A node freezes or delays garbage collection to keep latencies low.

    If the histograms of a report were in reference cycles, each scrape would add to
    the memory used, by megabytes until the next full collection.
    """
    burn = recorder()
    record(burn, 1.0)
    gc.collect()
    gc.disable()
    try:
        before = len(gc.get_objects())
        for _ in range(50):
            burn.report(2.0)
        assert len(gc.get_objects()) < before + 50
    finally:
        gc.enable()


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ('{"hosts": ["a"]}', "document_version"),
        ("[]", "(whole text)"),
        ('{"hosts": [], "document_version": 1, "series": [{}]}', "series.0.class_name"),
    ],
)
def test_invalid_report_names_the_field(text, field):
    with pytest.raises(InvalidFieldsError) as caught:
        parse_report(text, source="10.0.0.1:9000")
    assert field in [error.field for error in caught.value.exceptions]
    assert caught.value.exceptions[0].source == "10.0.0.1:9000"
