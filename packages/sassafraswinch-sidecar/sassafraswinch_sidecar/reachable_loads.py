"""Loads of the backend servers that can currently be reached."""

from collections.abc import Callable, Iterable

from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.placement import PeerLoad


class ReachableLoads:
    """Combines the loads reported by aggregators with the state of the links.

    Args:
        own_ip: address of this host.
        executor: runs requests at the server beside this sidecar.
        links: links to the other hosts.
        view: last reported loads of the other hosts.
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

    def known_loads(self) -> Iterable[tuple[str, PeerLoad]]:
        """Return the load of each host that was ever reported, by address."""
        others = (each for each in self._view.loads() if each[0] != self._own_ip)
        return [(self._own_ip, self.load_of(self._own_ip)), *others]

    def load_of(self, ip: str) -> PeerLoad | None:
        """Return the load of the server at an address; None if it can't be reached.

        A link with recent traffic is stronger evidence than the aggregators' reports:
        aggregators may be down or cut off themselves.
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
