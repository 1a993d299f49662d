"""Tests of the event log of a node."""

import io
import logging

import eliot
import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.verdict import Reason
from sassafraswinch_node.key_values import serialize_event
from sassafraswinch_node.logs import (
    LINES_PER_WINDOW,
    RATE_WINDOW_MS,
    configure_logs,
    flush_logs,
    log_event,
)


class Clock:
    now_ms = 0.0

    def __call__(self):
        return self.now_ms


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def stream(clock):
    stream = io.StringIO()
    configure_logs(level="info", stream=stream, now_ms=clock)
    # Eliot buffers messages until there is a destination; other tests leave some.
    stream.seek(0)
    stream.truncate()
    yield stream
    configure_logs(level="error", stream=io.StringIO())


def lines(stream):
    return stream.getvalue().splitlines()


def test_event_is_logged_as_one_line_of_pairs(stream):
    log_event("link_lost", level="warning", peer="brno-a-2", reason=Reason.LINK_LOST)
    (line,) = lines(stream)
    assert line.startswith("time=20")
    assert line.endswith(
        " level=warning event=link_lost peer=brno-a-2 reason=link-lost"
    )


def test_line_break_in_a_value_is_escaped(stream):
    """Log injection: a caller's header contains a line break and a forged event.

    Unescaped, it would appear in the log as a line of the node.
    """
    log_event("bad_request", reason="x\nlevel=error event=forged\u2028\x85 a=b")
    (line,) = lines(stream)
    assert r'reason="x\nlevel=error event=forged\u2028\u0085 a=b"' in line


@settings(derandomize=True, deadline=None)
@given(st.dictionaries(st.text(), st.text() | st.binary() | st.floats(), max_size=5))
def test_fields_cannot_break_a_line_or_replace_the_first_keys(fields):
    line = serialize_event({"timestamp": 1.0, "message_type": "event"} | fields)
    assert len(line.splitlines()) == 1
    assert line.isascii() and line.isprintable()
    first, second, third = [pair.partition("=")[0] for pair in line.split(" ")[:3]]
    assert (first, second, third) == ("time", "level", "event")


@pytest.mark.parametrize("name", ["ticket", "api_key", "Set-Cookie", "x_SECRET_y"])
def test_values_of_secret_fields_are_hidden(stream, name):
    log_event("config", **{name: "hunter2", "monkey": "kept"})
    assert "hunter2" not in stream.getvalue()
    assert "=(hidden) monkey=kept" in stream.getvalue()


def test_events_below_the_level_are_not_logged(stream):
    log_event("call_ended", level="debug", number=1)
    assert lines(stream) == []


def test_suppressed_events_are_counted_and_logged_when_the_window_ends(stream, clock):
    """The links to all peers fail again and again while a network switch is down.

    Only the first events are logged, the others as one line with their number, and
    events of other names are still logged.
    """
    for _ in range(LINES_PER_WINDOW + 25):
        log_event("link_lost", level="warning")
    log_event("document_in_force", version=3)
    assert len(lines(stream)) == LINES_PER_WINDOW + 1
    clock.now_ms += RATE_WINDOW_MS
    log_event("link_lost", level="warning")
    assert "event=repeats of=link_lost count=25" in lines(stream)[-2]
    assert "event=link_lost" in lines(stream)[-1]


def test_flush_logs_the_number_of_suppressed_events(stream):
    for _ in range(LINES_PER_WINDOW + 3):
        log_event("link_lost")
    flush_logs()
    assert "count=3" in lines(stream)[-1]


def test_long_values_are_truncated(stream):
    log_event("odd", reason="x" * 50_000)
    assert len(stream.getvalue()) < 1_200


def test_messages_of_libraries_and_of_eliot_are_logged(stream):
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logging.getLogger("uvicorn.error").exception("broken")
        eliot.write_traceback()
    first, second = lines(stream)
    assert "level=error event=library_message logger=uvicorn.error" in first
    assert "level=error event=eliot:traceback" in second


def test_logging_to_a_closed_stream_raises_nothing(stream):
    stream.close()
    log_event("node_started")
