"""Coding of messages between sidecars: thrift structs to frames and back."""

from thrift.protocol import fastbinary
from thrift.Thrift import TException

from sassafraswinch_node.frames import LENGTH_BYTES, FrameReader, WireError
from sassafraswinch_sidecar.relay_protocol import ttypes
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostReport,
    RelayCancel,
    RelayRequest,
    RelayResponse,
    ReplicaEntry,
    ReplicaReply,
    ReplicaRequest,
    SummaryReply,
    SummaryRequest,
    SuspectNews,
)
from sassafraswinch_sidecar.replica import Delta, Entry

Message = (
    FleetDigest
    | Heartbeat
    | HeartbeatReply
    | Hello
    | HostReport
    | RelayCancel
    | RelayRequest
    | RelayResponse
    | ReplicaReply
    | ReplicaRequest
    | SummaryReply
    | SummaryRequest
    | SuspectNews
)

MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Longest frame: the longest body that routes commonly allow, with its header."""

_FRAME_SPEC = [ttypes.Frame, ttypes.Frame.thrift_spec]
_SLOTS = {
    RelayRequest: "request",
    RelayResponse: "response",
    RelayCancel: "cancel",
    Heartbeat: "heartbeat",
    HeartbeatReply: "heartbeat_reply",
    ReplicaRequest: "replica_request",
    ReplicaReply: "replica_reply",
    Hello: "hello",
    HostReport: "host_report",
    FleetDigest: "fleet_digest",
    SummaryRequest: "summary_request",
    SummaryReply: "summary_reply",
    SuspectNews: "suspect_news",
}

_DECODING_ERRORS = (TException, EOFError, TypeError, ValueError, OverflowError)


def serialize_message(message: Message) -> bytes:
    """Write a message as one frame, its length included.

    Raises:
        WireError: a field doesn't fit its type on the wire.
    """
    frame = ttypes.Frame()
    setattr(frame, _SLOTS[type(message)], message)
    try:
        payload = fastbinary.encode_compact(frame, _FRAME_SPEC)
    except (TException, ValueError, OverflowError, TypeError) as error:
        raise WireError(reason=f"can't be coded: {error}") from error
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def parse_message(payload: bytes) -> Message:
    """Read the message of one frame, without its length.

    Raises:
        WireError: the payload isn't a whole message of this protocol.
    """
    frame = ttypes.Frame()
    reader = FrameReader(payload)
    try:
        fastbinary.decode_compact(frame, reader, _FRAME_SPEC)
        reader.check_end(payload)
        for slot in _SLOTS.values():
            message = getattr(frame, slot)
            if message is not None:
                message.validate()
                return message
    except _DECODING_ERRORS as error:
        raise WireError(reason=f"not a frame: {error!r}") from error
    raise WireError(reason="a frame without a message of this protocol version")


def serialize_delta(delta: Delta) -> ReplicaReply:
    """Return the message that carries changes of the platform's data."""
    entries = [
        ReplicaEntry(entry.key, entry.revision, entry.value) for entry in delta.entries
    ]
    return ReplicaReply(revision=delta.revision, whole=delta.whole, entries=entries)


def parse_delta(reply: ReplicaReply) -> Delta:
    """Return the changes that a message carries."""
    entries = tuple(
        Entry(key=told.key, revision=told.revision, value=told.value)
        for told in reply.entries
    )
    return Delta(revision=reply.revision, whole=reply.whole, entries=entries)
