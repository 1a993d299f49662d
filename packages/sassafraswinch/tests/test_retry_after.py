"""Tests of the retry-after schedule."""

import random

from sassafraswinch.retry_after import JITTER_MS, MAX_MS, MIN_MS, RetryAfterSchedule


def test_retries_match_the_spare_capacity():
    schedule, rng = RetryAfterSchedule(), random.Random(1)
    waits = [
        schedule.next_retry_after_ms(spare_per_s=100, now_ms=0, rng=rng) - MIN_MS
        for _ in range(300)
    ]
    retries = [sum(s <= wait < s + 1000 for wait in waits) for s in (0, 1000, 2000)]
    assert all(80 <= count <= 120 for count in retries)


def test_backlog_of_retries_drains_with_time():
    schedule, rng = RetryAfterSchedule(), random.Random(1)
    for _ in range(200):
        schedule.next_retry_after_ms(spare_per_s=100, now_ms=0, rng=rng)
    wait_ms = schedule.next_retry_after_ms(spare_per_s=100, now_ms=3000, rng=rng)
    assert wait_ms <= MIN_MS + 10 + JITTER_MS


def test_delay_is_bounded_without_spare_capacity():
    schedule, rng = RetryAfterSchedule(), random.Random(1)
    waits = [
        schedule.next_retry_after_ms(spare_per_s=0, now_ms=0, rng=rng)
        for _ in range(100)
    ]
    assert max(waits) <= MAX_MS
    assert len(set(waits[50:])) > 40, "retries must be spread"
