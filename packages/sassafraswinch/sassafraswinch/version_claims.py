"""What peers say they hold, and from which one to fetch a newer document."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sassafraswinch.messages import DocumentRequest, NodeId

FETCH_TIMEOUT_MS = 1_500
"""An unanswered request is given up after this long and another peer is asked."""

RETRY_FIRST_MS = 250
"""Pause before a peer that failed to deliver is asked again; doubles each time."""

RETRY_LIMIT_MS = 4_000
"""Longest pause before a peer that failed to deliver is asked again."""

CLAIM_LIFE_MS = 30_000
"""A claim not repeated for this long is dropped: its peer is gone. Links repeat
it with each heartbeat, every 1 s."""

SERVE_BYTES_PER_S = 1_000_000
"""Packed document bytes that a node sends to its peers at most, with a burst of
1 s: below a hundredth of a link of 1 Gbit/s."""


class Stamp(NamedTuple):
    """Names one content of a document."""

    version: int
    digest: str


NO_STAMP = Stamp(0, "")
"""Stands for no document."""


def supersedes(new: Stamp, old: Stamp) -> bool:
    """Return whether ``new`` comes into force over ``old``.

    The greater version does. Under one version the smaller digest does, so that
    two contents published for it resolve alike everywhere, without agreement.
    """
    if new.version != old.version:
        return new.version > old.version
    return new.digest < old.digest


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch:
    """A request to send to the node of one host."""

    peer: str
    request: DocumentRequest


@dataclass(slots=True, kw_only=True)
class _Claim:
    stamp: Stamp
    near: bool
    heard_ms: float
    failures: int = 0
    retry_at_ms: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Open:
    peer: NodeId
    stamp: Stamp
    sent_at_ms: float


class Claims:
    """The latest word of each linked peer, and the one request that is open.

    A claim is only a hint: a peer may say that it holds a version and never
    deliver it. So each failure sends the next request to another peer, and a
    peer that failed is asked again only after a growing pause.

    Args:
        rng: chooses among equal peers, so that one of them isn't asked by all.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._claims: dict[NodeId, _Claim] = {}
        self._open: _Open | None = None

    def heard(
        self, peer: NodeId, stamp: Stamp, now_ms: float, *, near: bool = True
    ) -> None:
        """Raise the claim of a peer; a repeated one keeps its failures.

        One run of a peer only moves up, so a lower claim is an old message
        that another link to it delivers late.
        """
        claim = self._claims.get(peer)
        if claim is None:
            self._expire(now_ms)
        if claim is None or supersedes(stamp, claim.stamp):
            self._claims[peer] = _Claim(stamp=stamp, near=near, heard_ms=now_ms)
        else:
            claim.heard_ms = now_ms

    def drop(self, host: str) -> None:
        """Forget every run of the node on a host."""
        for peer in [peer for peer in self._claims if peer.host == host]:
            del self._claims[peer]
        if self._open and self._open.peer.host == host:
            self._open = None

    def failed(self, peer: NodeId, now_ms: float) -> None:
        """Note that a peer didn't deliver, and close the request to it."""
        self._close(peer)
        claim = self._claims.get(peer)
        if claim is None:
            return
        pause_ms = min(RETRY_LIMIT_MS, RETRY_FIRST_MS * 2**claim.failures)
        claim.failures = min(claim.failures + 1, 16)
        claim.retry_at_ms = now_ms + pause_ms * self._rng.uniform(0.5, 1.5)

    def delivered(self, peer: NodeId, stamp: Stamp, now_ms: float) -> None:
        """Note what a peer delivered; less than it claimed is a failure."""
        claim = self._claims.get(peer)
        if claim and supersedes(claim.stamp, stamp):
            self.failed(peer, now_ms)
        else:
            self._close(peer)

    def next_fetch(
        self, held: Stamp, is_refused: Callable[[Stamp], bool], now_ms: float
    ) -> Fetch | None:
        """Return the request to send now, if any.

        Args:
            held: what is in force on this node.
            is_refused: whether a content is known to be invalid.
            now_ms: monotonic milliseconds.
        """
        if self._open and now_ms - self._open.sent_at_ms >= FETCH_TIMEOUT_MS:
            self.failed(self._open.peer, now_ms)
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
        self._open = _Open(peer=peer, stamp=claim.stamp, sent_at_ms=now_ms)
        return Fetch(
            peer=peer.host, request=DocumentRequest(version=claim.stamp.version)
        )

    def is_unmet(self, held: Stamp, is_refused: Callable[[Stamp], bool]) -> bool:
        """Return whether some peer claims what would supersede ``held``."""
        return bool(self._wanted(held, is_refused))

    def undelivered(
        self, held: Stamp, is_refused: Callable[[Stamp], bool]
    ) -> tuple[str, ...]:
        """Return the hosts that claim a newer content and failed to deliver it."""
        wanted = self._wanted(held, is_refused)
        return tuple(sorted(peer.host for peer, claim in wanted if claim.failures))

    def _expire(self, now_ms: float) -> None:
        """Drop claims of peers that are gone, whose links nobody saw close."""
        self._claims = {
            peer: claim
            for peer, claim in self._claims.items()
            if now_ms - claim.heard_ms < CLAIM_LIFE_MS
        }

    def _close(self, peer: NodeId) -> None:
        """Close the request that ``peer`` answered.

        An answer of another run of the node shows that the run which made the
        claim is gone, and the claim with it.
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
    """Bounds the document bytes that a node sends to its peers.

    Failure guarded against: the first node to hold a new version is asked by
    all its peers at once and answers late, to calls as well. Those refused ask
    others, of which there are more each moment.
    """

    def __init__(self):
        self._bytes_left = float(SERVE_BYTES_PER_S)
        self._at_ms = 0.0

    def spend(self, size_bytes: int, now_ms: float) -> bool:
        """Return whether a document of this size may be sent now."""
        earned = (now_ms - self._at_ms) * SERVE_BYTES_PER_S / 1000
        self._bytes_left = min(SERVE_BYTES_PER_S, self._bytes_left + earned)
        self._at_ms = now_ms
        if self._bytes_left <= 0:
            return False
        self._bytes_left -= size_bytes
        return True
