"""Counters of request outcomes for the metrics page."""

from collections import Counter

from sassafraswinch.latencies import LatencyCounts, count_latency


class RelayCounts:
    """Counts the outcomes of the requests that this sidecar owns.

    Attributes:
        answers: responses of backend servers, by route and status.
        ends: requests without a response of a backend server, by reason.
        repeats: number of retries, by service.
        latencies: latency histogram of the responses, by route.
    """

    def __init__(self):
        self.answers: Counter[tuple[str, int]] = Counter()
        self.ends: Counter[str] = Counter()
        self.repeats: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}

    def answered(self, route: str, latency_ms: float, status: int) -> None:
        """Count a response of a backend server."""
        self.answers[route, status] += 1
        count_latency(self.latencies.setdefault(route, {}), latency_ms)

    def ended(self, reason: str) -> None:
        """Count a request without a response of a backend server."""
        self.ends[reason] += 1

    def repeated(self, service: str) -> None:
        """Count a retry."""
        self.repeats[service] += 1
