"""Unit tests of the document store: invalid documents, peer claims, transfers."""

import random

from sassafraswinch.messages import DocumentReply, DocumentRequest, NodeId
from sassafraswinch.offers import Outcome, Source
from sassafraswinch.sync import SYNC_WAIT_MS
from sassafraswinch.transfer import pack_document
from sassafraswinch.version_claims import FETCH_TIMEOUT_MS

from .utils.document_fixtures import body_of, new_document_store, stamp_of


def test_invalid_document_is_superseded_by_a_valid_newer_one():
    """An operator publishes an invalid version 2 and corrects it with version 3.

    Version 1 stays in force meanwhile, and the report names the field. Once version 3
    is in force the fault is no longer reported.
    """
    document_store = new_document_store()
    document_store.offer(body_of(1), Source.PLATFORM, 0.0)
    refused = document_store.offer(body_of(2, "bad"), Source.PLATFORM, 1.0)
    assert refused.outcome is Outcome.INVALID
    assert refused.errors[0].field == "classes"
    assert document_store.stamp.version == 1
    assert document_store.report(2.0).refusal.errors[0].reason == "missing"
    assert document_store.offer(body_of(3), Source.PLATFORM, 3.0).changed
    assert document_store.report(4.0).refusal is None


def test_peer_that_does_not_deliver_is_skipped():
    """A near peer claims version 2 and never replies; a far one holds it too.

    The node sends a request to the near one, times out, sends one to the far one, and
    reports the near peer as not delivering until it has the document.
    """
    document_store = new_document_store()
    mute, far = NodeId("mute", 1), NodeId("far", 1)
    stamp = stamp_of(body_of(2))
    (first,) = document_store.record_peer_version(mute, *stamp, 0.0, near=True)
    assert (first.peer, first.request.version) == ("mute", 2)
    assert document_store.record_peer_version(far, *stamp, 1.0, near=False) == ()
    (second,) = document_store.tick(FETCH_TIMEOUT_MS)
    assert second.peer == "far"
    assert document_store.report(FETCH_TIMEOUT_MS).undelivered == ("mute",)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert document_store.apply_reply(far, reply, FETCH_TIMEOUT_MS).changed
    assert document_store.report(FETCH_TIMEOUT_MS).undelivered == ()


def test_resumed_node_waits_for_a_fresh_answer_before_it_serves():
    """A process is paused while version 2 comes into force on its peer.

    Its buffers hold the peer's answer to a heartbeat sent before the pause, ahead of
    the peer's report of version 2. That answer must not end the wait.
    """
    document_store, peer = new_document_store(), NodeId("peer", 1)
    document_store.offer(body_of(1), Source.PLATFORM, 0.0)
    document_store.start_sync(60_000.0, expected={"peer"})
    document_store.record_round_trip("peer", 1_000.0, 60_001.0)
    assert document_store.serving is None
    document_store.record_peer_version(peer, *stamp_of(body_of(2)), 60_002.0)
    document_store.record_round_trip("peer", 60_000.0, 60_003.0)
    assert document_store.serving is None
    document_store.apply_reply(
        peer, DocumentReply(version=2, body=pack_document(body_of(2))), 60_004.0
    )
    assert document_store.serving.version == 2


def test_peer_that_delivers_an_older_version_than_claimed_is_backed_off():
    """A peer claims version 3 and sends version 2 in reply to each request.

    Version 2 is better than none, but the node must not repeat the request in a loop.
    """
    document_store, peer = new_document_store(), NodeId("peer", 1)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert document_store.record_peer_version(peer, *stamp_of(body_of(3)), 0.0)
    assert document_store.apply_reply(peer, reply, 1.0).changed
    assert document_store.tick(2.0) == ()
    assert document_store.report(2.0).undelivered == ("peer",)


def test_late_message_of_a_second_link_does_not_lower_a_claim():
    """A node restarts and reads version 1; a peer holds 2 but is slow to send it.

    An older report of that peer, version 1, arrives late over its other link. The
    node must go on waiting for version 2 until the peer is lost.
    """
    document_store, peer = new_document_store(), NodeId("peer", 1)
    document_store.start_sync(0.0)
    document_store.offer(body_of(1), Source.PLATFORM, 0.0)
    document_store.record_peer_version(peer, *stamp_of(body_of(2)), 1.0)
    document_store.record_peer_version(peer, *stamp_of(body_of(1)), 2.0)
    document_store.tick(SYNC_WAIT_MS)
    assert document_store.serving is None
    document_store.peer_lost("peer", SYNC_WAIT_MS)
    assert document_store.serving.version == 1


def test_claim_of_a_crashed_peer_expires():
    """A peer claims version 2 over a link it dialled, and its host crashes.

    No lost link is reported. The node sends a few requests, then the claim expires.
    """
    document_store, peer = new_document_store(), NodeId("peer", 1)
    document_store.record_peer_version(peer, *stamp_of(body_of(2)), 0.0)
    requested_ms = [ms for ms in range(0, 120_000, 500) if document_store.tick(ms)]
    assert requested_ms and max(requested_ms) < 40_000
    assert document_store.report(120_000.0).undelivered == ()


def test_document_found_invalid_is_fetched_once():
    """A peer of another release accepted version 2, which this node refuses.

    The node must not fetch it again at each heartbeat of that peer.
    """
    document_store, peer, body = (
        new_document_store(),
        NodeId("peer", 1),
        body_of(2, "bad"),
    )
    (fetch,) = document_store.record_peer_version(peer, *stamp_of(body), 0.0)
    offered = document_store.apply_reply(
        peer, DocumentReply(version=2, body=pack_document(body)), 1.0
    )
    assert (offered.outcome, offered.fetches) == (Outcome.INVALID, ())
    assert document_store.record_peer_version(peer, *stamp_of(body), 60_000.0) == ()


def test_document_bytes_sent_to_peers_are_bounded():
    """Fifty peers request a 1 MB document from the first node with it at the same time.

    It sends the document to a few; the others get an empty reply at once, so that they
    try other nodes.
    """
    document_store = new_document_store()
    body = body_of(1) + random.Random(1).randbytes(300_000)
    document_store.offer(body, Source.PLATFORM, 0.0)
    replies = [
        document_store.answer_request(DocumentRequest(version=1), 0.0)
        for _ in range(50)
    ]
    assert sum(bool(reply.body) for reply in replies) == 4
    assert document_store.answer_request(DocumentRequest(version=1), 1_000.0).body


def test_corrupt_or_oversized_transfer_is_a_failure_to_deliver():
    """A peer sends bytes that are not packed, are truncated or unpack to too many."""
    packed = pack_document(body_of(2))
    for sent in (b"", b"x", packed[:-1], pack_document(b" " * 1_000_001)):
        document_store, peer = new_document_store(), NodeId("peer", 1)
        document_store.record_peer_version(peer, *stamp_of(body_of(2)), 0.0)
        assert (
            document_store.apply_reply(peer, DocumentReply(version=2, body=sent), 1.0)
            is None
        )
        assert document_store.report(1.0).undelivered == ("peer",)
