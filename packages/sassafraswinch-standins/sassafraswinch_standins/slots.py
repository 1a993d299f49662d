"""Slots of a backend server stand-in, and what it reports of them."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

REPORT_INTERVAL_MS = 100.0
"""Smallest distance of two kept reports, in milliseconds."""


class Slots:
    """Runs up to ``slots`` calls at once, and lets ``backlog`` more wait in order."""

    def __init__(self, *, slots: int, backlog: int):
        self.slots = slots
        self.backlog = backlog
        self.running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def in_flight(self) -> int:
        """Calls that run or wait."""
        return self.running + sum(not waiter.done() for waiter in self._waiting)

    def full(self) -> bool:
        """Whether a call that came now would be shed."""
        return self.in_flight >= self.slots + self.backlog

    def take_place(self) -> asyncio.Future[None]:
        """Take a slot, or a place in the backlog; ``acquire`` must follow."""
        waiter = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            waiter.set_result(None)
        else:
            self._waiting.append(waiter)
        return waiter

    async def acquire(self, waiter: asyncio.Future[None] | None = None) -> None:
        """Wait for a slot; a cancelled waiter takes none.

        Args:
            waiter: the place taken before; None takes one now.
        """
        waiter = waiter or self.take_place()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot back; the longest waiting call gets it."""
        self.running -= 1
        self.wake()

    def wake(self) -> None:
        """Let waiting calls start while slots are free."""
        while self._waiting and self.running < self.slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)


class ServiceTime:
    """Draws service times: lognormal, slower after a cold start or on demand."""

    def __init__(self, *, seed: int, cold_start_ms: float, cold_factor: float):
        self.slow_factor = 1.0
        self._rng = random.Random(seed)
        self._cold_start_ms = cold_start_ms
        self._cold_factor = cold_factor
        self._started_at_ms = 0.0

    def restart(self, now_ms: float) -> None:
        """Begin the cold start."""
        self._started_at_ms = now_ms

    def cold(self, now_ms: float) -> float:
        """Return the factor of the cold start; 1 when it is over."""
        if self._cold_start_ms <= 0:
            return 1.0
        left = 1 - (now_ms - self._started_at_ms) / self._cold_start_ms
        return 1 + (self._cold_factor - 1) * min(1.0, max(0.0, left))

    def draw_ms(self, mean_ms: float, sigma: float, now_ms: float) -> float:
        """Return one service time in milliseconds."""
        shape = self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        return mean_ms * shape * self.slow_factor * self.cold(now_ms)


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What ``/load`` and ``/health`` said at one time."""

    at_ms: float
    in_flight: int
    slots: int
    draining: bool


class LaggingReports:
    """Gives the report of some time ago."""

    def __init__(self, *, lag_ms: float, observe: Callable[[], Report]):
        self._lag_ms = lag_ms
        self._observe = observe
        self._reports: deque[Report] = deque()

    def tick(self, now_ms: float) -> None:
        """Keep a report, unless the last one is fresh."""
        if self._reports and now_ms - self._reports[-1].at_ms < REPORT_INTERVAL_MS:
            return
        self._reports.append(self._observe())
        while (
            len(self._reports) > 1 and self._reports[1].at_ms <= now_ms - self._lag_ms
        ):
            self._reports.popleft()

    def read(self, now_ms: float) -> Report:
        """Return the newest report that is at least the lag old, else the oldest."""
        self.tick(now_ms)
        return self._reports[0]
