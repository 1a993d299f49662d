"""State of the link to one peer host, with the requests that wait for the link."""

import asyncio
from collections import deque

from sassafraswinch_sidecar.peer_link import UNRESPONSIVE_AFTER_MS, PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

QUIET_PERIOD_MS = 2_000.0
"""Time without received bytes after which a heartbeat must be answered before a request
is written to the link. Connections sometimes go silent for good, and a request that is
not idempotent can't be retried once it was written; the heartbeat costs one round trip.
Links that carry requests never reach this age."""

REPLY_GRACE_MS = 100.0
"""Time for which a heartbeat may be unanswered while requests are still written at
once; busy hosts answer within tens of milliseconds."""


class Peer:
    """A host to which a link is, was or will be dialled.

    Attributes:
        link: the link, once the peer has completed the handshake.
        persistent: whether a lost link is dialled again.
        dialling: the task that dials the link.
        connected: whether ``dialling`` has a connection and waits for the handshake.
        handshake_done: set by the completed handshake.
        outstanding: number of requests written to the link that haven't ended.
        waiting: requests that wait for the link, each with its arrival time.
        timer: ends the wait of these requests.
        backoff_until_ms: time until which no request is sent, because the link
            couldn't be established.
    """

    def __init__(self):
        self.link: PeerLink | None = None
        self.persistent = False
        self.dialling: asyncio.Task | None = None
        self.connected = False
        self.handshake_done = asyncio.Event()
        self.outstanding = 0
        self.waiting: deque[tuple[float, RelayRequest]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.backoff_until_ms = 0.0

    @property
    def is_unresponsive(self) -> bool:
        """Whether a heartbeat has been unanswered for too long for new requests."""
        return self.link is not None and self.link.silent_ms() > UNRESPONSIVE_AFTER_MS

    def accepts_requests(self, now_ms: float) -> bool:
        """Return whether the state of the link allows sending a request."""
        return now_ms >= self.backoff_until_ms and not self.is_unresponsive

    @property
    def is_live(self) -> bool:
        """Whether the link is known to work, so that requests are written at once."""
        link = self.link
        if link is None:
            return False
        return (
            link.receive_idle_ms() <= QUIET_PERIOD_MS
            and link.silent_ms() <= REPLY_GRACE_MS
        )

    def pop_waiting(self, now_ms: float) -> list[RelayRequest]:
        """Remove and return the waiting requests, with their time limits reduced.

        The receiver counts both limits from the arrival of the request, so the time
        spent here is subtracted: the server must not get more time than its caller
        waits.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.waiting = self.waiting, deque()
        for arrived_ms, request in waiting:
            waited_ms = int(now_ms - arrived_ms)
            request.remaining_ms = max(0, request.remaining_ms - waited_ms)
            request.max_wait_ms = max(0, request.max_wait_ms - waited_ms)
        return [request for _, request in waiting]
