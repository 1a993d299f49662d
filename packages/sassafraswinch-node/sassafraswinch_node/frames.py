"""Length-prefixed frames on a byte stream: a 4-byte length, then the payload."""

from thrift.transport.TTransport import TMemoryBuffer

from sassafraswinch.errors import SassafraswinchError

MAX_FRAME_BYTES = 2 * 1024 * 1024
"""Longest payload of a frame: a body of 1 MB with its header fields."""

LENGTH_BYTES = 4
"""Size of the length prefix of a frame, an unsigned big-endian integer."""

MAX_HELLO_BYTES = 4096
"""Longest first frame, so that an unknown peer can't make a node buffer more."""


class WireError(SassafraswinchError):
    """Raised when a message can't be decoded or encoded.

    Attributes:
        reason: description of the fault for a log line.
    """

    def __init__(self, *, reason: str):
        super().__init__(reason)
        self.reason = reason


class FrameTooLargeError(WireError):
    """Raised when the payload of a frame is longer than allowed.

    Attributes:
        size_bytes: length of the payload, as received in the prefix or as encoded.
        bound_bytes: longest payload allowed.
    """

    def __init__(self, *, size_bytes: int, bound_bytes: int):
        super().__init__(
            reason=f"frame of {size_bytes} bytes exceeds limit of {bound_bytes} bytes"
        )
        self.size_bytes = size_bytes
        self.bound_bytes = bound_bytes


def frame_prefix(payload: bytes) -> bytes:
    """Return the length prefix of a payload.

    Raises:
        FrameTooLargeError: the payload is longer than ``MAX_FRAME_BYTES``.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(size_bytes=len(payload), bound_bytes=MAX_FRAME_BYTES)
    return len(payload).to_bytes(LENGTH_BYTES, "big")


class FrameSplitter:
    """Splits the bytes received on a connection into payloads.

    Frames up to ``MAX_HELLO_BYTES`` are accepted until the limit is raised.
    """

    __slots__ = ("_bound_bytes", "_pending")

    def __init__(self):
        self._bound_bytes = MAX_HELLO_BYTES
        self._pending = bytearray()

    def raise_frame_limit(self, bound_bytes: int = MAX_FRAME_BYTES) -> None:
        """Accept longer payloads, after the peer has sent its hello."""
        self._bound_bytes = bound_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._pending += data

    def next_payload(self) -> bytes | None:
        """Remove and return the next complete payload, or None if there is none yet.

        Raises:
            FrameTooLargeError: the length in the prefix exceeds the limit.
        """
        pending = self._pending
        if len(pending) < LENGTH_BYTES:
            return None
        size_bytes = int.from_bytes(pending[:LENGTH_BYTES], "big")
        if size_bytes > self._bound_bytes:
            raise FrameTooLargeError(
                size_bytes=size_bytes, bound_bytes=self._bound_bytes
            )
        end = LENGTH_BYTES + size_bytes
        if len(pending) < end:
            return None
        payload = bytes(memoryview(pending)[LENGTH_BYTES:end])
        del pending[:end]
        return payload


class FrameReader:
    """Minimal protocol object for thrift's accelerated reader.

    Creating a ``TCompactProtocolAccelerated`` for each message takes 2 us more.
    """

    __slots__ = ("trans",)

    string_length_limit = MAX_FRAME_BYTES
    container_length_limit = MAX_FRAME_BYTES

    def __init__(self, payload: bytes):
        self.trans = TMemoryBuffer(payload)

    def check_end(self, payload: bytes) -> None:
        """Raise ``ValueError`` if bytes follow the message in the payload."""
        if self.trans.cstringio_buf.tell() != len(payload):
            raise ValueError("unexpected bytes after the message")
