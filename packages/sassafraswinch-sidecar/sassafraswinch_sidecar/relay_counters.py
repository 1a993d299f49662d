"""Counters of request outcomes for the metrics page."""

from collections import Counter

from sassafraswinch.latencies import LatencyCounts, count_latency


class RelayCounters:
    """Counts the outcomes of the requests that this sidecar owns.

    Attributes:
        responses: responses of backend servers, by route and status.
        unserved: requests without a response of a backend server, by reason.
        retries: number of retries, by service.
        latencies: latency histogram of the responses, by route.
    """

    def __init__(self):
        self.responses: Counter[tuple[str, int]] = Counter()
        self.unserved: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()
        self.latencies: dict[str, LatencyCounts] = {}

    def record_response(self, route: str, latency_ms: float, status: int) -> None:
        """Count a response of a backend server."""
        self.responses[route, status] += 1
        count_latency(self.latencies.setdefault(route, {}), latency_ms)

    def record_unserved(self, reason: str) -> None:
        """Count a request without a response of a backend server."""
        self.unserved[reason] += 1

    def record_retry(self, service: str) -> None:
        """Count a retry."""
        self.retries[service] += 1
