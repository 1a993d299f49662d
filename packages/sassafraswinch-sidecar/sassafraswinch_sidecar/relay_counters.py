"""Counts of the ends of requests, which the metrics page shows."""

from collections import Counter

from sassafraswinch.latencies import LatencyCounts, count_latency


class RelayCounters:
    """Counts the ends of requests at their entry."""

    def __init__(self):
        self.responses: Counter[tuple[str, int]] = Counter()
        self.unserved: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}

    def record_response(self, route: str, latency_ms: float, status: int) -> None:
        """Count an answer of a backend server."""
        self.responses[route, status] += 1
        count_latency(self.latencies.setdefault(route, {}), latency_ms)

    def record_unserved(self, reason: str) -> None:
        """Count a request that got no answer of a backend server."""
        self.unserved[reason] += 1

    def record_retry(self, service: str) -> None:
        """Count a request that is sent once more."""
        self.retries[service] += 1
