"""The exchange of documents with peers, around the keeper of the one in force."""

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
from sassafraswinch.offers import Candidate, Offered, Source
from sassafraswinch.ports import LinkPort
from sassafraswinch.version_claims import Fetch
from sassafraswinch.versions import ConfigKeeper

UNASKED_SEQUENCE = 0
"""Sequence of a heartbeat sent out of turn, to spread news at once."""


class Configuration:
    """Moves documents between the platform, this node and its peers."""

    def __init__(
        self,
        *,
        keeper: ConfigKeeper,
        lifecycle: Lifecycle,
        links: LinkPort,
        membership: Membership,
        heartbeat: Callable[[int, float], Heartbeat],
        use: Callable[[Document | None], None],
    ):
        self.keeper = keeper
        self.lifecycle = lifecycle
        self.links = links
        self.membership = membership
        self.heartbeat = heartbeat
        self.use = use
        self._used: Document | None = None
        self._nodes: dict[str, NodeId] = {}

    def sync(self, now_ms: float) -> None:
        """Ask the linked peers before serving on what is held."""
        linked = {
            view.name
            for view in self.membership.views(now_ms)
            if view.linked and not view.local
        }
        self.keeper.start_sync(now_ms, expected=linked)
        self._apply(now_ms)

    def platform_read(self, candidate: Candidate, now_ms: float) -> Offered:
        """Take in a document that the platform published."""
        offered = self.keeper.take(candidate, Source.PLATFORM, now_ms)
        self._after_offer(offered, now_ms)
        return offered

    def greeted(self, hello: Hello, now_ms: float) -> None:
        """Take in the version that a peer names in its greeting."""
        self._hear(hello.node, hello.document_version, hello.document_digest, now_ms)

    def heard(self, peer: NodeId, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take in the version that a peer holds."""
        version = heartbeat.document_version
        self._hear(peer, version, heartbeat.document_digest, now_ms)

    def _hear(self, peer: NodeId, version: int, digest: str, now_ms: float) -> None:
        self._nodes[peer.host] = peer
        self._fetch(self.keeper.heard(peer, version, digest, now_ms))
        self._apply(now_ms)

    def confirmed(self, host: str, sent_at_ms: float, now_ms: float) -> None:
        """Note that all a peer said before it answered has been heard."""
        self._fetch(self.keeper.confirmed(host, sent_at_ms, now_ms))
        self._apply(now_ms)

    def requested(self, peer: NodeId, request: DocumentRequest, now_ms: float) -> None:
        """Send a peer the document that it asks for."""
        self._send(peer.host, self.keeper.answer(request, now_ms))

    def replied(self, peer: NodeId, reply: DocumentReply, now_ms: float) -> None:
        """Take in a document that a peer sent."""
        offered = self.keeper.reply(peer, reply, now_ms)
        if offered is not None:
            self._after_offer(offered, now_ms)

    def peer_lost(self, host: str, now_ms: float) -> None:
        """Drop what a peer claimed whose last link is lost."""
        self._nodes.pop(host, None)
        self._fetch(self.keeper.peer_lost(host, now_ms))

    def tick(self, now_ms: float) -> None:
        """Let time pass: fetches that are due, the end of a sync."""
        self._fetch(self.keeper.tick(now_ms))
        self._apply(now_ms)

    def _after_offer(self, offered: Offered, now_ms: float) -> None:
        self._fetch(offered.fetches)
        self._apply(now_ms)
        if offered.changed:
            self.links.announce(self.heartbeat(UNASKED_SEQUENCE, now_ms))

    def _apply(self, now_ms: float) -> None:
        serving = self.keeper.serving
        if serving is self._used:
            return
        self._used = serving
        self.use(serving)
        if serving is not None:
            self.lifecycle.synced()

    def _fetch(self, fetches: Iterable[Fetch]) -> None:
        for fetch in fetches:
            self._send(fetch.peer, fetch.request)

    def _send(self, host: str, message: Message) -> None:
        """Send on the link that this node dialled, else on the peer's own."""
        if self.links.send(host, message) is None and host in self._nodes:
            self.links.reply(self._nodes[host], message)
