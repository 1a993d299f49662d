"""Document exchange of a node: distributes document versions between its peers."""

from collections.abc import Callable, Iterable

from sassafraswinch.document import Document
from sassafraswinch.lifecycle import Lifecycle
from sassafraswinch.membership import Membership
from sassafraswinch.messages import (
    DocumentReply,
    DocumentRequest,
    Heartbeat,
    Hello,
    Message,
    NodeId,
)
from sassafraswinch.offers import Candidate, OfferResult, Source
from sassafraswinch.ports import LinkPort
from sassafraswinch.version_claims import Fetch
from sassafraswinch.versions import DocumentStore

UNSOLICITED_SEQUENCE = 0
"""Sequence number of a heartbeat sent out of turn, to announce a change at once."""


class DocumentExchange:
    """Exchanges documents between the platform, this node and its peers."""

    def __init__(
        self,
        *,
        keeper: DocumentStore,
        lifecycle: Lifecycle,
        links: LinkPort,
        membership: Membership,
        heartbeat: Callable[[int, float], Heartbeat],
        apply_document: Callable[[Document | None], None],
    ):
        self.keeper = keeper
        self.lifecycle = lifecycle
        self.links = links
        self.membership = membership
        self.heartbeat = heartbeat
        self.apply_document = apply_document
        self._applied: Document | None = None
        self._node_ids: dict[str, NodeId] = {}

    def start_sync(self, now_ms: float) -> None:
        """Start a sync: wait for the linked peers' versions before serving requests."""
        linked = {
            view.name
            for view in self.membership.views(now_ms)
            if view.linked and not view.local
        }
        self.keeper.start_sync(now_ms, expected=linked)
        self._apply_served_document(now_ms)

    def apply_platform_document(
        self, candidate: Candidate, now_ms: float
    ) -> OfferResult:
        """Apply a document that was read from the platform, if it is newer."""
        offered = self.keeper.apply_candidate(candidate, Source.PLATFORM, now_ms)
        self._finish_offer(offered, now_ms)
        return offered

    def record_hello(self, hello: Hello, now_ms: float) -> None:
        """Record the document version in the hello message of a peer."""
        self._record_version(
            hello.node, hello.document_version, hello.document_digest, now_ms
        )

    def record_heartbeat(
        self, peer: NodeId, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        """Record the document version in a heartbeat of a peer."""
        version = heartbeat.document_version
        self._record_version(peer, version, heartbeat.document_digest, now_ms)

    def _record_version(
        self, peer: NodeId, version: int, digest: str, now_ms: float
    ) -> None:
        self._node_ids[peer.host] = peer
        self._send_fetches(
            self.keeper.record_peer_version(peer, version, digest, now_ms)
        )
        self._apply_served_document(now_ms)

    def record_heartbeat_answer(
        self, host: str, sent_at_ms: float, now_ms: float
    ) -> None:
        """Record that a peer answered a heartbeat sent at ``sent_at_ms``.

        All messages that the peer sent before that answer have been received.
        """
        self._send_fetches(self.keeper.record_round_trip(host, sent_at_ms, now_ms))
        self._apply_served_document(now_ms)

    def answer_document_request(
        self, peer: NodeId, request: DocumentRequest, now_ms: float
    ) -> None:
        """Send a peer the document that it requested."""
        self._send(peer.host, self.keeper.answer_request(request, now_ms))

    def apply_document_reply(
        self, peer: NodeId, reply: DocumentReply, now_ms: float
    ) -> None:
        """Apply the document in a peer's reply, if it is newer."""
        offered = self.keeper.apply_reply(peer, reply, now_ms)
        if offered is not None:
            self._finish_offer(offered, now_ms)

    def peer_lost(self, host: str, now_ms: float) -> None:
        """Discard the version that a peer claimed, as its last link is lost."""
        self._node_ids.pop(host, None)
        self._send_fetches(self.keeper.peer_lost(host, now_ms))

    def tick(self, now_ms: float) -> None:
        """Send the fetches that are due and end a sync that is over."""
        self._send_fetches(self.keeper.tick(now_ms))
        self._apply_served_document(now_ms)

    def _finish_offer(self, offered: OfferResult, now_ms: float) -> None:
        self._send_fetches(offered.fetches)
        self._apply_served_document(now_ms)
        if offered.changed:
            self.links.announce(self.heartbeat(UNSOLICITED_SEQUENCE, now_ms))

    def _apply_served_document(self, now_ms: float) -> None:
        serving = self.keeper.serving
        if serving is self._applied:
            return
        self._applied = serving
        self.apply_document(serving)
        if serving is not None:
            self.lifecycle.synced()

    def _send_fetches(self, fetches: Iterable[Fetch]) -> None:
        for fetch in fetches:
            self._send(fetch.peer, fetch.request)

    def _send(self, host: str, message: Message) -> None:
        """Send on the link that this node opened, else on the one the peer opened."""
        if self.links.send(host, message) is None and host in self._node_ids:
            self.links.reply(self._node_ids[host], message)
