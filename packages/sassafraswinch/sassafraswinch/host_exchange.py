"""Exchange of host records with peers, for a node that can't read the platform."""

from dataclasses import replace

from sassafraswinch.hosts import HostState
from sassafraswinch.membership import Membership
from sassafraswinch.messages import HostsReply, HostsRequest, Message, NodeId
from sassafraswinch.ports import LinkPort

HOSTS_REQUEST_RETRY_MS = 5_000.0
"""Time after which hosts are requested from the same peer again; it may have known
none the first time."""

MAX_PEERS_REQUESTED = 3
"""Peers with an open request at a time, and peers whose replies suffice; more than one,
because their views may differ."""


class HostExchange:
    """Requests hosts from peers until the platform's host list has been read.

    Failure: a node is restarted or replaced during an outage of the platform. Its
    peers dial it, but it does not know their addresses. Until the platform is back
    its callers get no-host for every request, although all backend servers work.

    Hosts of a peer are only added and change no known host, so that a stale view
    does no harm.

    Args:
        self_host: name of the host that this node runs on.
        membership: the hosts known here.
        links: sends to peers.
    """

    def __init__(self, *, self_host: str, membership: Membership, links: LinkPort):
        self.self_host = self_host
        self.membership = membership
        self.links = links
        self._requested_at_ms: dict[str, float] = {}
        self._useful_peers: set[str] = set()

    def request_missing_hosts(self, peer: NodeId, now_ms: float) -> None:
        """Request hosts from a peer that sent a message or opened a link, if needed."""
        if (
            self.membership.list_version
            or len(self._useful_peers) >= MAX_PEERS_REQUESTED
        ):
            return
        self._requested_at_ms = {
            host: at_ms
            for host, at_ms in self._requested_at_ms.items()
            if now_ms - at_ms < HOSTS_REQUEST_RETRY_MS
        }
        if (
            peer.host in self._requested_at_ms
            or len(self._requested_at_ms) >= MAX_PEERS_REQUESTED
        ):
            return
        self._requested_at_ms[peer.host] = now_ms
        self._send(peer, HostsRequest(list_version=self.membership.list_version))

    def send_hosts(self, peer: NodeId) -> None:
        """Reply to a peer with the hosts known to this node."""
        self._send(peer, HostsReply(hosts=self.membership.records()))

    def add_reply(self, peer: NodeId, reply: HostsReply, now_ms: float) -> None:
        """Add the hosts that a peer knows.

        Its record of this host stems from an earlier run, which may have been
        leaving; taken for this run, it would make this process stop.
        """
        if any(record.name != self.self_host for record in reply.hosts):
            self._useful_peers.add(peer.host)
        hosts = [
            replace(record, state=HostState.LIVE)
            if record.name == self.self_host
            else record
            for record in reply.hosts
        ]
        self.membership.add_hosts(hosts, now_ms)

    def _send(self, peer: NodeId, message: Message) -> None:
        """Send on the link dialled by this node, or else on the peer's link."""
        if self.links.send(peer.host, message) is None:
            self.links.reply(peer, message)
