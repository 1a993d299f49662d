"""Logs of a node: eliot's messages to stderr, one line for each event."""

import enum
import logging
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TextIO

import eliot

from sassafraswinch_node.key_values import serialize_event

REPEAT_WINDOW_MS = 10_000
"""Period over which lines of one event are counted."""

LINES_PER_WINDOW = 10
"""Lines of one event in a period; the rest is counted and told in one line.
Sixty lines a minute of one kind are what a person can still follow."""


class Level(enum.IntEnum):
    """How much an event matters; a line for each request is ``DEBUG``."""

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


class RepeatLimiter:
    """Decides which events get a line, and counts those that get none.

    Failure: a fault that repeats for each request or peer writes thousands of lines
    a second, which costs the node its time and hides every other event. The bound
    holds for each event and level, whose names are constants of the program.
    """

    def __init__(self) -> None:
        self._windows: dict[tuple[str, str], _Window] = {}

    def admits(self, event: str, level: str, now_ms: float) -> bool:
        """Return whether this event gets a line."""
        window = self._windows.get((event, level))
        if window is None:
            window = _Window(ends_at_ms=now_ms + REPEAT_WINDOW_MS)
            self._windows[event, level] = window
        if window.lines < LINES_PER_WINDOW:
            window.lines += 1
            return True
        window.suppressed += 1
        return False

    def ended(self, now_ms: float) -> list[tuple[str, str, int]]:
        """Forget windows that are over; return those with suppressed events.

        Returns:
            Event, level and how many got no line.
        """
        over = [key for key, w in self._windows.items() if w.ends_at_ms <= now_ms]
        windows = [(key, self._windows.pop(key)) for key in over]
        return [
            (event, level, window.suppressed)
            for (event, level), window in windows
            if window.suppressed
        ]


class LineDestination:
    """An eliot destination that writes lines of key=value pairs."""

    def __init__(self, *, stream: TextIO):
        self._stream = stream

    def __call__(self, message: Mapping[str, object]) -> None:
        """Write one message."""
        # Failure: whoever read the log is gone, and each line raises OSError or, for
        # a closed stream, ValueError. The node serves on without its log.
        try:
            self._stream.write(serialize_event(message) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            pass


class EventLog:
    """Filters events by level and repeats, and hands the rest to eliot."""

    def __init__(self, *, level: Level, now_ms: Callable[[], float]):
        self.level = level
        self._now_ms = now_ms
        self._limiter = RepeatLimiter()

    def log(self, event: str, level: str, fields: Mapping[str, object]) -> None:
        """Log one event, unless its level or its repeats forbid it."""
        if _LEVELS.get(level, Level.ERROR) < self.level:
            return
        now_ms = self._now_ms()
        self.tell_suppressed(now_ms)
        if self._limiter.admits(event, level, now_ms):
            write_event(event, level, fields)

    def tell_suppressed(self, now_ms: float) -> None:
        """Log how many events got no line in the windows that are over."""
        for event, level, count in self._limiter.ended(now_ms):
            write_event("repeats", level, {"of": event, "count": count})


def write_event(event: str, level: str, fields: Mapping[str, object]) -> None:
    """Hand one event to eliot, whatever its level and repeats.

    The library's own ``log_message`` opens a task with a random id for each message,
    which no line shows; without it an event costs 32 us in place of 67.
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
    """Passes what libraries log in the standard way on as events.

    Failure: uvicorn's and asyncio's warnings would reach stderr by themselves, as
    tracebacks over many lines, and break whatever reads the log by lines.
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
    """Send events of ``level`` and above to a stream; replaces an earlier set-up.

    Args:
        level: debug, info, warning or error.
        stream: stderr where none is given.
        now_ms: clock of the limit on repeats.
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
    """Log one event; at the default level none may be logged for each request.

    Args:
        event: constant name in snake case.
        level: debug, info, warning or error.
        fields: facts, with their unit in the name; never a secret.
    """
    _log.log(event, level, fields)


def flush_logs() -> None:
    """Tell all suppressed repeats now; for the end of the process."""
    _log.tell_suppressed(float("inf"))
