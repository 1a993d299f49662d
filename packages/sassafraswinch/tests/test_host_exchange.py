"""Tests of the exchange of host records between peers."""

import pytest

from sassafraswinch.host_exchange import (
    HOSTS_REQUEST_RETRY_MS,
    MAX_PEERS_REQUESTED,
    HostExchange,
)
from sassafraswinch.hosts import HostRecord, HostState
from sassafraswinch.membership import Membership
from sassafraswinch.messages import HostsReply, HostsRequest, NodeId

SELF = "vydej-1"


def record(name, state=HostState.LIVE):
    return HostRecord(
        name=name,
        service="vydej",
        availability_zone="brno-a",
        state=state,
        link="127.0.0.1:1",
        entry="127.0.0.1:2",
        operators="127.0.0.1:3",
    )


class AcceptedLinks:
    """Link port of a node whose links were all dialled by its peers."""

    def __init__(self):
        self.replies = []

    def send(self, host, message):
        return None

    def reply(self, node, message):
        self.replies.append((node.host, message))
        return True


@pytest.fixture
def links():
    return AcceptedLinks()


@pytest.fixture
def membership():
    return Membership(self_host=SELF)


@pytest.fixture
def exchange(membership, links):
    return HostExchange(self_host=SELF, membership=membership, links=links)


def test_restarted_node_gets_the_fleet_from_a_peer(exchange, membership, links):
    """The platform is down; the peer's record marks this host as leaving.

    The record stems from the earlier run of this host, so the new one must not stop.
    """
    peer = NodeId("vydej-2", 7)
    exchange.request_missing_hosts(peer, 0)
    assert links.replies == [("vydej-2", HostsRequest(list_version=0))]
    hosts = (record(SELF, HostState.LEAVING), record("vydej-2"), record("vydej-3"))
    exchange.add_reply(peer, HostsReply(hosts=hosts), 1)

    assert {view.name for view in membership.views(1)} == {SELF, "vydej-2", "vydej-3"}
    assert not membership.self_leaving


def test_few_peers_get_a_request_and_those_with_an_empty_reply_another(exchange, links):
    peers = [NodeId(f"vydej-{number}", 1) for number in range(2, 12)]
    for peer in peers:
        exchange.request_missing_hosts(peer, 0)
    assert len(links.replies) == MAX_PEERS_REQUESTED

    for peer in peers[:MAX_PEERS_REQUESTED]:
        exchange.add_reply(peer, HostsReply(hosts=()), 1)
        exchange.request_missing_hosts(peer, HOSTS_REQUEST_RETRY_MS)
    assert len(links.replies) == 2 * MAX_PEERS_REQUESTED

    for peer in peers[:MAX_PEERS_REQUESTED]:
        exchange.add_reply(
            peer, HostsReply(hosts=(record("vydej-2"),)), HOSTS_REQUEST_RETRY_MS
        )
    for peer in peers:
        exchange.request_missing_hosts(peer, 3 * HOSTS_REQUEST_RETRY_MS)
    assert len(links.replies) == 2 * MAX_PEERS_REQUESTED


def test_node_with_a_platform_list_requests_no_hosts(exchange, membership, links):
    membership.apply_host_list([record(SELF)], 1, 0)
    exchange.request_missing_hosts(NodeId("vydej-2", 1), 0)
    assert not links.replies


def test_known_host_is_not_changed_by_a_peer_record(exchange, membership):
    membership.add_hosts([record("vydej-2")], 0)
    leaving = HostsReply(hosts=(record("vydej-2", HostState.LEAVING),))
    exchange.add_reply(NodeId("vydej-3", 1), leaving, 1)
    assert [view.leaving for view in membership.views(1)] == [False]


def test_reply_holds_all_known_hosts(exchange, membership, links):
    membership.add_hosts([record(SELF), record("vydej-2")], 0)
    exchange.send_hosts(NodeId("vydej-2", 1))
    ((host, reply),) = links.replies
    assert host == "vydej-2"
    assert reply.hosts == (record(SELF), record("vydej-2"))


def test_node_restarted_in_a_partitioned_zone_gets_the_hosts_from_a_peer(
    exchange, membership, links
):
    """A node restarts while its zone is partitioned from the platform.

    It knows only its own host, so its callers and its backend server could reach no
    service. A peer that still has its address dials it.
    """
    membership.add_hosts([record(SELF)], 0)
    known = Membership(self_host="vydej-2")
    known.apply_host_list([record(name) for name in (SELF, "vydej-2", "vydej-3")], 7, 0)
    peer_links = AcceptedLinks()
    peer = HostExchange(self_host="vydej-2", membership=known, links=peer_links)

    exchange.request_missing_hosts(NodeId("vydej-2", 1), 1)
    assert links.replies == [("vydej-2", HostsRequest(list_version=0))]
    peer.send_hosts(NodeId(SELF, 2))
    ((_, reply),) = peer_links.replies
    exchange.add_reply(NodeId("vydej-2", 1), reply, 3)
    names = {found.name for found in membership.peers(4)}
    assert names == {"vydej-2", "vydej-3"}
    exchange.request_missing_hosts(NodeId("vydej-2", 1), 5)
    assert len(links.replies) == 1
    assert membership.list_version == 0
