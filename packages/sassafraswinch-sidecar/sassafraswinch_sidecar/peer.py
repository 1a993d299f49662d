"""A host to which links lead, and the requests that wait for one."""

import asyncio
from collections import deque

from sassafraswinch_sidecar.peer_link import SUSPECT_MS, PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

QUIET_MS = 2_000.0
"""Time without any sign of life after which a link is asked for one before a request
is written to it. Connections fall silent for good now and then, and a request that must
not run twice can't be sent again once it was written; the question takes one way there
and back. Links on which requests go never get that old."""

OWED_MS = 100.0
"""Time for which a peer may owe a sign of life and still get requests at once: busy
hosts answer within tens of milliseconds."""


class Peer:
    """A host to which a link is, was or will be dialled.

    Attributes:
        link: the link, once the peer has greeted.
        kept: whether a lost link is dialled again.
        dialling: makes the link.
        connected: whether ``dialling`` has a connection and waits for the greeting.
        greeted: set by the greeting.
        outstanding: requests written to the link that have no end yet.
        waiting: requests that wait for the link, with the time of their arrival.
        timer: ends that wait.
        avoided_until_ms: until when nothing is sent, since the link didn't come up.
    """

    def __init__(self):
        self.link: PeerLink | None = None
        self.kept = False
        self.dialling: asyncio.Task | None = None
        self.connected = False
        self.greeted = asyncio.Event()
        self.outstanding = 0
        self.waiting: deque[tuple[float, RelayRequest]] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.avoided_until_ms = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the peer owes a sign of life for too long."""
        return self.link is not None and self.link.silent_ms() > SUSPECT_MS

    def can_be_sent_to(self, now_ms: float) -> bool:
        """Return whether a request may be sent, as far as the link tells."""
        return now_ms >= self.avoided_until_ms and not self.is_suspect

    @property
    def is_live(self) -> bool:
        """Whether the link has just shown signs of life."""
        link = self.link
        if link is None:
            return False
        return link.quiet_ms() <= QUIET_MS and link.silent_ms() <= OWED_MS

    def take_waiting(self, now_ms: float) -> list[RelayRequest]:
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
