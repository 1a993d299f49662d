"""The other sidecars of this availability zone, who follow the platform together."""

from collections.abc import Callable, Mapping

from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.placement import PeerLoad


class ZonePeers:
    """Finds the sidecars of a zone.

    Args:
        own_ip: address of this host.
        availability_zone: where it is.
        fleet: tells the hosts of each zone.
        view: tells which of them were ever heard.
        load_of: returns what is known of a host that can be reached.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        availability_zone: str,
        fleet: Fleet,
        view: FleetView,
        load_of: Callable[[str], PeerLoad | None],
    ):
        self._own_ip = own_ip
        self._zone = availability_zone
        self._fleet = fleet
        self._view = view
        self._load_of = load_of

    def following_by_peer(self) -> Mapping[str, bool]:
        """Return whether each follows the platform, of those that can be relied on.

        Hosts that nobody has told of yet count as ones that don't. Failure: all hosts
        start at once, each knows the others by the platform's list alone, and all of
        them follow the platform until the first word of a gatherer.
        """
        listed = self._fleet.hosts_of(self._zone)
        found = {ip: self._follows(ip) for ip in listed if ip != self._own_ip}
        return {ip: follows for ip, follows in found.items() if follows is not None}

    def _follows(self, ip: str) -> bool | None:
        """Return whether a host follows the platform; None if it can't be relied on."""
        if self._view.load(ip) is None:
            return False
        load = self._load_of(ip)
        return None if load is None or load.leaving else load.following
