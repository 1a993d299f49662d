"""Tests of service time quantiles over short windows."""

from sassafraswinch.service_time import (
    MAX_OPERATIONS,
    MIN_SAMPLES,
    UNKNOWN,
    WINDOW_MS,
    ServiceTimes,
)


def record_calls(times, time_ms, *, now_ms, operation="lookup", count=MIN_SAMPLES):
    for _ in range(count):
        times.record(operation, time_ms, now_ms)


def test_quantiles_need_enough_samples():
    times = ServiceTimes()
    record_calls(times, 30.0, now_ms=0, count=MIN_SAMPLES - 1)
    assert times.estimate("lookup", 100) is UNKNOWN
    record_calls(times, 30.0, now_ms=100, count=1)
    assert 27 <= times.estimate("lookup", 100).likely_ms <= 33


def test_quantiles_of_a_window_expire_after_the_next_one():
    times = ServiceTimes()
    record_calls(times, 30.0, now_ms=0)
    assert times.estimate("lookup", WINDOW_MS + 1).likely_ms > 0
    assert times.estimate("lookup", 2 * WINDOW_MS + 2) is UNKNOWN


def test_idle_operation_is_unknown_again():
    """Guard against a backend server that is refused all calls after it was slow.

    All calls are refused for their deadlines, so no time is recorded. If the old
    quantile never expired, calls would be refused after the server is fast again.
    """
    times = ServiceTimes()
    record_calls(times, 3000.0, now_ms=0)
    assert times.estimate("lookup", 10 * WINDOW_MS) is UNKNOWN


def test_calls_cancelled_at_their_deadline_count_if_they_took_long():
    """Guard against quantiles of fast calls only.

    Calls are cancelled at their deadline, after 200 ms. If only completed calls were
    recorded, the quantile would never show that the server has become too slow.
    """
    times = ServiceTimes()
    for _ in range(MIN_SAMPLES):
        times.record_cancelled("lookup", 200.0, 0)
    assert times.estimate("lookup", 0).likely_ms >= 180
    times.record_cancelled("lookup", 1.0, 0)
    assert times.estimate("lookup", 100).likely_ms >= 180


def test_further_operations_share_histograms():
    times = ServiceTimes()
    for number in range(MAX_OPERATIONS):
        times.record(f"operation-{number}", 5.0, 0)
    record_calls(times, 50.0, now_ms=0, operation="one too many")
    assert times.estimate("two too many", 0).likely_ms >= 45
