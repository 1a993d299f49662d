"""Tests of the rate limits of organisations under load patterns, on a small fleet."""

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraswinch.organisations import Organisation, RateLimit
from sassafraswinch_standins.simulator_rates import (
    RATE_PATTERNS,
    STEP_MS,
    ZONES,
    RatesFleet,
    SharedTotalsLimiter,
    play_rates,
    worst_window,
)

HOSTS = 30
ORGANISATIONS = 30
PER_S = 400.0


def run_pattern(name, seed=1):
    return play_rates(
        pattern=RATE_PATTERNS[name],
        limiter_class=SharedTotalsLimiter,
        hosts=HOSTS,
        organisations=ORGANISATIONS,
        per_s=PER_S,
        seed=seed,
    )


@pytest.mark.parametrize("name", RATE_PATTERNS)
@pytest.mark.parametrize("seed", [1, 2])
def test_the_limit_holds_over_every_window(name, seed):
    assert run_pattern(name, seed).worst <= 1.0


def test_few_requests_below_the_limit_are_refused_under_usual_load():
    assert run_pattern("calm").refused_below_limit < 0.01


MACHINE_HOSTS = 9
LIMITED = Organisation(name="a", limit=RateLimit(rate_per_s=40.0, burst=40.0))
FLOOD_PER_S = 200.0
"""Five times the limit, as when eight times the usual rate is sent."""


class LimitMachine(RuleBasedStateMachine):
    """Floods, network partitions, restarts, and reports that are lost or duplicated."""

    def __init__(self):
        super().__init__()
        self.fleet = RatesFleet(
            hosts=MACHINE_HOSTS,
            limiter_class=SharedTotalsLimiter,
            rng=random.Random(1),
            limits={"a": LIMITED.limit},
        )
        self.admitted_ms = []

    @rule(zone=st.sampled_from([0, 1, 2, None]))
    def partition_zone(self, zone):
        self.fleet.partitioned_zone = zone

    @rule(numbers=st.sets(st.integers(0, MACHINE_HOSTS - 1), min_size=1))
    def restart(self, numbers):
        self.fleet.restart([self.fleet.hosts[number] for number in numbers])

    @rule(number=st.integers(0, MACHINE_HOSTS - 1), up=st.booleans())
    def set_host_up(self, number, up):
        self.fleet.hosts[number].up = up

    @rule()
    def duplicate_reports(self):
        self.fleet.run_report_round()

    @rule(
        steps=st.integers(1, 12),
        zones=st.sets(st.sampled_from(range(ZONES)), min_size=1),
        flood_share=st.sampled_from([0.1, 0.5, 1.0]),
    )
    def send(self, steps, zones, flood_share):
        senders = [h for h in self.fleet.hosts if h.up and h.zone in zones]
        for _ in range(steps):
            self.fleet.now_ms += STEP_MS
            self.fleet.run_report_round()
            if not senders:
                continue
            count = round(FLOOD_PER_S * flood_share * STEP_MS / 1000)
            for number in range(count):
                host = senders[number % len(senders)]
                at_ms = self.fleet.now_ms + number * STEP_MS / count
                if host.rate_limiter.request_admission(LIMITED, at_ms) is None:
                    self.admitted_ms.append(at_ms)

    @invariant()
    def every_window_holds(self):
        assert worst_window(self.admitted_ms, LIMITED.limit, 0.0) <= 1.0


LimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
TestLimitMachine = LimitMachine.TestCase
