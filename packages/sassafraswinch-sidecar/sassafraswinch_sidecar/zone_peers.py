"""The other sidecars of this availability zone, who follow the platform together."""

from collections.abc import Mapping

from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.peer_links import PeerLinks
from sassafraswinch_sidecar.relay_wire import Message


class ZonePeers:
    """Finds and tells the sidecars of a zone.

    Args:
        own_ip: address of this host.
        availability_zone: where it is.
        fleet: tells the hosts of each zone.
        links: leads to their sidecars.
    """

    def __init__(
        self, *, own_ip: str, availability_zone: str, fleet: Fleet, links: PeerLinks
    ):
        self._own_ip = own_ip
        self._zone = availability_zone
        self._fleet = fleet
        self._links = links

    def following(self) -> Mapping[str, bool]:
        """Return whether each follows the platform, of those that can be relied on."""
        loads = {ip: self._links.load_of(ip) for ip in self._ips()}
        return {
            ip: load.following
            for ip, load in loads.items()
            if load is not None and not load.leaving
        }

    def tell(self, message: Message) -> None:
        """Send a message to all."""
        ips = self._ips()
        for link in self._links.accepted:
            if link.peer_ip in ips:
                link.send(message)

    def _ips(self) -> set[str]:
        return {
            instance.ip
            for instance in self._fleet.instances.values()
            if instance.availability_zone == self._zone and instance.ip != self._own_ip
        }
