"""Frames on a byte stream: a 4-byte length, then that many bytes."""

from sassafraswinch_node.wire import MAX_FRAME_BYTES, WireError

LENGTH_BYTES = 4
"""Size of the length before each payload; most significant byte first."""

MAX_HELLO_BYTES = 4096
"""Longest first frame: a stranger on the port can't make a node buffer more."""


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
