"""Quantiles of service time over short windows."""

from sassafraswinch.service_time import (
    MAX_OPERATIONS,
    MIN_SAMPLES,
    UNKNOWN,
    WINDOW_MS,
    ServiceTimes,
)


def feed(times, time_ms, *, now_ms, operation="lookup", count=MIN_SAMPLES):
    for _ in range(count):
        times.record(operation, time_ms, now_ms)


def test_quantiles_need_enough_samples():
    times = ServiceTimes()
    feed(times, 30.0, now_ms=0, count=MIN_SAMPLES - 1)
    assert times.estimate("lookup", 100) is UNKNOWN
    feed(times, 30.0, now_ms=100, count=1)
    assert 27 <= times.estimate("lookup", 100).likely_ms <= 33


def test_window_passes_on_its_quantiles_once():
    times = ServiceTimes()
    feed(times, 30.0, now_ms=0)
    assert times.estimate("lookup", WINDOW_MS + 1).likely_ms > 0
    assert times.estimate("lookup", 2 * WINDOW_MS + 2) is UNKNOWN


def test_idle_operation_is_unknown_again():
    """All calls are refused for their deadlines, so nothing is recorded.

    Kept for good, the old quantile would refuse every call of a server that
    has become fast again.
    """
    times = ServiceTimes()
    feed(times, 3000.0, now_ms=0)
    assert times.estimate("lookup", 10 * WINDOW_MS) is UNKNOWN


def test_calls_cut_off_by_their_deadline_count_if_they_took_long():
    """Every call is given up at its deadline, after 200 ms.

    Only the few fast ones would be recorded, and the quantile never show that
    the server has become too slow.
    """
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.record_cut("lookup", 200.0, 0)
    assert times.estimate("lookup", 0).likely_ms >= 180
    times.record_cut("lookup", 1.0, 0)
    assert times.estimate("lookup", 100).likely_ms >= 180


def test_further_operations_share_histograms():
    times = ServiceTimes()
    for number in range(MAX_OPERATIONS):
        times.record(f"operation-{number}", 5.0, 0)
    feed(times, 50.0, now_ms=0, operation="one too many")
    assert times.estimate("two too many", 0).likely_ms >= 45
