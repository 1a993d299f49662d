"""The hosts that peers know, for a node that can't read the platform's list."""

from dataclasses import replace

from sassafraswinch.hosts import HostState
from sassafraswinch.membership import Membership
from sassafraswinch.messages import HostsReply, HostsRequest, Message, NodeId
from sassafraswinch.ports import LinkPort

ASK_AGAIN_MS = 5_000.0
"""Time after which a peer counts as not asked; it may have known nothing then."""

ENOUGH_PEERS = 3
"""Peers asked at a time, and whose hosts are enough: their views may differ."""


class HostExchange:
    """Asks peers for hosts until the platform's own list is there.

    Failure: a node is restarted or replaced during an outage of the platform. Its
    peers dial it, but it knows no address of theirs: its callers get no-host for
    every request, though all backend servers are well, until the platform is back.

    What a peer says adds hosts and changes none, so that an old view does no harm.

    Args:
        self_host: name of the host that this node runs on.
        membership: the hosts known here.
        links: sends to peers.
    """

    def __init__(self, *, self_host: str, membership: Membership, links: LinkPort):
        self.self_host = self_host
        self.membership = membership
        self.links = links
        self._asked_at_ms: dict[str, float] = {}
        self._helpful: set[str] = set()

    def heard(self, peer: NodeId, now_ms: float) -> None:
        """Ask a peer that gave a sign of life, where its hosts may be needed."""
        if self.membership.list_version or len(self._helpful) >= ENOUGH_PEERS:
            return
        self._asked_at_ms = {
            host: at_ms
            for host, at_ms in self._asked_at_ms.items()
            if now_ms - at_ms < ASK_AGAIN_MS
        }
        if peer.host in self._asked_at_ms or len(self._asked_at_ms) >= ENOUGH_PEERS:
            return
        self._asked_at_ms[peer.host] = now_ms
        self._send(peer, HostsRequest(list_version=self.membership.list_version))

    def requested(self, peer: NodeId) -> None:
        """Send a peer the hosts known here."""
        self._send(peer, HostsReply(hosts=self.membership.records()))

    def replied(self, peer: NodeId, reply: HostsReply, now_ms: float) -> None:
        """Take in the hosts that a peer knows.

        What it heard of this host was said of an earlier run: that one may have been
        leaving, and this one would stop for it.
        """
        if any(record.name != self.self_host for record in reply.hosts):
            self._helpful.add(peer.host)
        hosts = [
            replace(record, state=HostState.LIVE)
            if record.name == self.self_host
            else record
            for record in reply.hosts
        ]
        self.membership.learn(hosts, now_ms)

    def _send(self, peer: NodeId, message: Message) -> None:
        """Send on the link that this node dialled, else on the peer's own."""
        if self.links.send(peer.host, message) is None:
            self.links.reply(peer, message)
