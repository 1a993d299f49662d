"""Formatting of log events as one line of key=value pairs."""

import enum
import functools
import json
import re
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime

MAX_VALUE_CHARACTERS = 1_000
"""Longer values are truncated: a response body in a reason would fill the log."""

MAX_CACHED_NAMES = 512
"""Size of the caches of field names; a program uses a few dozen names."""

HIDDEN_VALUE = "(hidden)"

SECRET_WORDS = frozenset(
    {
        "authorization",
        "cookie",
        "credential",
        "credentials",
        "key",
        "password",
        "secret",
        "ticket",
        "token",
    }
)
"""Values of fields whose names contain one of these words are not logged."""

LEVEL_NAMES = ("debug", "info", "warning", "error")

_PLAIN = re.compile(r"[A-Za-z0-9_.:/+,@%()\[\]-]+")
_NOT_IN_KEYS = re.compile(r"[^A-Za-z0-9_.]")
_ELIOT_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "action_type", "level"}
)
_FIRST_KEYS = frozenset({"time", "level", "event"})


def serialize_event(message: Mapping[str, object]) -> str:
    """Return the log line of an eliot message, without its line end.

    Args:
        message: fields as eliot passes them to a destination.
    """
    return " ".join(f"{key}={value}" for key, value in _pairs(message))


def _pairs(message: Mapping[str, object]) -> Iterable[tuple[str, str]]:
    yield "time", format_timestamp(message.get("timestamp"))
    level = message.get("level")
    if level not in LEVEL_NAMES:
        level = "error" if "exception" in message else "info"
    yield "level", level
    event = message.get("message_type") or message.get("action_type") or "unnamed"
    yield "event", format_value(event)
    for key, value in message.items():
        if key not in _ELIOT_FIELDS:
            formatted = (
                HIDDEN_VALUE if _is_secret_name(str(key)) else format_value(value)
            )
            yield _key_of_name(str(key)), formatted


def format_timestamp(seconds: object) -> str:
    """Return Unix time as ISO 8601 in UTC, or ``unknown`` if it isn't a valid time."""
    try:
        utc_time = datetime.fromtimestamp(seconds, UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return "unknown"
    return utc_time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def format_key(key: object) -> str:
    """Return a key without separators that differs from the first three of a line."""
    name = _NOT_IN_KEYS.sub("_", str(key)) or "_"
    return f"field_{name}" if name in _FIRST_KEYS else name


def is_secret(key: object) -> bool:
    """Return whether a field name contains a word of ``SECRET_WORDS``."""
    words = re.split(r"[^a-z0-9]+", str(key).lower())
    return not SECRET_WORDS.isdisjoint(words)


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _key_of_name(name: str) -> str:
    return format_key(name)


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _is_secret_name(name: str) -> bool:
    return is_secret(name)


def format_value(value: object) -> str:
    """Return a value as text, quoted as a JSON string unless it is plain.

    Failure: a reason taken from a caller's request contains a line break and forges
    a log line. ASCII JSON escapes all control characters and Unicode line
    separators, and a plain value contains none.
    """
    if isinstance(value, bytes | bytearray | memoryview):
        return f"({len(value)}_bytes)"
    if isinstance(value, enum.Enum):
        value = value.value
    if isinstance(value, float):
        value = round(value, 3)
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
