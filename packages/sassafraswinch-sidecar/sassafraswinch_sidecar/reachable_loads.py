"""Loads of the servers that requests can be sent to now."""

from collections.abc import Callable

from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import PeerLoad


class ReachableLoads:
    """Joins what gatherers tell of hosts and what the links to them show.

    Args:
        own_ip: address of this host.
        executor: runs requests at the server beside this sidecar.
        links: lead to the other hosts.
        view: what was told of them.
        now_ms: monotonic clock.

    Attributes:
        own: load of the server beside this sidecar.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        executor: Executor,
        links: PeerLinks,
        view: FleetView,
        now_ms: Callable[[], float],
    ):
        self.own = PeerLoad()
        self._own_ip = own_ip
        self._executor = executor
        self._links = links
        self._view = view
        self._now_ms = now_ms

    def load_of(self, ip: str) -> PeerLoad | None:
        """Return what is known of the server at an address; None if out of reach.

        A link that has just shown signs of life proves more than what gatherers tell,
        who may be lost or cut off themselves.
        """
        if ip == self._own_ip:
            self.own.apply_report(self._executor.load(), self._now_ms())
            self.own.leaving = self._executor.leaving
            return self.own
        now_ms = self._now_ms()
        peer = self._links.peers.get(ip)
        if peer is not None:
            if not peer.accepts_requests(now_ms):
                return None
            if peer.is_live:
                return self._view.load(ip)
        return self._view.recent_load(ip, now_ms)
