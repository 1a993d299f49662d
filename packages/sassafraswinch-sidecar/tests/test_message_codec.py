"""Every message between sidecars survives the wire, and nothing else passes for one."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch_node.frames import LENGTH_BYTES
from sassafraswinch_node.wire import WireError
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HeartbeatReply,
    HostReport,
    RelayRequest,
    RouteDemand,
    SentCount,
    ServerLoad,
    SummaryRequest,
)
from sassafraswinch_sidecar.relay_wire import (
    parse_delta,
    parse_message,
    parse_position,
    parse_question,
    position_fields,
    serialize_delta,
    serialize_message,
    serialize_question,
)
from sassafraswinch_sidecar.replica import Delta, Entry
from sassafraswinch_sidecar.revisions import Position, Revision

REQUESTS = st.builds(
    RelayRequest,
    call_id=st.integers(0, 2**62),
    instance_id=st.text(max_size=20),
    service_name=st.text(max_size=20),
    request_id=st.text(max_size=20),
    method=st.sampled_from(["GET", "PUT"]),
    target=st.binary(max_size=50),
    headers=st.binary(max_size=50),
    body=st.binary(max_size=200),
    remaining_ms=st.integers(0, 2**31 - 1),
    max_wait_ms=st.integers(0, 10_000),
    priority=st.integers(0, 10),
    level=st.integers(0, 1_000),
    inner=st.booleans(),
    idempotent=st.booleans(),
    repeated=st.booleans(),
    progress=st.integers(0, 2**31 - 1),
)


@settings(derandomize=True, deadline=None)
@given(REQUESTS)
def test_request_comes_back_equal(request):
    assert parse_message(serialize_message(request)[LENGTH_BYTES:]) == request


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.builds(
            Entry,
            key=st.text(max_size=10),
            revision=st.builds(Revision, st.integers(0, 99), st.integers(0, 2**40)),
            value=st.none() | st.binary(max_size=20),
        ),
        max_size=5,
    ),
    st.booleans(),
)
def test_changes_come_back_equal_removals_included(entries, whole):
    delta = Delta(revision=Revision(2, 7), whole=whole, entries=tuple(entries))
    frame = serialize_message(serialize_delta(delta))
    assert parse_delta(parse_message(frame[LENGTH_BYTES:])) == delta


def test_positions_come_back_equal():
    position = Position(revision=Revision(3, 7), routes_version=12)
    request = SummaryRequest(**position_fields(position))
    frame = serialize_message(request)
    assert parse_position(parse_message(frame[LENGTH_BYTES:])) == position
    frame = serialize_message(serialize_question(position))
    assert parse_question(parse_message(frame[LENGTH_BYTES:])) == position


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_garbage_is_refused(payload):
    with pytest.raises(WireError):
        parse_message(payload + b"\xff")


def test_message_that_is_cut_off_or_has_more_behind_it_is_refused():
    report = HostReport(
        revision=2,
        load=ServerLoad(1, 0, 7),
        leaving=False,
        following=True,
        isolated=False,
        demand=[RouteDemand("orders", 1, 2.5, {"archiv": 220_000})],
        counts=[SentCount("archiv", 3, 4)],
        relies=True,
    )
    payload = serialize_message(report)[LENGTH_BYTES:]
    for length in range(len(payload)):
        with pytest.raises(WireError):
            parse_message(payload[:length])
    with pytest.raises(WireError):
        parse_message(payload + b"\x00")


def test_messages_of_an_older_sidecar_are_understood():
    """A release replaces the sidecars one by one. The older ones lack fields that were
    added since; links that break on each of their messages would split the fleet until
    the last one is replaced.
    """
    load = ServerLoad(in_flight=1, queued=0, limit=7)
    reply = HeartbeatReply(
        sequence=1,
        revision=2,
        load=load,
        leaving=False,
        isolated=None,
        era=None,
        routes_version=None,
    )
    read = parse_message(serialize_message(reply)[LENGTH_BYTES:])
    assert read.isolated is False
    known = Position(revision=Revision(0, 2), routes_version=0)
    assert parse_position(read) == known
    request = RelayRequest(
        call_id=1,
        instance_id="i-1",
        service_name="archiv",
        request_id="r-1",
        method="GET",
        target=b"/",
        headers=b"",
        body=b"",
        remaining_ms=100,
        max_wait_ms=10,
        priority=0,
        level=0,
        inner=False,
        idempotent=True,
        repeated=False,
        progress=None,
    )
    assert parse_message(serialize_message(request)[LENGTH_BYTES:]).progress == 0
