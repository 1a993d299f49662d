"""Tests of the adaptive concurrency limit and of its regression."""

import random

import pytest

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.limits import COLD_SHARE, MIN_LIMIT, ConcurrencyLimit
from sassafraswinch.regression import Elasticity, Round


def finish(limit, *, outcome, in_flight, now_ms=0.0, started_at_ms=0.0):
    limit.finished(
        started_in=limit.started(),
        started_in_flight=in_flight,
        started_at_ms=started_at_ms,
        self_time_ms=10.0,
        outcome=outcome,
        now_ms=now_ms,
    )


def test_cold_server_ramps_up_to_the_hint():
    limit = ConcurrencyLimit(slots=100)
    assert limit.limit == 100 * COLD_SHARE
    for _ in range(100):
        limit.record_reached()
        finish(limit, outcome=BackendOutcome.OK, in_flight=25)
    assert limit.limit == 100


def test_shed_bounds_the_limit_by_the_calls_before_it():
    limit = ConcurrencyLimit(slots=400)
    finish(limit, outcome=BackendOutcome.SHED, in_flight=61)
    assert limit.limit == 60
    finish(limit, outcome=BackendOutcome.SHED, in_flight=58, started_at_ms=-1.0)
    assert limit.limit == 60, "limit was cut for a call from before the last cut"


def test_broken_streak_halves_the_limit():
    limit = ConcurrencyLimit(slots=400)
    for _ in range(5):
        finish(limit, outcome=BackendOutcome.BROKEN, in_flight=50)
    assert limit.limit == 50


def test_new_hint_resets_the_limit_and_the_same_hint_has_no_effect():
    limit = ConcurrencyLimit(slots=100)
    limit.set_slots(100)
    assert limit.limit == 25
    limit.set_slots(50)
    assert limit.limit == 50
    limit.set_slots(1)
    assert limit.limit == MIN_LIMIT


def elasticity_of(time_ms, *, rounds=20, trend_per_ms=0.0):
    """Return the estimate from rounds of 100 ms, given call time by calls in flight."""
    rng, pooled = random.Random(1), Elasticity()
    for number in range(rounds):
        sums = Round()
        for at_ms in range(100):
            lowered = 25 <= at_ms < 75
            in_flight = 51 if lowered else 60
            now_ms = number * 100 + at_ms
            noise = 0.5 + rng.expovariate(2.0)
            trend = 1 + trend_per_ms * now_ms
            sums.add(
                in_flight=in_flight,
                started_at_ms=now_ms,
                time_ms=time_ms(in_flight) * noise * trend,
            )
        pooled.add_round(sums)
    return pooled.estimate()


@pytest.mark.parametrize("trend_per_ms", [0.0, 0.002])
def test_call_time_independent_of_calls_in_flight_has_no_elasticity(trend_per_ms):
    """The server becomes steadily slower, whatever the calls in flight."""
    value, error = elasticity_of(lambda calls: 30.0, trend_per_ms=trend_per_ms)
    assert abs(value) < 3 * error


def test_queue_inside_the_server_has_elasticity():
    value, error = elasticity_of(lambda calls: 30.0 * max(calls / 50, 1))
    assert value > 0.5
    assert value > 3.5 * error
