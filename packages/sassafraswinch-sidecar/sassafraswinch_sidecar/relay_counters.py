"""Counts of the ends of requests, which the metrics page shows."""

from collections import Counter

from sassafraswinch.latencies import LatencyCounts, count_latency


class RelayCounts:
    """Counts the ends of requests at their entry."""

    def __init__(self):
        self.answers: Counter[tuple[str, int]] = Counter()
        self.ends: Counter[str] = Counter()
        self.repeats: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}

    def answered(self, route: str, latency_ms: float, status: int) -> None:
        """Count an answer of a backend server."""
        self.answers[route, status] += 1
        count_latency(self.latencies.setdefault(route, {}), latency_ms)

    def ended(self, reason: str) -> None:
        """Count a request that got no answer of a backend server."""
        self.ends[reason] += 1

    def repeated(self, service: str) -> None:
        """Count a request that is sent once more."""
        self.repeats[service] += 1
