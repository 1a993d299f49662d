"""Configuration keepers, step by step: faults, claims of peers, transfers."""

import random

from sassafraswinch.messages import DocumentReply, DocumentRequest, NodeId
from sassafraswinch.offers import Outcome, Source
from sassafraswinch.sync import SYNC_WAIT_MS
from sassafraswinch.transfer import pack_document
from sassafraswinch.version_claims import FETCH_TIMEOUT_MS

from .utils.config_keepers import body_of, new_keeper, stamp_of


def test_invalid_document_is_overtaken_by_a_valid_newer_one():
    """An operator publishes version 2 with a fault and mends it as version 3.

    Version 1 stays in force meanwhile, and the report names the field. Once
    version 3 is in force the fault is no longer reported.
    """
    keeper = new_keeper()
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    refused = keeper.offer(body_of(2, "bad"), Source.PLATFORM, 1.0)
    assert refused.outcome is Outcome.INVALID
    assert refused.errors[0].field == "classes"
    assert keeper.stamp.version == 1
    assert keeper.report(2.0).refusal.errors[0].reason == "missing"
    assert keeper.offer(body_of(3), Source.PLATFORM, 3.0).changed
    assert keeper.report(4.0).refusal is None


def test_a_peer_that_does_not_deliver_is_passed_over():
    """A near peer claims version 2 and stays mute; a far one holds it too.

    The node asks the near one, gives up after the timeout, asks the far one,
    and reports the mute peer until it has the document.
    """
    keeper = new_keeper()
    mute, far = NodeId("mute", 1), NodeId("far", 1)
    stamp = stamp_of(body_of(2))
    (first,) = keeper.heard(mute, *stamp, 0.0, near=True)
    assert (first.peer, first.request.version) == ("mute", 2)
    assert keeper.heard(far, *stamp, 1.0, near=False) == ()
    (second,) = keeper.tick(FETCH_TIMEOUT_MS)
    assert second.peer == "far"
    assert keeper.report(FETCH_TIMEOUT_MS).undelivered == ("mute",)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert keeper.reply(far, reply, FETCH_TIMEOUT_MS).changed
    assert keeper.report(FETCH_TIMEOUT_MS).undelivered == ()


def test_a_woken_node_hears_a_fresh_word_before_it_serves():
    """A process is paused while version 2 comes into force elsewhere.

    In its buffers lies a peer's answer to a heartbeat from before the pause,
    ahead of the peer's word on version 2. That answer must not end the wait.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    keeper.start_sync(60_000.0, expected={"peer"})
    keeper.confirmed("peer", 1_000.0, 60_001.0)
    assert keeper.serving is None
    keeper.heard(peer, *stamp_of(body_of(2)), 60_002.0)
    keeper.confirmed("peer", 60_000.0, 60_003.0)
    assert keeper.serving is None
    keeper.reply(
        peer, DocumentReply(version=2, body=pack_document(body_of(2))), 60_004.0
    )
    assert keeper.serving.version == 2


def test_a_peer_that_delivers_less_than_it_claims_is_not_asked_at_once_again():
    """A peer claims version 3 and sends version 2 each time it is asked.

    Version 2 is better than none, but the claim must not be followed in a loop.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    reply = DocumentReply(version=2, body=pack_document(body_of(2)))
    assert keeper.heard(peer, *stamp_of(body_of(3)), 0.0)
    assert keeper.reply(peer, reply, 1.0).changed
    assert keeper.tick(2.0) == ()
    assert keeper.report(2.0).undelivered == ("peer",)


def test_a_late_message_of_a_second_link_lowers_no_claim():
    """A node restarts and reads version 1; a peer holds 2 but is slow to send it.

    An older word of that peer, version 1, comes late over its other link. The
    node must go on waiting for version 2 until the peer is lost.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.start_sync(0.0)
    keeper.offer(body_of(1), Source.PLATFORM, 0.0)
    keeper.heard(peer, *stamp_of(body_of(2)), 1.0)
    keeper.heard(peer, *stamp_of(body_of(1)), 2.0)
    keeper.tick(SYNC_WAIT_MS)
    assert keeper.serving is None
    keeper.peer_lost("peer", SYNC_WAIT_MS)
    assert keeper.serving.version == 1


def test_a_claim_of_a_vanished_peer_ends():
    """A peer claims version 2 over a link it dialled, and its host dies.

    Nobody tells the keeper. It asks a few times, then drops the claim.
    """
    keeper, peer = new_keeper(), NodeId("peer", 1)
    keeper.heard(peer, *stamp_of(body_of(2)), 0.0)
    asked_ms = [ms for ms in range(0, 120_000, 500) if keeper.tick(ms)]
    assert asked_ms and max(asked_ms) < 40_000
    assert keeper.report(120_000.0).undelivered == ()


def test_a_content_found_invalid_is_fetched_once():
    """A peer of another release accepted version 2, which this node refuses.

    The node must not fetch it again at each heartbeat of that peer.
    """
    keeper, peer, body = new_keeper(), NodeId("peer", 1), body_of(2, "bad")
    (fetch,) = keeper.heard(peer, *stamp_of(body), 0.0)
    offered = keeper.reply(
        peer, DocumentReply(version=2, body=pack_document(body)), 1.0
    )
    assert (offered.outcome, offered.fetches) == (Outcome.INVALID, ())
    assert keeper.heard(peer, *stamp_of(body), 60_000.0) == ()


def test_a_node_bounds_what_it_sends_to_peers():
    """Fifty peers ask the first holder of a 1 MB document in one moment.

    It answers a few and tells the others at once to ask elsewhere.
    """
    keeper = new_keeper()
    body = body_of(1) + random.Random(1).randbytes(300_000)
    keeper.offer(body, Source.PLATFORM, 0.0)
    replies = [keeper.answer(DocumentRequest(version=1), 0.0) for _ in range(50)]
    assert sum(bool(reply.body) for reply in replies) == 4
    assert keeper.answer(DocumentRequest(version=1), 1_000.0).body


def test_a_broken_or_oversized_transfer_is_a_failure_to_deliver():
    """A peer sends bytes that aren't packed, are cut off, or unpack to too much."""
    packed = pack_document(body_of(2))
    for sent in (b"", b"x", packed[:-1], pack_document(b" " * 1_000_001)):
        keeper, peer = new_keeper(), NodeId("peer", 1)
        keeper.heard(peer, *stamp_of(body_of(2)), 0.0)
        assert keeper.reply(peer, DocumentReply(version=2, body=sent), 1.0) is None
        assert keeper.report(1.0).undelivered == ("peer",)
