"""The greatest value of a sliding window."""

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.recent_maximum import RecentMaximum

WINDOW_MS = 20.0


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 15), st.integers(0, 9)), min_size=1))
def test_it_is_the_greatest_of_the_values_that_held_in_the_window(steps):
    maximum = RecentMaximum(window_ms=WINDOW_MS)
    now_ms, history = 0.0, []
    for step_ms, value in steps:
        now_ms += step_ms
        maximum.record_value(value, now_ms)
        history.append((now_ms, value))
        ends_ms = [at_ms for at_ms, _ in history[1:]] + [now_ms + 1]
        held = [
            value
            for (_, value), end_ms in zip(history, ends_ms, strict=True)
            if now_ms - end_ms < WINDOW_MS
        ]
        assert maximum.value(now_ms) == max(held)


def test_hosts_that_are_gone_leave_the_count_after_the_window():
    """Each replaced host makes the fleet look larger by one. If that stayed for good,
    each sidecar's part of the slack would shrink until nothing is repeated.
    """
    maximum = RecentMaximum(window_ms=WINDOW_MS)
    maximum.record_value(200, 0.0)
    maximum.record_value(196, 5.0)
    assert maximum.value(24.0) == 200
    assert maximum.value(25.0) == 196
