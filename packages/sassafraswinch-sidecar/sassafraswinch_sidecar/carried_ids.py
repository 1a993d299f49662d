"""Ids of the requests that a connection to a backend server has carried."""

LATE_ATTEMPT_MARGIN_MS = 2_000.0
"""Time past the deadline of a request for which its id is kept: as long as an attempt
may be under way on a link that has stopped responding."""


class CarriedIds:
    """Remembers the ids of requests until no further attempt of them can arrive."""

    def __init__(self):
        self._kept_until_ms: dict[bytes, float] = {}

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._kept_until_ms

    def __len__(self) -> int:
        return len(self._kept_until_ms)

    def add(self, request_id: bytes, deadline_ms: float, now_ms: float) -> None:
        """Add the id of a request, and discard the oldest ones that have expired.

        Args:
            request_id: the id.
            deadline_ms: event loop time at which the request times out.
            now_ms: event loop time.
        """
        kept = self._kept_until_ms
        kept[request_id] = deadline_ms + LATE_ATTEMPT_MARGIN_MS
        while kept:
            oldest = next(iter(kept))
            if kept[oldest] > now_ms:
                return
            del kept[oldest]
