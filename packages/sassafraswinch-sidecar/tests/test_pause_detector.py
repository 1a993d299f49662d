"""Noticing that the machine stood still."""

from sassafraswinch_sidecar.standstill import Standstill


class Clocks:
    """A machine that runs and is suspended."""

    def __init__(self):
        self.boot_ms = 50_000.0
        self.steady_ms = 7_000.0

    def run(self, for_ms):
        self.boot_ms += for_ms
        self.steady_ms += for_ms

    def suspend(self, for_ms):
        self.boot_ms += for_ms

    def standstill(self):
        return Standstill(
            boot_ms=lambda: self.boot_ms, steady_ms=lambda: self.steady_ms
        )


def test_only_time_that_the_steady_clock_missed_is_a_standstill():
    clocks = Clocks()
    standstill = clocks.standstill()
    clocks.run(5_000.0)
    assert standstill.look() == 0.0
    clocks.suspend(3_000.0)
    clocks.run(100.0)
    assert standstill.look() == 3_000.0
    assert standstill.look() == 0.0


def test_clocks_that_are_read_a_moment_apart_are_no_standstill():
    clocks = Clocks()
    standstill = clocks.standstill()
    clocks.suspend(20.0)
    assert standstill.look() == 0.0
