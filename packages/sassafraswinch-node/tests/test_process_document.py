"""Tests that changes of the document reach every node and are never reverted."""

from contextlib import suppress

import pytest

from sassafraswinch_standins.chain import ORDER_STATE, STOCK, chain
from sassafraswinch_standins.fleet import Fleet
from sassafraswinch_standins.polling import wait_until
from sassafraswinch_standins.recovery import recover
from sassafraswinch_standins.requester import Requester

DISCONNECTED_ZONE = "brno-b"
"""The availability zone that loses its connection to the platform."""


class Documents:
    """Publishes versions of the fleet's document, each greater than the one before."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1

    def publish(self, **changes):
        self.version += 1
        document = self.fleet.graph.document(version=self.version) | changes
        self.fleet.control_platform(document=document)
        return self.version


@pytest.fixture(scope="module")
def fleet(shared_fleet):
    yield shared_fleet
    shared_fleet.control_platform(mode="up")


@pytest.fixture(scope="module")
def documents(fleet):
    return Documents(fleet)


@pytest.fixture(autouse=True)
def recovered_fleet(fleet):
    fleet.control_platform(mode="up")
    recover(fleet)


@pytest.fixture
def requester():
    requester = Requester()
    yield requester
    requester.close()


def versions(fleet):
    return {host: fleet.status(host)["document_version"] for host in fleet.hosts}


def wait_in_force(fleet, version):
    wait_until(
        f"version {version} in force on all nodes",
        lambda: set(versions(fleet).values()) == {version},
    )


def request_from_all(fleet, requester, path):
    return {
        host.name: requester.send(host.entry, requester.new("GET", path)).summary
        for host in fleet.hosts.values()
    }


def test_change_of_labels_is_in_force_on_every_node(fleet, documents, requester):
    """Operators make a lookup non-repeatable without changing a service."""
    before = set(request_from_all(fleet, requester, ORDER_STATE).values())
    assert before == {(200, "answered", None)}
    version = documents.publish(
        non_repeatable=["action in (approval, release, lookup)"]
    )
    wait_in_force(fleet, version)
    outcomes_after_change = set(
        request_from_all(fleet, requester, ORDER_STATE).values()
    )
    assert outcomes_after_change == {(428, "not-run", "ticket-required")}

    wait_in_force(fleet, documents.publish())
    assert set(request_from_all(fleet, requester, ORDER_STATE).values()) == before


def test_zone_without_the_platform_receives_changes_from_peers(fleet, documents):
    """An availability zone loses the platform but keeps its links to other zones.

    A change that the operators publish in this state must take effect there too.
    """
    fleet.control_platform(DISCONNECTED_ZONE, mode="down")
    wait_in_force(fleet, documents.publish())


def test_invalid_document_is_refused_and_the_old_one_stays(fleet, documents, requester):
    """Operators publish a document that fails validation."""
    fleet.control_platform(
        document={"version": documents.version + 1, "classes": [{"name": "", "x": 1}]}
    )
    documents.version += 1

    def refused():
        return all(fleet.status(host)["document_faults"] for host in fleet.hosts)

    wait_until("refused on all nodes", refused)
    assert set(versions(fleet).values()) == {documents.version - 1}
    outcomes = set(request_from_all(fleet, requester, ORDER_STATE).values())
    assert outcomes == {(200, "answered", None)}
    wait_in_force(fleet, documents.publish())


def test_restarted_node_never_serves_a_stale_document(fleet, documents, requester):
    """A node restarts while the platform serves an old version of the document.

    The node keeps no state over restarts. With the old version, a lookup that is
    non-repeatable by now would be retried and run twice, until the platform serves the
    current version again.
    """
    stale = documents.version
    version = documents.publish(
        non_repeatable=["action in (approval, release, lookup)"]
    )
    wait_in_force(fleet, version)
    fleet.control_platform(mode="stale", document_version=stale)
    node, entry = fleet.node("schvaleni-1"), fleet.hosts["schvaleni-1"].entry
    node.kill()
    node.start()
    outcomes, versions_in_force = set(), set()

    def serves():
        reply = requester.send(entry, requester.new("GET", STOCK))
        if reply.status:
            outcomes.add(reply.summary)
        with suppress(OSError):
            versions_in_force.add(fleet.status("schvaleni-1")["document_version"])
        return reply.status == 428

    wait_until("restarted node serves", serves)
    assert outcomes <= {
        (503, "not-run", "no-document"),
        (428, "not-run", "ticket-required"),
    }
    assert set(versions(fleet).values()) == {version}
    print("versions in force during the restart", versions_in_force)
    fleet.control_platform(mode="up")
    wait_in_force(fleet, documents.publish())


def test_fleet_serves_through_an_outage_of_the_platform(fleet, requester):
    """The platform is down; a node restarts during the outage and serves again.

    It can get the document and the addresses of the other hosts only from its peers.
    """
    fleet.control_platform(mode="down")
    node = fleet.node("schvaleni-1")
    node.kill()
    node.start()
    wait_until("all linked", lambda: all(map(fleet.is_fully_linked, fleet.hosts)))
    outcomes = request_from_all(fleet, requester, ORDER_STATE) | request_from_all(
        fleet, requester, STOCK
    )
    assert set(outcomes.values()) == {(200, "answered", None)}


def test_fleet_started_without_the_platform_refuses_until_it_is_available(
    tmp_path, requester
):
    """All nodes start while the platform is down, so no node has a document.

    Requests are refused at once as not-run with a retry time, and are served as soon as
    the platform is available.
    """
    graph = chain()
    with StartedWithoutPlatform(graph=graph, directory=tmp_path / "cold") as fleet:
        outcomes = request_from_all(fleet, requester, STOCK)
        assert set(outcomes.values()) == {(503, "not-run", "no-document")}
        states = {fleet.status(host)["state"] for host in fleet.hosts}
        assert states == {"syncing"}
        fleet.control_platform(mode="up")
        wait_until("all linked", lambda: all(map(fleet.is_fully_linked, fleet.hosts)))
        outcomes = request_from_all(fleet, requester, ORDER_STATE)
        assert set(outcomes.values()) == {(200, "answered", None)}


class StartedWithoutPlatform(Fleet):
    """A fleet whose platform is down while the nodes start."""

    def wait_ready(self, hosts=None):
        def listening():
            return all(self.status(host) for host in self.hosts)

        wait_until("all nodes listen", listening)

    def _add_node(self, host):
        self.control_platform(mode="down")
        return super()._add_node(host)
