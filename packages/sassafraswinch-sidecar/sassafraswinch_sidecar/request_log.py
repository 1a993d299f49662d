"""Rate-limited log of single requests."""

from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch_node.logs import log_event, write_event

FAILURE_LINES_PER_S = 100.0
"""Rate limit of lines on refusals, retries and failures. At this rate they take about
3 ms of processor time per second."""

SERVED_LINES_PER_S = 15.0
"""Rate limit of lines on served requests; the others appear in counters only."""

BURST_S = 2.0
"""Burst size of both rate limits, as the lines of so many seconds."""

OMITTED_REPORT_INTERVAL_MS = 10_000.0
"""Interval of the lines that report the number of omitted lines."""


@dataclass(slots=True)
class _TokenBucket:
    lines_per_s: float
    tokens: float = 0.0
    refilled_ms: float = 0.0
    omitted: int = 0

    def acquire(self, now_ms: float) -> bool:
        refill = max(0.0, now_ms - self.refilled_ms) / 1000 * self.lines_per_s
        self.tokens = min(self.tokens + refill, self.lines_per_s * BURST_S)
        self.refilled_ms = now_ms
        if self.tokens < 1.0:
            self.omitted += 1
            return False
        self.tokens -= 1.0
        return True


class RequestLog:
    """Logs single requests; failures have their own, higher rate limit.

    Args:
        now_ms: monotonic clock.
    """

    def __init__(self, *, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._failures = _TokenBucket(FAILURE_LINES_PER_S, FAILURE_LINES_PER_S)
        self._served = _TokenBucket(SERVED_LINES_PER_S, SERVED_LINES_PER_S)
        self._reported_ms = now_ms()

    def failed(self, event: str, request_id: str, **fields: object) -> None:
        """Log a request that is refused, retried, cancelled or has failed."""
        if self._failures.acquire(self._now_ms()):
            write_event(event, "warning", {"request_id": request_id, **fields})

    def served(self, event: str, request_id: str, **fields: object) -> None:
        """Log a request that is served."""
        if self._served.acquire(self._now_ms()):
            write_event(event, "info", {"request_id": request_id, **fields})

    def report_omitted(self) -> None:
        """Log the number of omitted lines, once per ``OMITTED_REPORT_INTERVAL_MS``."""
        now_ms = self._now_ms()
        if now_ms - self._reported_ms < OMITTED_REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        for kind, bucket in (("failures", self._failures), ("served", self._served)):
            if bucket.omitted:
                log_event(
                    "lines_left_out", level="warning", of=kind, count=bucket.omitted
                )
                bucket.omitted = 0
