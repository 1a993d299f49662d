"""Frames on a byte stream: a 4-byte length, then that many bytes."""

from thrift.transport.TTransport import TMemoryBuffer

from sassafraswinch.errors import SassafraswinchError

MAX_FRAME_BYTES = 2 * 1024 * 1024
"""Longest frame, without its length: a body of 1 MB with its header fields."""

LENGTH_BYTES = 4
"""Size of the length before each payload; most significant byte first."""

MAX_HELLO_BYTES = 4096
"""Longest first frame: a stranger on the port can't make a node buffer more."""


class WireError(SassafraswinchError):
    """Bytes aren't a message, or a message can't be coded.

    Attributes:
        reason: what is wrong, in words for a log line.
    """

    def __init__(self, *, reason: str):
        super().__init__(reason)
        self.reason = reason


class FrameTooLargeError(WireError):
    """A frame is longer than the bound.

    Attributes:
        size_bytes: length of the payload, as announced or as coded.
        bound_bytes: longest payload allowed.
    """

    def __init__(self, *, size_bytes: int, bound_bytes: int):
        super().__init__(
            reason=f"a frame of {size_bytes} bytes exceeds {bound_bytes} bytes"
        )
        self.size_bytes = size_bytes
        self.bound_bytes = bound_bytes


def frame_prefix(payload: bytes) -> bytes:
    """Return the length to send before a payload.

    Raises:
        FrameTooLargeError: the payload exceeds ``MAX_FRAME_BYTES``.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(size_bytes=len(payload), bound_bytes=MAX_FRAME_BYTES)
    return len(payload).to_bytes(LENGTH_BYTES, "big")


class FrameSplitter:
    """Cuts what a connection delivers into payloads."""

    __slots__ = ("_bound_bytes", "_pending")

    def __init__(self):
        self._bound_bytes = MAX_HELLO_BYTES
        self._pending = bytearray()

    def accept_long(self, bound_bytes: int = MAX_FRAME_BYTES) -> None:
        """Allow frames up to a bound: the peer has said hello."""
        self._bound_bytes = bound_bytes

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._pending += data

    def next_payload(self) -> bytes | None:
        """Take the next whole payload, or None until more is fed.

        Raises:
            FrameTooLargeError: the announced length exceeds the bound.
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
    """What thrift's accelerated reader asks of a protocol object.

    A whole ``TCompactProtocolAccelerated`` for each message costs 2 us more.
    """

    __slots__ = ("trans",)

    string_length_limit = MAX_FRAME_BYTES
    container_length_limit = MAX_FRAME_BYTES

    def __init__(self, payload: bytes):
        self.trans = TMemoryBuffer(payload)

    def check_end(self, payload: bytes) -> None:
        """Raise ``ValueError`` if the message didn't take the whole payload."""
        if self.trans.cstringio_buf.tell() != len(payload):
            raise ValueError("bytes after the message")
