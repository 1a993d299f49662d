"""Encoding and decoding of messages between nodes in thrift's compact protocol."""

from thrift.protocol import fastbinary
from thrift.Thrift import TException

from sassafraswinch.messages import (
    Acknowledge,
    Answer,
    Call,
    Cancel,
    DocumentReply,
    DocumentRequest,
    Fence,
    FenceReply,
    Forward,
    Heartbeat,
    HeartbeatReply,
    Hello,
    HostsReply,
    HostsRequest,
    Message,
)
from sassafraswinch_node import host_structs, structs
from sassafraswinch_node.frames import MAX_FRAME_BYTES, FrameReader, WireError
from sassafraswinch_node.link_protocol import ttypes

__all__ = ["MAX_FRAME_BYTES", "WireError", "decode", "decode_frame", "encode"]


def encode(message: Message, *, sent_ms: int = 0) -> bytes:
    """Encode a message as the payload of one frame.

    Args:
        message: any message of ``sassafraswinch.messages``.
        sent_ms: the sender's monotonic clock in milliseconds.

    Raises:
        WireError: a field doesn't fit its type on the wire.
    """
    field, serialize = _SERIALIZERS[type(message)]
    frame = ttypes.Frame(sent_ms)
    setattr(frame, field, serialize(message))
    try:
        return fastbinary.encode_compact(frame, _FRAME_SPEC)
    except (TException, ValueError, OverflowError, TypeError) as error:
        raise WireError(reason=f"{field} cannot be encoded: {error}") from error


def decode(payload: bytes) -> Message:
    """Decode the message of one frame.

    Raises:
        WireError: the payload isn't exactly one message of this protocol.
    """
    return decode_frame(payload)[1]


def decode_frame(payload: bytes) -> tuple[int, Message]:
    """Decode one frame.

    Returns:
        The sender's monotonic clock in milliseconds, and the message.

    Raises:
        WireError: the payload isn't exactly one message of this protocol.
    """
    frame = ttypes.Frame()
    reader = FrameReader(payload)
    try:
        fastbinary.decode_compact(frame, reader, _FRAME_SPEC)
        frame.validate()
        for field, parse in _PARSERS:
            struct = getattr(frame, field)
            if struct is not None:
                struct.validate()
                reader.check_end(payload)
                return frame.sent_ms, parse(struct)
    except _DECODING_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        raise WireError(reason=f"invalid frame: {reason}") from error
    raise WireError(reason="frame without a message known to this protocol version")


_DECODING_ERRORS = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    AttributeError,
    KeyError,
)
"""Errors raised for invalid payloads by thrift's accelerated reader and the parsers."""


_FRAME_SPEC = [ttypes.Frame, ttypes.Frame.thrift_spec]


_SERIALIZERS = {
    Hello: ("hello", structs.serialize_hello),
    Call: ("call", structs.serialize_call),
    Answer: ("answer", structs.serialize_answer),
    Cancel: ("cancel", lambda cancel: ttypes.Cancel(cancel.number)),
    Fence: ("fence", structs.serialize_fence),
    FenceReply: ("fence_reply", structs.serialize_fence_reply),
    Acknowledge: ("acknowledge", structs.serialize_acknowledge),
    Heartbeat: ("heartbeat", structs.serialize_heartbeat),
    HeartbeatReply: (
        "heartbeat_reply",
        lambda reply: ttypes.HeartbeatReply(reply.sequence),
    ),
    DocumentRequest: (
        "document_request",
        lambda request: ttypes.DocumentRequest(request.version),
    ),
    DocumentReply: (
        "document_reply",
        lambda reply: ttypes.DocumentReply(reply.version, reply.body),
    ),
    HostsRequest: (
        "hosts_request",
        lambda request: ttypes.HostsRequest(request.list_version),
    ),
    HostsReply: ("hosts_reply", host_structs.serialize_hosts_reply),
    Forward: ("forward", structs.serialize_forward),
}

_PARSERS = (
    ("call", structs.parse_call),
    ("answer", structs.parse_answer),
    ("acknowledge", structs.parse_acknowledge),
    ("heartbeat", structs.parse_heartbeat),
    ("heartbeat_reply", lambda struct: HeartbeatReply(sequence=struct.sequence)),
    ("cancel", lambda struct: Cancel(number=struct.number)),
    ("forward", structs.parse_forward),
    ("fence", structs.parse_fence),
    ("fence_reply", structs.parse_fence_reply),
    ("hello", structs.parse_hello),
    ("document_request", lambda struct: DocumentRequest(version=struct.version)),
    (
        "document_reply",
        lambda struct: DocumentReply(version=struct.version, body=struct.body),
    ),
    (
        "hosts_request",
        lambda struct: HostsRequest(list_version=struct.list_version),
    ),
    ("hosts_reply", host_structs.parse_hosts_reply),
)
"""Fields of a frame with their parsers, the most frequent messages first."""
