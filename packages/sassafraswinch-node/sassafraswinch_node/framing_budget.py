"""Bound on the bytes of an HTTP response that aren't its body.

A faulty server may send a response that never ends: a status line or a field, interim
responses, responses to other requests, chunks of one byte, chunk extensions, or fields
after the last chunk. None of these is body, so one count bounds them all.
"""

MAX_FRAMING_BYTES = 64 * 1024
"""Length of status line and fields, interim responses included, that a response may
have whatever its body."""

BODY_BYTES_PER_FRAMING_BYTE = 16
"""Body bytes that allow one more byte of framing: long bodies come in many chunks.
Parsing a chunk costs as much as hundreds of body bytes."""

FEED_BYTES = 32 * 1024
"""Longest part of a read that is parsed before the budget is checked again."""


class FramingBudget:
    """Counts what was received for one response, and how much of it is body.

    Attributes:
        received_bytes: bytes that were parsed.
        body_bytes: those of them that belong to a body.
    """

    __slots__ = ("body_bytes", "received_bytes")

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Begin the next response."""
        self.received_bytes = self.body_bytes = 0

    def is_exceeded(self) -> bool:
        """Return whether the bytes can't belong to a sound response."""
        framing_bytes = self.received_bytes - self.body_bytes
        return framing_bytes > MAX_FRAMING_BYTES and (
            framing_bytes - MAX_FRAMING_BYTES
            > self.body_bytes / BODY_BYTES_PER_FRAMING_BYTE
        )
