"""Slots, service times and load reports of a backend server stand-in."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

REPORT_INTERVAL_MS = 100.0
"""Minimum interval between two stored reports, in milliseconds."""


class Slots:
    """Semaphore of ``slots`` calls with a FIFO queue for ``backlog`` more."""

    def __init__(self, *, slots: int, backlog: int):
        self.slots = slots
        self.backlog = backlog
        self.running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def in_flight(self) -> int:
        """Number of calls that run or wait."""
        return self.running + sum(not waiter.done() for waiter in self._waiting)

    def full(self) -> bool:
        """Return whether a call that arrives now would be shed."""
        return self.in_flight >= self.slots + self.backlog

    def reserve_place(self) -> asyncio.Future[None]:
        """Reserve a slot or a place in the backlog; ``acquire`` must follow."""
        waiter = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            waiter.set_result(None)
        else:
            self._waiting.append(waiter)
        return waiter

    async def acquire(self, waiter: asyncio.Future[None] | None = None) -> None:
        """Wait for a slot; a cancelled waiter holds none.

        Args:
            waiter: the result of ``reserve_place``; None reserves a place now.
        """
        waiter = waiter or self.reserve_place()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot to the call that has waited longest."""
        self.running -= 1
        self.wake()

    def wake(self) -> None:
        """Start waiting calls while slots are free."""
        while self._waiting and self.running < self.slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)


class ServiceTime:
    """Generator of lognormal service times, with cold start and slow-down factors."""

    def __init__(self, *, seed: int, cold_start_ms: float, cold_factor: float):
        self.slow_factor = 1.0
        self._rng = random.Random(seed)
        self._cold_start_ms = cold_start_ms
        self._cold_factor = cold_factor
        self._started_at_ms = 0.0

    def restart(self, now_ms: float) -> None:
        """Start the cold start period."""
        self._started_at_ms = now_ms

    def cold_start_factor(self, now_ms: float) -> float:
        """Return the factor of the cold start, which is 1 after its end."""
        if self._cold_start_ms <= 0:
            return 1.0
        remaining = 1 - (now_ms - self._started_at_ms) / self._cold_start_ms
        return 1 + (self._cold_factor - 1) * min(1.0, max(0.0, remaining))

    def sample_ms(self, mean_ms: float, sigma: float, now_ms: float) -> float:
        """Sample a service time, in milliseconds."""
        factor = self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        return mean_ms * factor * self.slow_factor * self.cold_start_factor(now_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """State that ``/load`` and ``/health`` report, as of one time."""

    at_ms: float
    in_flight: int
    slots: int
    draining: bool


class LaggingReports:
    """History of reports that is read with a fixed lag."""

    def __init__(self, *, lag_ms: float, observe: Callable[[], Report]):
        self._lag_ms = lag_ms
        self._observe = observe
        self._reports: deque[Report] = deque()

    def tick(self, now_ms: float) -> None:
        """Store a report if the report interval has passed, and discard old ones."""
        if self._reports and now_ms - self._reports[-1].at_ms < REPORT_INTERVAL_MS:
            return
        self._reports.append(self._observe())
        while (
            len(self._reports) > 1 and self._reports[1].at_ms <= now_ms - self._lag_ms
        ):
            self._reports.popleft()

    def read(self, now_ms: float) -> Report:
        """Return the newest report at least as old as the lag, else the oldest."""
        self.tick(now_ms)
        return self._reports[0]
