"""Parts of a body while it is received."""

SMALL_PART_BYTES = 4 * 1024
"""Length below which parts are joined at once. Each part is an object of its own, which
takes several times the memory of a chunk of a few bytes."""


class BodyParts:
    """Collects the parts of a body.

    Attributes:
        size_bytes: length of the body so far.
    """

    def __init__(self):
        self.size_bytes = 0
        self._parts: list[bytes | bytearray] = []

    def append(self, part: bytes) -> None:
        """Append a part."""
        self.size_bytes += len(part)
        last = self._parts[-1] if self._parts else None
        if len(part) >= SMALL_PART_BYTES:
            self._parts.append(part)
        elif isinstance(last, bytearray):
            last += part
        else:
            self._parts.append(bytearray(part) if self._parts else part)

    def join(self) -> bytes:
        """Return the body."""
        if len(self._parts) == 1 and isinstance(self._parts[0], bytes):
            return self._parts[0]
        return b"".join(self._parts)
