"""Early retry detection: retry-after times of recently refused requests."""

from collections import OrderedDict

MAX_REFUSED_REQUESTS = 20_000
"""Refused requests kept; the oldest are evicted first. About 200 bytes each."""


class EarlyRetries:
    """Retry-after times of refused requests, by request key."""

    def __init__(self, *, max_refused_requests: int = MAX_REFUSED_REQUESTS):
        self.max_refused_requests = max_refused_requests
        self._retry_at_ms: OrderedDict[bytes, float] = OrderedDict()

    def record_refusal(self, key: bytes, retry_at_ms: float) -> None:
        """Record the earliest time at which the request ``key`` may be retried."""
        self._retry_at_ms[key] = retry_at_ms
        self._retry_at_ms.move_to_end(key)
        if len(self._retry_at_ms) > self.max_refused_requests:
            self._retry_at_ms.popitem(last=False)

    def wait_left_ms(self, key: bytes, now_ms: float) -> float:
        """Return the time left until the request may be retried; 0 if it may be."""
        retry_at_ms = self._retry_at_ms.get(key)
        if retry_at_ms is None:
            return 0.0
        if retry_at_ms <= now_ms:
            del self._retry_at_ms[key]
            return 0.0
        return retry_at_ms - now_ms
