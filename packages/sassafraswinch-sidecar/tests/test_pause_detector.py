"""Tests of the detection of process pauses."""

from sassafraswinch_sidecar.pause_detector import PauseDetector


class Clocks:
    """Clocks of a host that runs and is suspended."""

    def __init__(self):
        self.boot_ms = 50_000.0
        self.monotonic_ms = 7_000.0

    def run(self, for_ms):
        self.boot_ms += for_ms
        self.monotonic_ms += for_ms

    def suspend(self, for_ms):
        self.boot_ms += for_ms

    def new_detector(self):
        return PauseDetector(
            boot_ms=lambda: self.boot_ms, monotonic_ms=lambda: self.monotonic_ms
        )


def test_only_time_that_the_monotonic_clock_missed_is_a_pause():
    clocks = Clocks()
    detector = clocks.new_detector()
    clocks.run(5_000.0)
    assert detector.check_pause() == 0.0
    clocks.suspend(3_000.0)
    clocks.run(100.0)
    assert detector.check_pause() == 3_000.0
    assert detector.check_pause() == 0.0


def test_jitter_between_clock_readings_is_no_pause():
    clocks = Clocks()
    detector = clocks.new_detector()
    clocks.suspend(20.0)
    assert detector.check_pause() == 0.0
