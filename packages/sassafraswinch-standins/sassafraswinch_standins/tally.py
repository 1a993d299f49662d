"""Statistics of a caller stand-in for one kind of traffic."""

import enum
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

SERIES_INTERVAL_MS = 100.0
"""Length of a time series interval."""

MAX_LATENCY_US = 120_000_000
"""Highest latency that a histogram can record."""

SIGNIFICANT_DIGITS = 3
"""Precision of the histograms, in decimal digits."""

QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Outcome(enum.Enum):
    """Outcome of an attempt, or of a request with all its attempts, for the caller."""

    GOOD = "good"
    """Complete response to the caller's own request, with status 200."""
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    FAILED = "failed"
    """Complete response with a status other than 200."""
    WRONG = "wrong"
    """Incomplete response, or the response to another request."""
    UNREACHABLE = "unreachable"
    """No connection to the ingress address."""
    TICKET_NEEDED = "ticket_needed"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return the quantiles of a histogram in milliseconds."""
    return {
        f"p{quantile:g}_ms": histogram.get_value_at_percentile(quantile) / 1000
        for quantile in QUANTILES
    } | {"max_ms": histogram.get_max_value() / 1000}


@dataclass(slots=True, kw_only=True)
class Tally:
    """Counts, latencies and time series of one kind of traffic."""

    class_name: str
    service: str
    first_attempts: int = 0
    attempts: int = 0
    ticket_trips: int = 0
    within_objective: int = 0
    hinted_repeats: int = 0
    """Retries made after the delay given by ``Retry-After``."""
    hinted_good: int = 0
    """Hinted retries with a good response."""
    dropped: int = 0
    outcomes: Counter[Outcome] = field(default_factory=Counter)
    """Final outcome of each request."""
    attempt_outcomes: Counter[Outcome] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    """Reasons that nodes returned for attempts."""
    latency: HdrHistogram = field(default_factory=new_histogram)
    """Latency of good requests from their scheduled start, in microseconds."""
    offered: Counter[int] = field(default_factory=Counter)
    good: Counter[int] = field(default_factory=Counter)
    """Good requests by the interval of their end."""
    good_by_start: Counter[int] = field(default_factory=Counter)
    objective_by_start: Counter[int] = field(default_factory=Counter)
    """Good requests within the objective, by the interval of their scheduled start."""
    refused: Counter[int] = field(default_factory=Counter)
    """Attempts that ended with ``NOT_RUN``, by the interval of their end."""

    @property
    def retries(self) -> int:
        """Number of attempts that retry an earlier one."""
        return self.attempts - self.first_attempts - self.ticket_trips

    def record_request(self, at_ms: float) -> None:
        """Count a request at its scheduled start."""
        self.first_attempts += 1
        self.offered[int(at_ms // SERIES_INTERVAL_MS)] += 1

    def record_attempt(
        self, outcome: Outcome, reason: str | None, at_ms: float
    ) -> None:
        """Count the end of one attempt."""
        self.attempts += 1
        self.attempt_outcomes[outcome] += 1
        if reason is not None:
            self.reasons[reason] += 1
        if outcome is Outcome.TICKET_NEEDED:
            self.ticket_trips += 1
        if outcome is Outcome.NOT_RUN:
            self.refused[int(at_ms // SERIES_INTERVAL_MS)] += 1

    def record_outcome(
        self, outcome: Outcome, *, at_ms: float, latency_ms: float, objective_ms: float
    ) -> None:
        """Count the end of a request."""
        self.outcomes[outcome] += 1
        if outcome is not Outcome.GOOD:
            return
        start_interval = int((at_ms - latency_ms) // SERIES_INTERVAL_MS)
        self.good[int(at_ms // SERIES_INTERVAL_MS)] += 1
        self.good_by_start[start_interval] += 1
        if latency_ms <= objective_ms:
            self.within_objective += 1
            self.objective_by_start[start_interval] += 1
        self.latency.record_value(max(1, int(latency_ms * 1000)))

    def report(self, intervals: int) -> dict[str, Any]:
        """Return the statistics as plain data.

        Args:
            intervals: number of intervals of the time series.
        """
        return {
            "class_name": self.class_name,
            "service": self.service,
            "first_attempts": self.first_attempts,
            "attempts": self.attempts,
            "retries": self.retries,
            "ticket_trips": self.ticket_trips,
            "within_objective": self.within_objective,
            "hinted_repeats": self.hinted_repeats,
            "hinted_good": self.hinted_good,
            "dropped": self.dropped,
            "outcomes": {o.value: self.outcomes[o] for o in Outcome},
            "attempt_outcomes": {o.value: self.attempt_outcomes[o] for o in Outcome},
            "reasons": dict(self.reasons),
            "latency": quantiles_ms(self.latency),
            "latency_histogram": self.latency.encode().decode(),
            "series_ms": SERIES_INTERVAL_MS,
            "offered": [self.offered[i] for i in range(intervals)],
            "good": [self.good[i] for i in range(intervals)],
            "good_by_start": [self.good_by_start[i] for i in range(intervals)],
            "objective_by_start": [
                self.objective_by_start[i] for i in range(intervals)
            ],
            "refused": [self.refused[i] for i in range(intervals)],
        }
