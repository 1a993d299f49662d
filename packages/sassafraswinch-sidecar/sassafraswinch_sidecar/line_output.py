"""Non-blocking output of log lines to a file descriptor with a possibly slow reader."""

import asyncio
import os
import select
import time

FLUSH_DELAY_S = 0.1
"""Time for which lines are collected before a write; a system call for each line would
cost more than the line itself."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Text buffered at most while nobody reads; lines beyond it are dropped and counted."""

CLOSE_TIMEOUT_S = 0.2
"""Time for which the end of the process waits for a reader that is behind."""


class LineOutput:
    """A write-only text stream for the log that never blocks.

    Failure: the process that reads the log is suspended, the pipe fills up, and a
    blocking write would stop the event loop and with it all requests.

    Args:
        fd: file descriptor, which is set to non-blocking mode.

    Attributes:
        dropped_lines: number of dropped lines that haven't been reported in the
            output.
    """

    def __init__(self, *, fd: int):
        self.dropped_lines = 0
        self._fd = fd
        self._buffered_lines: list[bytes] = []
        self._held_bytes = 0
        self._scheduled_write: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        line = text.encode()
        if self._held_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
        else:
            self._buffered_lines.append(line)
            self._held_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Schedule a write; outside an event loop, write as much as possible now."""
        if not _in_event_loop():
            self._write_out()
        elif self._scheduled_write is None:
            loop = asyncio.get_running_loop()
            self._scheduled_write = loop.call_later(FLUSH_DELAY_S, self._write_out)

    def close(self) -> None:
        """Write the buffered text before the process ends, if it is read in time.

        Failure: the last lines of a shutdown are still buffered when the event loop
        that would write them has ended.
        """
        if self._scheduled_write is not None:
            self._scheduled_write.cancel()
        ends_s = time.monotonic() + CLOSE_TIMEOUT_S
        self._write_out()
        while self._held_bytes or self.dropped_lines:
            left_s = ends_s - time.monotonic()
            if left_s <= 0 or not self._wait_writable(left_s):
                return
            self._write_out()

    def _wait_writable(self, timeout_s: float) -> bool:
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        return bool(poll.poll(timeout_s * 1000))

    def _write_out(self) -> None:
        self._scheduled_write = None
        if self.dropped_lines and not self._held_bytes:
            self.write(f"event=lines_dropped count={self.dropped_lines}\n")
            self.dropped_lines = 0
        text = b"".join(self._buffered_lines)
        try:
            written = os.write(self._fd, text) if text else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader of the log is gone; the sidecar continues to serve without it.
            written = len(text)
        remainder = text[written:]
        self._buffered_lines = [remainder] if remainder else []
        self._held_bytes = len(remainder)
        if remainder and _in_event_loop():
            self.flush()


def _in_event_loop() -> bool:
    try:
        asyncio.get_running_loop()
    except RuntimeError:
        return False
    return True
