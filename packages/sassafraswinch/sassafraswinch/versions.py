"""Store of the configuration document in force; its version only ever rises."""

import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from sassafraswinch.errors import (
    InvalidFieldError,
    InvalidFieldsError,
    InvariantError,
)
from sassafraswinch.messages import DocumentReply, DocumentRequest, NodeId
from sassafraswinch.offers import (
    Candidate,
    Conflict,
    Document,
    DocumentReport,
    OfferResult,
    Outcome,
    Refusal,
    Source,
)
from sassafraswinch.sync import PeerSync
from sassafraswinch.transfer import UnpackError, pack_document, unpack_document
from sassafraswinch.version_claims import (
    NO_STAMP,
    Fetch,
    ServeBudget,
    Stamp,
    VersionClaims,
    supersedes,
)

MAX_REMEMBERED_DOCUMENTS = 64
"""Documents remembered by digest, so that none is parsed or refused twice."""

MAX_REPORTED_CONFLICTS = 8
"""Number of the latest conflicts kept for the report."""


class DocumentStore:
    """Holds the configuration document in force on one node.

    Documents are ordered by version, and within one version by digest, where the
    smaller digest supersedes the greater one. A node only moves up in this order, so
    all nodes that receive the same documents converge on the same one, in whatever
    order they receive them.

    Args:
        parse: parses a body; raises ``InvalidFieldsError`` with every fault.
        digest: returns a short stable hash of a body.
        rng: spreads fetches over peers and over time.
    """

    def __init__(
        self,
        *,
        parse: Callable[[bytes], Document],
        digest: Callable[[bytes], str],
        rng: random.Random,
    ):
        self._parse = parse
        self._digest = digest
        self._claims = VersionClaims(rng=rng)
        self._serve_budget = ServeBudget()
        self._known: OrderedDict[str, Candidate] = OrderedDict()
        self._document: Document | None = None
        self._packed: bytes | None = None
        self._stamp = NO_STAMP
        self._source: Source | None = None
        self._since_ms = 0.0
        self._sync: PeerSync | None = PeerSync(started_ms=math.inf)
        self._refusal: Refusal | None = None
        self._conflicts: deque[Conflict] = deque(maxlen=MAX_REPORTED_CONFLICTS)

    @property
    def in_force(self) -> Document | None:
        """Newest valid document held, even while the node isn't serving."""
        return self._document

    @property
    def serving(self) -> Document | None:
        """Document to serve on; None while syncing or without one."""
        return None if self._sync else self._document

    @property
    def stamp(self) -> Stamp:
        """Version and digest in force, as reported to peers."""
        return self._stamp

    def start_sync(self, now_ms: float, *, expected: Iterable[str] = ()) -> None:
        """Stop serving until the peers have reported their versions.

        Called at start and after a process pause. Failure: a restarted node reads a
        stale copy from the platform, or a resumed one acts on the document it held
        before the pause, and serves an older version than its peers. ``PeerSync``
        decides when the wait ends.

        Args:
            now_ms: monotonic milliseconds.
            expected: hosts whose answer ends the wait early.
        """
        self._sync = PeerSync(started_ms=now_ms, expected=expected)

    def parse_body(self, body: bytes) -> Candidate:
        """Parse a body; changes no state, so that it may run in a thread."""
        digest = self._digest(body)
        known = self._known.get(digest)
        if known is not None:
            return known
        try:
            document = self._parse(body)
        except InvalidFieldsError as group:
            return Candidate(stamp=Stamp(0, digest), errors=group.exceptions)
        except Exception as error:
            # A document that triggers a parser bug reaches every node within
            # seconds; if the error propagated, it would stop all of them.
            fault = InvalidFieldError(
                source="document", field="", reason=f"can't be read: {error!r}"
            )
            return Candidate(stamp=Stamp(0, digest), errors=(fault,))
        return Candidate(stamp=Stamp(document.version, digest), document=document)

    def offer(self, body: bytes, source: Source, now_ms: float) -> OfferResult:
        """Parse a body and put it in force if it is valid and newer."""
        return self.apply_candidate(self.parse_body(body), source, now_ms)

    def apply_candidate(
        self, candidate: Candidate, source: Source, now_ms: float
    ) -> OfferResult:
        """Put a parsed document in force if it is valid and newer."""
        self._remember(candidate)
        outcome = self._check_candidate(candidate)
        changed = candidate.document is not None and supersedes(
            candidate.stamp, self._stamp
        )
        if outcome is Outcome.INVALID:
            self._record_refusal(candidate, source, now_ms)
        if outcome is Outcome.CONFLICT:
            self._record_conflict(candidate.stamp, now_ms)
        if changed:
            self._put_in_force(candidate, source, now_ms)
        return OfferResult(
            outcome=outcome,
            stamp=candidate.stamp,
            errors=candidate.errors,
            changed=changed,
            fetches=self.tick(now_ms),
        )

    def record_peer_version(
        self,
        peer: NodeId,
        version: int,
        digest: str,
        now_ms: float,
        *,
        near: bool = True,
    ) -> tuple[Fetch, ...]:
        """Record the version that a peer reports.

        Args:
            peer: node and incarnation of the peer.
            version: version in force on the peer; 0 for none.
            digest: digest in force on the peer.
            now_ms: monotonic milliseconds.
            near: whether the peer is in this node's availability zone.

        Returns:
            Fetch requests to send; at most one is open at a time.
        """
        stamp = Stamp(version, digest)
        self._claims.record_claim(peer, stamp, now_ms, near=near)
        if version and version == self._stamp.version and stamp != self._stamp:
            self._record_conflict(stamp, now_ms)
        if self._sync is None and not supersedes(stamp, self._stamp):
            return ()
        return self.tick(now_ms)

    def record_round_trip(
        self, host: str, sent_at_ms: float, now_ms: float
    ) -> tuple[Fetch, ...]:
        """Record that a host answered a heartbeat sent at ``sent_at_ms``."""
        if self._sync is None:
            return ()
        self._sync.record_answer(host, sent_at_ms)
        return self.tick(now_ms)

    def apply_reply(
        self, peer: NodeId, reply: DocumentReply, now_ms: float
    ) -> OfferResult | None:
        """Handle a peer's reply to a fetch; return None if it holds no document."""
        try:
            body = unpack_document(reply.body)
        except UnpackError:
            self._claims.record_failure(peer, now_ms)
            return None
        return self.apply_fetched(peer, self.parse_body(body), now_ms)

    def apply_fetched(
        self, peer: NodeId, candidate: Candidate, now_ms: float
    ) -> OfferResult:
        """Apply a parsed document that a peer delivered."""
        self._claims.record_delivery(peer, candidate.stamp, now_ms)
        return self.apply_candidate(candidate, Source.PEER, now_ms)

    def answer_request(self, request: DocumentRequest, now_ms: float) -> DocumentReply:
        """Return the reply to a peer; an empty body makes it try another peer."""
        document = self._document
        if document is None or document.version < request.version:
            return DocumentReply(version=request.version, body=b"")
        if self._packed is None:
            self._packed = pack_document(document.body)
        if not self._serve_budget.spend(len(self._packed), now_ms):
            return DocumentReply(version=request.version, body=b"")
        return DocumentReply(version=document.version, body=self._packed)

    def peer_lost(self, host: str, now_ms: float) -> tuple[Fetch, ...]:
        """Discard the claims of a host whose last link is lost."""
        self._claims.remove_host(host)
        if self._sync:
            self._sync.remove_host(host)
        return self.tick(now_ms)

    def tick(self, now_ms: float) -> tuple[Fetch, ...]:
        """End a sync that is over and return the fetch requests that are due."""
        fetch = self._claims.next_fetch(self._stamp, self._is_refused, now_ms)
        self._end_sync(now_ms)
        return (fetch,) if fetch else ()

    def report(self, now_ms: float) -> DocumentReport:
        """Return the report for the operators' status."""
        return DocumentReport(
            stamp=self._stamp,
            age_ms=now_ms - self._since_ms if self._document else 0.0,
            source=self._source,
            syncing=self._sync is not None,
            refusal=self._refusal,
            conflicts=tuple(self._conflicts),
            undelivered=self._claims.undelivered(self._stamp, self._is_refused),
        )

    def _check_candidate(self, candidate: Candidate) -> Outcome:
        stamp = candidate.stamp
        if candidate.errors:
            return Outcome.INVALID
        if stamp == self._stamp:
            return Outcome.SAME
        if stamp.version == self._stamp.version:
            return Outcome.CONFLICT
        newer = stamp.version > self._stamp.version
        return Outcome.ACCEPTED if newer else Outcome.OLD

    def _put_in_force(
        self, candidate: Candidate, source: Source, now_ms: float
    ) -> None:
        if candidate.errors or not supersedes(candidate.stamp, self._stamp):
            raise InvariantError(
                invariant="version-never-falls",
                facts=f"{candidate.stamp} must not replace {self._stamp}",
            )
        self._document = candidate.document
        self._packed = None
        self._stamp = candidate.stamp
        self._source = source
        self._since_ms = now_ms
        self._refusal = None

    def _record_refusal(
        self, candidate: Candidate, source: Source, now_ms: float
    ) -> None:
        self._refusal = Refusal(
            stamp=candidate.stamp,
            source=source,
            errors=candidate.errors,
            at_ms=now_ms,
        )

    def _record_conflict(self, other: Stamp, now_ms: float) -> None:
        kept, dropped = sorted((self._stamp.digest, other.digest))
        recorded = ((c.version, c.kept, c.dropped) for c in self._conflicts)
        if (other.version, kept, dropped) in recorded:
            return
        self._conflicts.append(
            Conflict(version=other.version, kept=kept, dropped=dropped, at_ms=now_ms)
        )

    def _remember(self, candidate: Candidate) -> None:
        digest = candidate.stamp.digest
        self._known[digest] = Candidate(stamp=candidate.stamp, errors=candidate.errors)
        self._known.move_to_end(digest)
        if len(self._known) > MAX_REMEMBERED_DOCUMENTS:
            self._known.popitem(last=False)

    def _is_refused(self, stamp: Stamp) -> bool:
        known = self._known.get(stamp.digest)
        return known is not None and bool(known.errors)

    def _end_sync(self, now_ms: float) -> None:
        if self._sync is None or self._document is None:
            return
        newer_claimed = self._claims.has_newer_claim(self._stamp, self._is_refused)
        if self._sync.is_over(now_ms, newer_claimed=newer_claimed):
            self._sync = None
