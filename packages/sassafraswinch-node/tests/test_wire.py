"""Tests of the encoding of messages, and of the rejection of invalid payloads."""

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.strategies import SearchStrategy

from sassafraswinch import messages
from sassafraswinch.hosts import HostRecord, HostState
from sassafraswinch.messages import Call, Cancel, Message, Rank
from sassafraswinch_node import wire
from sassafraswinch_node.link_protocol import ttypes

I32 = st.integers(-(2**31), 2**31 - 1)
I64 = st.integers(-(2**63), 2**63 - 1)
TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)
NUMBERS = st.lists(I64, max_size=5).map(tuple)
HEADERS = st.lists(st.tuples(TEXT, TEXT), max_size=4).map(tuple)
RANKS = st.builds(Rank, I32, I32)
LOADS = st.builds(
    messages.Load,
    in_flight=I32,
    queued=I32,
    limit=I32,
    queue_delay_ms=st.floats(allow_nan=False),
    threshold=st.none() | RANKS,
)
FIELDS = {
    "number": I64,
    "numbers": NUMBERS,
    "headers": HEADERS,
    "rank": RANKS,
    "thresholds": st.lists(
        st.builds(messages.ServiceThreshold, TEXT, RANKS), max_size=4
    ).map(tuple),
    "load": LOADS,
    "node": st.builds(messages.NodeId, TEXT, I64),
    "session": I64,
    "floor_session": I64,
    "sequence": I64,
    "version": I64,
    "document_version": I64,
    "body": st.binary(max_size=50),
}
BY_TYPE = {int: I32, str: TEXT}


def message_strategy(message_type: type) -> SearchStrategy:
    """Return a strategy that draws every field, also those that have defaults."""
    hints = message_type.__annotations__
    strategies = {
        name: FIELDS[name] if name in FIELDS else BY_TYPE.get(hint, st.from_type(hint))
        for name, hint in hints.items()
    }
    return st.builds(message_type, **strategies)


MESSAGES = st.one_of(
    [message_strategy(message_type) for message_type in Message.__args__]
)


def call(**changes) -> Call:
    fields = {
        "number": 1,
        "root_id": "0" * 32,
        "service": "schvaleni",
        "operation": "approve-order",
        "rank": Rank(0, 17),
        "repeatable": False,
        "remaining_ms": 4000,
        "allowance": 3,
        "depth": 1,
        "progress": 0,
        "method": "POST",
        "target": "/orders/7/approval",
        "headers": (("set-cookie", "a=1"), ("set-cookie", "b=2")),
        "body": b"x" * 500,
    }
    return Call(**fields | changes)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(message=MESSAGES, sent_ms=I64)
def test_each_message_is_decoded_as_encoded(message, sent_ms):
    payload = wire.encode(message, sent_ms=sent_ms)
    assert wire.decode(payload) == message
    assert wire.decode_frame(payload) == (sent_ms, message)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(payload=st.binary(max_size=200))
def test_random_bytes_raise_wire_error(payload):
    with pytest.raises(wire.WireError):
        wire.decode(payload)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(data=st.data(), message=MESSAGES)
def test_corrupted_message_raises_wire_error_or_decodes(data, message):
    payload = bytearray(wire.encode(message))
    position = data.draw(st.integers(0, len(payload) - 1))
    payload[position] = data.draw(st.integers(0, 255))
    try:
        decoded = wire.decode(bytes(payload))
    except wire.WireError:
        return
    assert isinstance(decoded, Message)


def test_truncated_message_is_refused():
    payload = wire.encode(call())
    for length in range(len(payload)):
        with pytest.raises(wire.WireError):
            wire.decode(payload[:length])


def test_invalid_host_list_is_refused():
    """A peer sends a host list that is truncated or has a host without an address."""
    record = HostRecord(
        name="vydej-1",
        service="vydej",
        availability_zone="brno-a",
        state=HostState.LIVE,
        link="127.0.0.1:1",
        entry="127.0.0.1:2",
        operators="127.0.0.1:3",
    )
    payload = wire.encode(messages.HostsReply(hosts=(record,)))
    for length in range(len(payload)):
        with pytest.raises(wire.WireError):
            wire.decode(payload[:length])
    with pytest.raises(wire.WireError):
        wire.decode(
            wire.encode(messages.HostsReply(hosts=(replace(record, link=None),)))
        )


def test_bytes_after_the_message_are_refused():
    with pytest.raises(wire.WireError, match="after"):
        wire.decode(wire.encode(call()) + b"\x00")


def test_deeply_nested_unknown_fields_are_refused():
    """A malicious or faulty peer sends nested structs in an unknown field.

    Skipping them by unbounded recursion would overflow the stack and crash the node
    process, which loses all calls that it owns.
    """
    with pytest.raises(wire.WireError):
        wire.decode(b"\x1c" * 600_000)


def test_unknown_message_of_a_later_version_is_refused():
    with pytest.raises(wire.WireError, match="without a message"):
        wire.decode(b"\x16\x00\x00")


def test_field_out_of_range_is_refused_by_encode():
    with pytest.raises(wire.WireError, match="cancel"):
        wire.encode(Cancel(number=2**70))


def test_each_enumeration_member_has_a_wire_number():
    pairs = (
        (messages.Verdict, ttypes.Verdict),
        (messages.Reason, ttypes.Reason),
        (messages.FenceState, ttypes.FenceState),
    )
    for members, generated in pairs:
        assert {member.name for member in members} == set(generated._NAMES_TO_VALUES)
