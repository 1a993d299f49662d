"""Recovery of a test fleet to its healthy state between two faults."""

from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.requester import Requester


def recover(fleet: Fleet) -> None:
    """Restart the nodes that have exited and wait until the fleet is healthy again.

    Raises:
        NotReachedError: the fleet is not healthy within the time limit.
    """
    for host in fleet.hosts:
        if not fleet.node(host).alive:
            fleet.node(host).start()
    fleet.wait_ready()
    wait_until("all hosts linked", lambda: all(map(fleet.is_fully_linked, fleet.hosts)))
    wait_until(
        "every node uses backend servers of its own zone", lambda: uses_own_zones(fleet)
    )


def uses_own_zones(fleet: Fleet) -> bool:
    """Return whether every node calls the backend servers of its availability zone.

    After a host fails, a node avoids it for a while and calls hosts of other zones.
    """
    requester = Requester()
    pairs = [
        (node, server)
        for node in fleet.hosts.values()
        for server in fleet.layout.hosts_in(node.availability_zone)
    ]
    probes = [
        requester.send(node.entry, requester.new("GET", f"/{server.service}/probe"))
        for node, server in pairs
    ]
    requester.close()
    return [probe.server for probe in probes] == [server.name for _, server in pairs]
