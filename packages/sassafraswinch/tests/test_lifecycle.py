"""Tests of the node's life cycle and of the detector of process pauses."""

from sassafraswinch.lifecycle import LEAVE_NOTICE_MS, Lifecycle, NodeState
from sassafraswinch.wake import WakeDetector


def test_planned_stop_waits_for_notice_period_and_calls_in_flight():
    """A host is drained while a call runs and peers still send calls to it.

    The node refuses new calls at once, stays up until the notice period has ended
    and the call is answered, and never serves again.
    """
    lifecycle = Lifecycle()
    lifecycle.listening()
    lifecycle.synced()
    assert lifecycle.accepts_calls
    lifecycle.leave(1_000.0)
    lifecycle.leave(9_000.0)
    lifecycle.woke()
    lifecycle.synced()
    assert lifecycle.leaving and not lifecycle.accepts_calls
    lifecycle.tick(1_000.0 + LEAVE_NOTICE_MS - 1, in_flight=0)
    lifecycle.tick(1_000.0 + LEAVE_NOTICE_MS, in_flight=1)
    assert lifecycle.state is NodeState.LEAVING
    lifecycle.tick(1_000.0 + LEAVE_NOTICE_MS, in_flight=0)
    assert lifecycle.state is NodeState.STOPPED


def test_tick_before_leaving_does_not_stop_the_node():
    lifecycle = Lifecycle()
    lifecycle.tick(1e9, in_flight=0)
    lifecycle.listening()
    lifecycle.synced()
    lifecycle.tick(1e9, in_flight=0)
    assert lifecycle.state is NodeState.SERVING
    lifecycle.woke()
    assert not lifecycle.accepts_calls
    lifecycle.cut()
    assert lifecycle.state is NodeState.STOPPED


def test_process_pause_is_detected_by_the_first_event_after_it():
    """A process gets SIGSTOP for a minute, and a virtual machine is suspended.

    The former shows as a gap in the monotonic clock, the latter as a step of the
    wall clock alone. Regular ticks are not a pause.
    """
    detector = WakeDetector(tick_ms=250)
    assert not detector.observe(monotonic_ms=1_000, wall_ms=5_000_000)
    assert not detector.observe(monotonic_ms=1_250, wall_ms=5_000_250)
    assert detector.observe(monotonic_ms=61_250, wall_ms=5_060_250)
    assert not detector.observe(monotonic_ms=61_500, wall_ms=5_060_500)
    assert detector.observe(monotonic_ms=61_750, wall_ms=5_160_750)
    assert not detector.observe(monotonic_ms=62_000, wall_ms=5_161_000)
