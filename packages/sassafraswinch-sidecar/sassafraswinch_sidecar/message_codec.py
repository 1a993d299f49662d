"""Serialization of messages between sidecars: thrift structs in binary frames."""

from typing import TypedDict

from thrift.protocol import fastbinary
from thrift.Thrift import TException

from sassafraswinch_node.frames import LENGTH_BYTES, FrameReader, WireError
from sassafraswinch_sidecar.message_checks import InvalidValueError, check_message
from sassafraswinch_sidecar.relay_protocol import ttypes
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    BodyChunk,
    BodyGrant,
    FleetDigest,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostReport,
    RelayCancel,
    RelayRequest,
    RelayResponse,
    RelayWaitLimit,
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
    BodyChunk
    | BodyGrant
    | FleetDigest
    | Heartbeat
    | HeartbeatReply
    | Hello
    | HostReport
    | RelayCancel
    | RelayRequest
    | RelayResponse
    | RelayWaitLimit
    | ReplicaReply
    | ReplicaRequest
    | SummaryReply
    | SummaryRequest
    | SuspectNews
)

PositionMessage = (
    FleetDigest | HeartbeatReply | HostReport | SummaryReply | SummaryRequest
)
"""Messages that contain the position of the sender's replica."""

MAX_FRAME_BYTES = 80 * 1024 * 1024
"""Maximum frame size: the largest body that routes commonly allow, with its header."""

MAX_INTEGER = 2**63 - 1
"""Greatest integer of a message field. Foreign numbers above it are rejected where they
are decoded: a message must never fail for one of the values that it carries."""

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
    BodyGrant: "body_grant",
    BodyChunk: "body_chunk",
    RelayWaitLimit: "wait_limit",
}

_DECODING_ERRORS = (TException, EOFError, TypeError, ValueError, OverflowError)


def serialize_message(message: Message) -> bytes:
    """Serialize a message as one frame, including the length prefix.

    Raises:
        WireError: a field doesn't fit its type on the wire.
    """
    frame = ttypes.Frame()
    setattr(frame, _SLOTS[type(message)], message)
    try:
        payload = fastbinary.encode_compact(frame, _FRAME_SPEC)
    except (TException, ValueError, OverflowError, TypeError) as error:
        raise WireError(reason=f"message can't be serialized: {error}") from error
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def parse_message(payload: bytes) -> Message:
    """Parse the message of one frame.

    Args:
        payload: the frame without its length prefix.

    Raises:
        InvalidValueError: the message has a value that no sidecar sends.
        WireError: the payload isn't a complete message of this protocol.
    """
    frame = ttypes.Frame()
    reader = FrameReader(payload)
    try:
        fastbinary.decode_compact(frame, reader, _FRAME_SPEC)
        reader.check_end(payload)
        for field in _SLOTS.values():
            message = getattr(frame, field)
            if message is not None:
                message.validate()
                check_message(message)
                return message
    except InvalidValueError:
        raise
    except _DECODING_ERRORS as error:
        raise WireError(reason=f"payload is not a valid frame: {error!r}") from error
    raise WireError(reason="frame holds no message known to this protocol version")


class PositionFields(TypedDict):
    """Fields of a replica position, common to all messages that contain one."""

    era: int
    revision: int
    routes_version: int


def position_fields(position: Position) -> PositionFields:
    """Return the message fields for a position."""
    era, number = position.revision
    return PositionFields(
        era=era, revision=number, routes_version=position.routes_version
    )


def parse_position(message: PositionMessage) -> Position:
    """Return the position that a message contains."""
    return Position(
        revision=Revision(message.era, message.revision),
        routes_version=message.routes_version,
    )


def serialize_replica_request(position: Position) -> ReplicaRequest:
    """Return the request for all changes after the position of a replica."""
    era, number = position.revision
    return ReplicaRequest(
        after_revision=number, era=era, routes_version=position.routes_version
    )


def parse_replica_request(request: ReplicaRequest) -> Position:
    """Return the replica position of the requesting sidecar."""
    return Position(
        revision=Revision(request.era, request.after_revision),
        routes_version=request.routes_version,
    )


def serialize_delta(delta: Delta) -> ReplicaReply:
    """Return the message for changes of the platform data."""
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
    return ReplicaReply(era=era, revision=number, whole=delta.is_full, entries=entries)


def parse_delta(reply: ReplicaReply) -> Delta:
    """Return the changes that a message contains."""
    entries = tuple(
        Entry(
            key=entry.key,
            revision=Revision(entry.era, entry.revision),
            value=entry.value,
        )
        for entry in reply.entries
    )
    revision = Revision(reply.era, reply.revision)
    return Delta(revision=revision, is_full=reply.whole, entries=entries)
