"""Document versions claimed by peers, and the choice of a peer to fetch from."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.messages import DocumentRequest, NodeId

FETCH_TIMEOUT_MS = 1_500
"""Time-out of a fetch request, after which another peer is tried."""

FIRST_FETCH_BACKOFF_MS = 250
"""Back-off of a peer that failed to deliver; doubled by each further failure."""

MAX_FETCH_BACKOFF_MS = 4_000
"""Longest back-off of a peer that failed to deliver."""

CLAIM_EXPIRY_MS = 30_000
"""Time after which a claim that is not renewed expires, because its peer is gone.
Heartbeats renew it every 1 s."""

MAX_SERVED_BYTES_PER_S = 1_000_000
"""Maximum rate of packed document bytes sent to peers, with a burst of 1 s; less than a
hundredth of the capacity of a 1 Gbit/s link."""


class Stamp(NamedTuple):
    """Identifies one document by version and digest."""

    version: int
    digest: str


NO_STAMP = Stamp(0, "")
"""Stamp that means no document."""


def supersedes(new: Stamp, old: Stamp) -> bool:
    """Return whether ``new`` replaces ``old``.

    The greater version does, and within one version the smaller digest, so that two
    documents published under the same version resolve in the same way on all nodes
    without coordination.
    """
    if new.version != old.version:
        return new.version > old.version
    return new.digest < old.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch:
    """A document request to send to the node of one host."""

    peer: str
    request: DocumentRequest


@dataclass(slots=True, kw_only=True)
class _Claim:
    stamp: Stamp
    near: bool
    received_ms: float
    failures: int = 0
    retry_at_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _OpenFetch:
    peer: NodeId
    stamp: Stamp
    sent_at_ms: float


class VersionClaims:
    """Latest version claim of each linked peer, and the single open fetch request.

    A claim is only a hint: a peer may report a version and never deliver it. After a
    failure the next request goes to another peer, and the failed one gets no request
    until an exponential back-off ends.

    Args:
        rng: chooses among equal peers, so that not all nodes request from the same one.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._claims: dict[NodeId, _Claim] = {}
        self._open: _OpenFetch | None = None

    def record_claim(
        self, peer: NodeId, stamp: Stamp, now_ms: float, *, near: bool = True
    ) -> None:
        """Record the claim of a peer; an unchanged one keeps its failure count.

        The version on one incarnation of a peer only rises, so a lower claim is an
        old message that another link delivered late.
        """
        claim = self._claims.get(peer)
        if claim is None:
            self._expire(now_ms)
        if claim is None or supersedes(stamp, claim.stamp):
            self._claims[peer] = _Claim(stamp=stamp, near=near, received_ms=now_ms)
        else:
            claim.received_ms = now_ms

    def remove_host(self, host: str) -> None:
        """Discard the claims of all incarnations of the node on a host."""
        for peer in [peer for peer in self._claims if peer.host == host]:
            del self._claims[peer]
        if self._open and self._open.peer.host == host:
            self._open = None

    def record_failure(self, peer: NodeId, now_ms: float) -> None:
        """Record that a peer didn't deliver, and close the request to it."""
        self._close(peer)
        claim = self._claims.get(peer)
        if claim is None:
            return
        backoff_ms = min(
            MAX_FETCH_BACKOFF_MS, FIRST_FETCH_BACKOFF_MS * 2**claim.failures
        )
        claim.failures = min(claim.failures + 1, 16)
        claim.retry_at_ms = now_ms + backoff_ms * self._rng.uniform(0.5, 1.5)

    def record_delivery(self, peer: NodeId, stamp: Stamp, now_ms: float) -> None:
        """Record what a peer delivered; an older document than claimed is a failure."""
        claim = self._claims.get(peer)
        if claim and supersedes(claim.stamp, stamp):
            self.record_failure(peer, now_ms)
        else:
            self._close(peer)

    def next_fetch(
        self, held: Stamp, is_refused: Callable[[Stamp], bool], now_ms: float
    ) -> Fetch | None:
        """Return the request to send now, if any.

        Args:
            held: document in force on this node.
            is_refused: returns whether a document is known to be invalid.
            now_ms: monotonic milliseconds.
        """
        if self._open and now_ms - self._open.sent_at_ms >= FETCH_TIMEOUT_MS:
            self.record_failure(self._open.peer, now_ms)
            self._expire(now_ms)
        if self._open:
            return None
        due = [
            (peer, claim)
            for peer, claim in self._wanted(held, is_refused)
            if claim.retry_at_ms <= now_ms
        ]
        if not due:
            return None
        peer, claim = min(due, key=self._preference)
        self._open = _OpenFetch(peer=peer, stamp=claim.stamp, sent_at_ms=now_ms)
        return Fetch(
            peer=peer.host, request=DocumentRequest(version=claim.stamp.version)
        )

    def has_newer_claim(self, held: Stamp, is_refused: Callable[[Stamp], bool]) -> bool:
        """Return whether a peer claims a document that supersedes ``held``."""
        return bool(self._wanted(held, is_refused))

    def undelivered(
        self, held: Stamp, is_refused: Callable[[Stamp], bool]
    ) -> tuple[str, ...]:
        """Return the hosts that claim a newer document and failed to deliver it."""
        wanted = self._wanted(held, is_refused)
        return tuple(sorted(peer.host for peer, claim in wanted if claim.failures))

    def _expire(self, now_ms: float) -> None:
        """Discard expired claims, left by peers whose links closed unnoticed."""
        self._claims = {
            peer: claim
            for peer, claim in self._claims.items()
            if now_ms - claim.received_ms < CLAIM_EXPIRY_MS
        }

    def _close(self, peer: NodeId) -> None:
        """Close the request that ``peer`` answered.

        An answer of another incarnation shows that the one which made the claim has
        ended, so its claim is discarded.
        """
        if self._open and self._open.peer.host == peer.host:
            if self._open.peer != peer:
                self._claims.pop(self._open.peer, None)
            self._open = None

    def _wanted(
        self, held: Stamp, is_refused: Callable[[Stamp], bool]
    ) -> list[tuple[NodeId, _Claim]]:
        return [
            (peer, claim)
            for peer, claim in self._claims.items()
            if supersedes(claim.stamp, held) and not is_refused(claim.stamp)
        ]

    def _preference(self, item: tuple[NodeId, _Claim]) -> tuple:
        _, claim = item
        return (
            -claim.stamp.version,
            claim.stamp.digest,
            not claim.near,
            claim.failures,
            self._rng.random(),
        )


class ServeBudget:
    """Token bucket that bounds the document bytes that a node sends to its peers.

    Failure: the first node with a new version gets requests from all its peers at
    once, and its answers are late, also those to calls. Refused peers request the
    document from other nodes, more and more of which hold it.
    """

    def __init__(self):
        self._bytes_left = float(MAX_SERVED_BYTES_PER_S)
        self._at_ms = 0.0

    def spend(self, size_bytes: int, now_ms: float) -> bool:
        """Return whether a document of this size may be sent now."""
        earned = (now_ms - self._at_ms) * MAX_SERVED_BYTES_PER_S / 1000
        self._bytes_left = min(MAX_SERVED_BYTES_PER_S, self._bytes_left + earned)
        self._at_ms = now_ms
        if self._bytes_left <= 0:
            return False
        self._bytes_left -= size_bytes
        return True
