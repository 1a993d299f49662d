"""Ids of the requests that a connection to a backend server has carried."""

import hashlib

LATE_ATTEMPT_MARGIN_MS = 2_000.0
"""Time past the deadline of a request for which its id is kept: as long as an attempt
may be under way on a link that has stopped responding."""


MAX_WHOLE_ID_BYTES = 64
"""Length of an id from which a digest of it is kept. Ids may be as long as a header,
and are kept after their request."""

DIGEST_BYTES = 16


class CarriedIds:
    """Remembers the ids of requests until no further attempt of them can arrive."""

    def __init__(self):
        self._kept_until_ms: dict[bytes, float] = {}

    def __contains__(self, request_id: bytes) -> bool:
        return _key_of(request_id) in self._kept_until_ms

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
        kept[_key_of(request_id)] = deadline_ms + LATE_ATTEMPT_MARGIN_MS
        while kept:
            oldest = next(iter(kept))
            if kept[oldest] > now_ms:
                return
            del kept[oldest]


def _key_of(request_id: bytes) -> bytes:
    if len(request_id) <= MAX_WHOLE_ID_BYTES:
        return request_id
    return hashlib.blake2b(request_id, digest_size=DIGEST_BYTES).digest()
