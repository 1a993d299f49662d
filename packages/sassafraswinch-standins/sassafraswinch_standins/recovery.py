"""Brings a fleet back to its whole state between two faults."""

from sassafraswinch_standins.asker import Asker
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until


def recover(fleet: Fleet) -> None:
    """Start the nodes that have ended, and wait until all is as at the start.

    Raises:
        NotReachedError: it isn't within the ceiling.
    """
    for host in fleet.hosts:
        if not fleet.node(host).alive:
            fleet.node(host).start()
    fleet.wait_ready()
    wait_until("all linked", lambda: all(map(fleet.sees_all, fleet.hosts)))
    wait_until("own zones used", lambda: uses_own_zones(fleet))


def uses_own_zones(fleet: Fleet) -> bool:
    """Whether every node calls the servers of its availability zone again.

    A node gives a host that failed a rest, and calls the others meanwhile.
    """
    asker = Asker()
    pairs = [
        (node, server)
        for node in fleet.hosts.values()
        for server in fleet.layout.inside(node.availability_zone)
    ]
    probes = [
        asker.ask(node.entry, asker.new("GET", f"/{server.service}/probe"))
        for node, server in pairs
    ]
    asker.close()
    return [probe.server for probe in probes] == [server.name for _, server in pairs]
