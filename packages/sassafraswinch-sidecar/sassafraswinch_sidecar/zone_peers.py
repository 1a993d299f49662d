"""Peers of this availability zone that share the task of following the platform."""

from collections.abc import Callable, Mapping

from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.fleet_view import FleetView
from sassafraswinch_sidecar.placement import PeerLoad


class ZonePeers:
    """Finds the peers of a zone that can be relied on.

    Args:
        own_ip: address of this host.
        availability_zone: availability zone of this host.
        fleet: provides the hosts of each zone.
        view: knows which of them have ever been reported.
        load_of: returns the load of a host that can be reached, None for others.
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
        """Return whether each peer that can be relied on follows the platform.

        Hosts that haven't been reported yet count as not following. Failure: all hosts
        start at once, each knows the others only by their registrations, and all of
        them follow the platform until the first digest of an aggregator.
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
