"""Log lines to a file descriptor that may not be read; nobody waits for it."""

import asyncio
import os

FLUSH_DELAY_S = 0.1
"""Pause between writes: a system call for each line would cost more than the line."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Text held while nobody reads; what exceeds it is dropped and counted."""


class LineOutput:
    """A text stream, as far as the log needs one, that never blocks.

    Failure: whoever reads the log stands still, the pipe fills up, and a blocking write
    stops the event loop with all requests.
    """

    def __init__(self, *, fd: int):
        self.dropped_lines = 0
        self._fd = fd
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._planned: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Take a line."""
        line = text.encode()
        if self._held_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
        else:
            self._held.append(line)
            self._held_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Plan a write; outside of an event loop write what can be written."""
        if not _in_event_loop():
            self._write_out()
        elif self._planned is None:
            loop = asyncio.get_running_loop()
            self._planned = loop.call_later(FLUSH_DELAY_S, self._write_out)

    def close(self) -> None:
        """Write what is held, as far as it can be written; for the end of the process.

        Failure: the last lines of a stop are held for a moment, and the event loop that
        would write them has ended.
        """
        if self._planned is not None:
            self._planned.cancel()
        self._write_out()

    def _write_out(self) -> None:
        self._planned = None
        if self.dropped_lines and not self._held_bytes:
            self.write(f"event=lines_dropped count={self.dropped_lines}\n")
            self.dropped_lines = 0
        text = b"".join(self._held)
        try:
            written = os.write(self._fd, text) if text else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Whoever read the log is gone; the sidecar serves on without it.
            written = len(text)
        rest = text[written:]
        self._held = [rest] if rest else []
        self._held_bytes = len(rest)
        if rest and _in_event_loop():
            self.flush()


def _in_event_loop() -> bool:
    try:
        asyncio.get_running_loop()
    except RuntimeError:
        return False
    return True
