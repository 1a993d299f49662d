"""Documents and host lists on their way between nodes."""

from collections import deque

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.configuration import Configuration
from sassafraswinch.lifecycle import Lifecycle
from sassafraswinch.membership import Membership
from sassafraswinch.messages import DocumentReply, DocumentRequest, Hello, NodeId
from sassafraswinch.transfer import (
    HOST_LIST,
    UnpackError,
    pack_document,
    unpack_document,
    unpack_hosts,
)

from .test_membership import record
from .test_versions import new_keeper


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=2_000), st.integers(0, 2_000))
def test_a_packed_document_comes_back_whole_or_not_at_all(body, kept):
    packed = pack_document(body)
    assert unpack_document(packed) == body
    if kept < len(packed):
        with pytest.raises(UnpackError):
            unpack_document(packed[:kept])


class Wire(deque):
    """Links of a node that only others dial."""

    def send(self, host, message):
        return None

    def reply(self, node, message):
        self.append(message)
        return True


def configuration(members):
    return Configuration(
        keeper=new_keeper(),
        lifecycle=Lifecycle(),
        links=Wire(),
        membership=members,
        heartbeat=lambda sequence, now_ms: None,
        use=lambda document: None,
    )


def hello(host, incarnation):
    return Hello(
        protocol_version=1,
        node=NodeId(host, incarnation),
        availability_zone="brno-a",
        service="archiv",
        session=1,
        document_version=0,
        document_digest="",
    )


def test_a_node_restarted_in_a_cut_off_zone_learns_the_hosts_from_a_peer():
    """A node restarts while its zone is cut off from the platform.

    It knows no host but its own, so its callers and its backend server could
    reach nobody. A peer that still has its address dials it.
    """
    restarted = configuration(Membership(self_host="x"))
    restarted.membership.learn([record("x")], 0.0)
    peer = configuration(Membership(self_host="y"))
    peer.membership.replace([record(name) for name in "xyz"], 7, 0.0)
    restarted.greeted(hello("y", 1), 1.0)
    assert list(restarted.links) == [DocumentRequest(version=HOST_LIST)]
    peer.greeted(hello("x", 2), 1.0)
    peer.requested(NodeId("x", 2), restarted.links.pop(), 2.0)
    restarted.replied(NodeId("y", 1), peer.links.pop(), 3.0)
    assert {r.name for r in restarted.membership.peers(4.0)} == {"y", "z"}
    restarted.greeted(hello("y", 1), 5.0)
    assert not restarted.links
    assert restarted.membership.list_version == 0


@pytest.mark.parametrize("body", (b"", b"x", pack_document(b"[{}]")))
def test_a_broken_host_list_changes_nothing(body):
    node = configuration(Membership(self_host="x"))
    with pytest.raises(UnpackError):
        unpack_hosts(body)
    node.replied(NodeId("y", 1), DocumentReply(version=HOST_LIST, body=body), 0.0)
    assert node.membership.records() == ()
