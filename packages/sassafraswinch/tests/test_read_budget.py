"""Simulation of the platform reads of an entire fleet."""

import heapq
import itertools
import random
from bisect import bisect_left

import pytest

from sassafraswinch.read_budget import (
    HOST_WATCHES,
    MAX_READS_PER_S,
    WatchOutcome,
    WatchSchedule,
)

NODES = 560
DOWN_MS, UP_MS, END_MS = 60_000, 180_000, 300_000
CHANGES_MS = (30_000, UP_MS, 240_000)
"""Times at which both the document and the host list change."""


def simulate_read(schedule, at_ms, seen):
    """Return end, outcome and version read of a read issued at ``at_ms``."""
    if DOWN_MS <= at_ms < UP_MS:
        return at_ms + 5, WatchOutcome.FAILED, seen
    version = sum(change <= at_ms for change in CHANGES_MS)
    if version > seen:
        return at_ms + 5, WatchOutcome.CHANGED, version
    ends_ms = at_ms + schedule.wait_ms()
    if at_ms < DOWN_MS <= ends_ms:
        return DOWN_MS, WatchOutcome.FAILED, seen
    change = next((c for c in CHANGES_MS if at_ms < c <= ends_ms), None)
    if change is None:
        return ends_ms, WatchOutcome.UNCHANGED, seen
    return change, WatchOutcome.CHANGED, seen + 1


def simulate(schedules):
    """Run all schedules; return the (begin, end, outcome) of each read."""
    due = [(s.first_delay_ms(), i, 0) for i, s in enumerate(schedules)]
    heapq.heapify(due)
    reads = []
    while due[0][0] < END_MS:
        at_ms, i, seen = heapq.heappop(due)
        ends_ms, outcome, seen = simulate_read(schedules[i], at_ms, seen)
        reads.append((at_ms, ends_ms, outcome))
        pause_ms = schedules[i].next_delay_ms(outcome)
        heapq.heappush(due, (ends_ms + pause_ms, i, seen))
    return reads


def busiest_second(reads, *, waiting):
    """Return the most reads in any second; ``waiting`` adds watches still open."""
    begins = sorted(begin for begin, _, _ in reads)
    ends = sorted(end for _, end, _ in reads)

    def load(begin):
        last = bisect_left(begins, begin + 1_000)
        first = bisect_left(ends if waiting else begins, begin)
        return last - first

    return max(load(begin) for begin in begins)


def fleet(rng):
    documents = [WatchSchedule(rng=rng, nodes=NODES) for _ in range(NODES)]
    lists = [
        WatchSchedule(rng=rng, nodes=NODES, watches=HOST_WATCHES) for _ in range(NODES)
    ]
    return documents, lists


@pytest.mark.parametrize("seed", range(3))
def test_the_fleet_stays_within_the_read_budget(seed):
    """All nodes start at once; the platform fails for two minutes and recovers.

    Both streams have changed when it recovers, so each read is answered at once and
    followed by another. An open watch is counted in each of its seconds.
    """
    documents, lists = fleet(random.Random(seed))
    reads = simulate(documents + lists)
    assert busiest_second(reads, waiting=False) < MAX_READS_PER_S / 2
    assert busiest_second(reads, waiting=True) < MAX_READS_PER_S


def test_some_node_reads_a_change_or_ended_outage_within_a_second():
    """Few watches are open at a time, but there must always be some."""
    documents, _ = fleet(random.Random(7))
    reads = simulate(documents)
    changed = sorted(e for _, e, o in reads if o is WatchOutcome.CHANGED)
    first_after = [changed[bisect_left(changed, change)] for change in CHANGES_MS]
    assert all(
        seen < change + 1_000
        for seen, change in zip(first_after, CHANGES_MS, strict=True)
    )


def test_isolated_node_reads_often():
    """A node without links gets changes from the platform alone."""
    schedule = WatchSchedule(rng=random.Random(1), nodes=NODES)
    schedule.set_isolated(True)
    delays = (schedule.next_delay_ms(WatchOutcome.UNCHANGED) for _ in itertools.count())
    assert max(itertools.islice(delays, 1_000)) < 3_000
