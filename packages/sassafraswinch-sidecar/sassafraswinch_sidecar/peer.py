"""A host to which links lead, and the requests that wait for one."""

import asyncio
from collections import deque

from sassafraswinch_sidecar.peer_link import UNRESPONSIVE_AFTER_MS, PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

QUIET_PERIOD_MS = 2_000.0
"""Time without any sign of life after which a link is asked for one before a request
is written to it. Connections fall silent for good now and then, and a request that must
not run twice can't be sent again once it was written; the question takes one way there
and back. Links on which requests go never get that old."""

REPLY_GRACE_MS = 100.0
"""Time for which a peer may owe a sign of life and still get requests at once: busy
hosts answer within tens of milliseconds."""


class Peer:
    """A host to which a link is, was or will be dialled.

    Attributes:
        link: the link, once the peer has greeted.
        persistent: whether a lost link is dialled again.
        dialling: makes the link.
        connected: whether ``dialling`` has a connection and waits for the greeting.
        handshake_done: set by the greeting.
        outstanding: requests written to the link that have no end yet.
        waiting: requests that wait for the link, with the time of their arrival.
        timer: ends that wait.
        backoff_until_ms: until when nothing is sent, since the link didn't come up.
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
        """Whether the peer owes a sign of life for too long."""
        return self.link is not None and self.link.silent_ms() > UNRESPONSIVE_AFTER_MS

    def accepts_requests(self, now_ms: float) -> bool:
        """Return whether a request may be sent, as far as the link tells."""
        return now_ms >= self.backoff_until_ms and not self.is_unresponsive

    @property
    def is_live(self) -> bool:
        """Whether the link has just shown signs of life."""
        link = self.link
        if link is None:
            return False
        return (
            link.receive_idle_ms() <= QUIET_PERIOD_MS
            and link.silent_ms() <= REPLY_GRACE_MS
        )

    def pop_waiting(self, now_ms: float) -> list[RelayRequest]:
        """Return the requests that waited, with the time that they have left.

        Both their times count from their arrival at the other host; the server must
        not get more time than its caller waits.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.waiting = self.waiting, deque()
        for since_ms, request in waiting:
            waited_ms = int(now_ms - since_ms)
            request.remaining_ms = max(0, request.remaining_ms - waited_ms)
            request.max_wait_ms = max(0, request.max_wait_ms - waited_ms)
        return [request for _, request in waiting]
