"""Coding of messages between sidecars: thrift structs to frames and back."""

from typing import TypedDict

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
from sassafraswinch_sidecar.revisions import Position, Revision

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

PositionMessage = (
    FleetDigest | HeartbeatReply | HostReport | SummaryReply | SummaryRequest
)
"""Messages that tell the position of the sender's copy."""

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


class PositionFields(TypedDict):
    """Fields that tell a position, in each message that does."""

    era: int
    revision: int
    routes_version: int


def position_fields(position: Position) -> PositionFields:
    """Return the fields of a message that tell a position."""
    era, number = position.revision
    return PositionFields(
        era=era, revision=number, routes_version=position.routes_version
    )


def parse_position(message: PositionMessage) -> Position:
    """Return the position that a message tells."""
    return Position(
        revision=Revision(message.era, message.revision),
        routes_version=message.routes_version,
    )


def serialize_question(position: Position) -> ReplicaRequest:
    """Return the message that asks for what a copy at a position lacks."""
    era, number = position.revision
    return ReplicaRequest(
        after_revision=number, era=era, routes_version=position.routes_version
    )


def parse_question(request: ReplicaRequest) -> Position:
    """Return the position of whoever asks."""
    return Position(
        revision=Revision(request.era, request.after_revision),
        routes_version=request.routes_version,
    )


def serialize_delta(delta: Delta) -> ReplicaReply:
    """Return the message that carries changes of the platform's data."""
    entries = [
        ReplicaEntry(
            key=entry.key,
            era=entry.revision.era,
            revision=entry.revision.number,
            value=entry.value,
        )
        for entry in delta.entries
    ]
    era, number = delta.revision
    return ReplicaReply(era=era, revision=number, whole=delta.whole, entries=entries)


def parse_delta(reply: ReplicaReply) -> Delta:
    """Return the changes that a message carries."""
    entries = tuple(
        Entry(
            key=told.key, revision=Revision(told.era, told.revision), value=told.value
        )
        for told in reply.entries
    )
    revision = Revision(reply.era, reply.revision)
    return Delta(revision=revision, whole=reply.whole, entries=entries)
