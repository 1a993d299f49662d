"""Event log of a node: eliot messages written to stderr, one line per event."""

import enum
import logging
import sys
import time
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TextIO

import eliot

from sassafraswinch_node.key_values import serialize_event

RATE_WINDOW_MS = 10_000
"""Period for which the number of lines of one event is limited."""

LINES_PER_WINDOW = 10
"""Lines of one event written per period; the rest is counted and logged as one line.
A reader can still follow sixty lines of one event per minute."""


class Level(enum.IntEnum):
    """Severity of an event; events logged for each request are ``DEBUG``."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


_ELIOT = eliot.Logger()
_NO_TASK = [1]

_LEVELS = {level.name.lower(): level for level in Level}


@dataclass(slots=True, kw_only=True)
class _Window:
    ends_at_ms: float
    lines: int = 0
    suppressed: int = 0


class EventRateLimiter:
    """Limits the lines per event and level, and counts suppressed ones.

    Failure: a fault that recurs for each request or peer writes thousands of lines a
    second, which takes the node's processor time and hides all other events. The
    limit applies per event and level, whose names are constants of the program, so
    the number of counters is bounded.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def admits(self, event: str, level: str, now_ms: float) -> bool:
        """Count an event and return whether it may be logged."""
        window = self._windows.get((event, level))
        if window is None:
            window = _Window(ends_at_ms=now_ms + RATE_WINDOW_MS)
            self._windows[event, level] = window
        if window.lines < LINES_PER_WINDOW:
            window.lines += 1
            return True
        window.suppressed += 1
        return False

    def pop_ended(self, now_ms: float) -> list[tuple[str, str, int]]:
        """Remove the windows that have ended; return those with suppressed events.

        Returns:
            Event, level and number of suppressed events of each such window.
        """
        ended = [key for key, w in self._windows.items() if w.ends_at_ms <= now_ms]
        windows = [(key, self._windows.pop(key)) for key in ended]
        return [
            (event, level, window.suppressed)
            for (event, level), window in windows
            if window.suppressed
        ]


class LineDestination:
    """Eliot destination that writes each message as a line of key=value pairs."""

    def __init__(self, *, stream: TextIO):
        self._stream = stream

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one message."""
        # Failure: the reader of the log has exited, so that each write raises OSError,
        # or ValueError for a closed stream. The node keeps serving without a log.
        try:
            self._stream.write(serialize_event(message) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            pass


class EventLog:
    """Filters events by level and rate, and passes the others to eliot."""

    def __init__(self, *, level: Level, now_ms: Callable[[], float]):
        self.level = level
        self._now_ms = now_ms
        self._limiter = EventRateLimiter()

    def log(self, event: str, level: str, fields: Mapping[str, object]) -> None:
        """Log one event, unless its level or the rate limit suppresses it."""
        if _LEVELS.get(level, Level.ERROR) < self.level:
            return
        now_ms = self._now_ms()
        self.log_suppressed(now_ms)
        if self._limiter.admits(event, level, now_ms):
            write_event(event, level, fields)

    def log_suppressed(self, now_ms: float) -> None:
        """Log the number of events suppressed in windows that have ended."""
        for event, level, count in self._limiter.pop_ended(now_ms):
            write_event("repeats", level, {"of": event, "count": count})


def write_event(event: str, level: str, fields: Mapping[str, object]) -> None:
    """Pass one event to eliot, without a check of its level and rate.

    Eliot's ``log_message`` opens a task with a random id for each message, which the
    log lines don't contain; without it an event takes 32 us instead of 67.
    """
    _ELIOT.write(
        {
            "message_type": event,
            "level": level,
            "timestamp": time.time(),
            "task_uuid": "",
            "task_level": _NO_TASK,
            **fields,
        }
    )


class LibraryHandler(logging.Handler):
    """Logs records of the standard ``logging`` module, used by libraries, as events.

    Failure: uvicorn and asyncio write warnings to stderr themselves, with multi-line
    tracebacks that break tools which parse the log line by line.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        error = record.exc_info[1] if record.exc_info else None
        log_event(
            "library_message",
            level=_LEVELS_OF_LOGGING.get(record.levelno, "error"),
            logger=record.name,
            message=record.getMessage(),
            **({"error": repr(error)} if error else {}),
        )


_LEVELS_OF_LOGGING = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
}


def _monotonic_ms() -> float:
    return time.monotonic() * 1000


_log = EventLog(level=Level.INFO, now_ms=_monotonic_ms)
_installed: list[tuple[LineDestination, LibraryHandler]] = []


def configure_logs(
    *,
    level: str,
    stream: TextIO | None = None,
    now_ms: Callable[[], float] = _monotonic_ms,
) -> None:
    """Write events of ``level`` and above to a stream; replaces an earlier set-up.

    Args:
        level: debug, info, warning or error.
        stream: destination; stderr by default.
        now_ms: clock of the rate limit.
    """
    global _log
    while _installed:
        old_destination, old_handler = _installed.pop()
        eliot.remove_destination(old_destination)
        logging.getLogger().removeHandler(old_handler)
    _log = EventLog(level=_LEVELS[level], now_ms=now_ms)
    destination = LineDestination(stream=stream or sys.stderr)
    handler = LibraryHandler(level=logging.WARNING)
    eliot.add_destinations(destination)
    logging.getLogger().addHandler(handler)
    _installed.append((destination, handler))


def log_event(event: str, /, level: str = "info", **fields: object) -> None:
    """Log one event; events of each request must be below the default level.

    Args:
        event: constant name in snake case.
        level: debug, info, warning or error.
        fields: values, with their unit in the name; never a secret.
    """
    _log.log(event, level, fields)


def log_process_failure(error: Exception) -> None:
    """Log the exception that ends the process, and the line that raised it."""
    *_, frame = traceback.extract_tb(error.__traceback__)
    log_event(
        "process_failed",
        level="error",
        error=repr(error),
        raised_at=f"{frame.filename}:{frame.lineno}",
    )


def flush_logs() -> None:
    """Log the numbers of suppressed events now, at the end of the process."""
    _log.log_suppressed(float("inf"))
