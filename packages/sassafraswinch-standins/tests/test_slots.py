"""Tests of slots, service times and lagging reports."""

import asyncio

import pytest

from sassafraswinch_standins.slots import LaggingReports, Report, ServiceTime, Slots


async def test_cancelled_waiter_frees_its_place_in_the_backlog():
    slots = Slots(slots=1, backlog=2)
    await slots.acquire()
    waiters = [asyncio.create_task(slots.acquire()) for _ in range(2)]
    await asyncio.sleep(0)
    assert slots.full()
    waiters[0].cancel()
    await asyncio.sleep(0)
    assert slots.in_flight == 2
    slots.release()
    await waiters[1]
    assert slots.running == 1


def test_cold_start_factor_decreases_to_one():
    times = ServiceTime(seed=1, cold_start_ms=1000, cold_factor=5)
    times.restart(0)
    assert [times.cold_start_factor(at) for at in (0, 500, 1000, 2000)] == [5, 3, 1, 1]


def test_mean_service_time_matches_the_setting():
    times = ServiceTime(seed=1, cold_start_ms=0, cold_factor=1)
    samples = [times.sample_ms(40, 0.3, 0) for _ in range(20_000)]
    assert sum(samples) / len(samples) == pytest.approx(40, rel=0.02)


def test_report_is_at_least_as_old_as_the_lag():
    at = 0.0
    reports = LaggingReports(
        lag_ms=1000,
        observe=lambda: Report(at_ms=at, in_flight=int(at), slots=1, draining=False),
    )
    for at in range(0, 5000, 100):
        reports.tick(at)
    assert reports.read(4950).at_ms == 3900
