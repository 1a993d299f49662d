"""One line for each decision on a request, within a bound on their number."""

from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch_node.logs import log_event, write_event

FAILURE_LINES_PER_S = 100.0
"""Lines a second for refusals, repeats and failures: about 3 ms of processor time."""

SERVED_LINES_PER_S = 15.0
"""Lines a second for requests that were served; the rest is only counted."""

BURST_S = 2.0
"""Seconds' worth of lines that may come at once."""

OMITTED_REPORT_INTERVAL_MS = 10_000.0
"""Pause between the lines that tell how many got none."""


@dataclass(slots=True)
class _Bucket:
    lines_per_s: float
    tokens: float = 0.0
    filled_ms: float = 0.0
    left_out: int = 0

    def take(self, now_ms: float) -> bool:
        gained = max(0.0, now_ms - self.filled_ms) / 1000 * self.lines_per_s
        self.tokens = min(self.tokens + gained, self.lines_per_s * BURST_S)
        self.filled_ms = now_ms
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class RequestLog:
    """Writes lines about single requests; failures have their own, larger bound.

    Args:
        now_ms: monotonic clock.
    """

    def __init__(self, *, now_ms: Callable[[], float]):
        self._now_ms = now_ms
        self._failures = _Bucket(FAILURE_LINES_PER_S, FAILURE_LINES_PER_S)
        self._served = _Bucket(SERVED_LINES_PER_S, SERVED_LINES_PER_S)
        self._told_ms = now_ms()

    def failed(self, event: str, request_id: str, **fields: object) -> None:
        """Tell of a request that is refused, repeated, cancelled or fails."""
        if self._failures.take(self._now_ms()):
            write_event(event, "warning", {"request_id": request_id, **fields})

    def served(self, event: str, request_id: str, **fields: object) -> None:
        """Tell of a request that goes its way."""
        if self._served.take(self._now_ms()):
            write_event(event, "info", {"request_id": request_id, **fields})

    def report_omitted(self) -> None:
        """Say now and then how many lines there were none for."""
        now_ms = self._now_ms()
        if now_ms - self._told_ms < OMITTED_REPORT_INTERVAL_MS:
            return
        self._told_ms = now_ms
        for kind, bucket in (("failures", self._failures), ("served", self._served)):
            if bucket.left_out:
                log_event(
                    "lines_left_out", level="warning", of=kind, count=bucket.left_out
                )
                bucket.left_out = 0
