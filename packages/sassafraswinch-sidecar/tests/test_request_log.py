"""Log lines within bounds, to a reader that may stand still."""

import asyncio
import os

from sassafraswinch_sidecar.line_output import MAX_BUFFERED_BYTES, LineOutput
from sassafraswinch_sidecar.request_log import RequestLog


def test_failures_have_lines_when_successes_have_used_up_theirs(log_stream):
    """Under load thousands of requests a second are served, and few fail. On-call
    engineers look for the ids of the few.
    """
    now_ms = [0.0]
    log = RequestLog(now_ms=lambda: now_ms[0])
    for number in range(1_000):
        log.served("answered", f"s-{number}", status=200)
    log.failed("not_served", "f-1", reason="deadline")
    lines = log_stream.getvalue().splitlines()
    assert len(lines) < 40
    assert "event=not_served request_id=f-1 reason=deadline" in lines[-1]


def test_lines_left_out_are_counted(log_stream):
    now_ms = [0.0]
    log = RequestLog(now_ms=lambda: now_ms[0])
    for number in range(1_000):
        log.failed("not_served", f"f-{number}")
    now_ms[0] = 10_001.0
    log.report_omitted()
    assert "event=lines_left_out of=failures count=900" in log_stream.getvalue()


def test_last_lines_are_written_after_the_event_loop_has_ended():
    """A sidecar stops. Its log ends with the beginning of the stop, and whoever looks
    for what it did last takes it for one that was killed.
    """
    reader, writer = os.pipe()
    output = LineOutput(fd=writer)

    async def stop():
        output.write("event=stopped\n")
        output.flush()

    asyncio.run(stop())
    output.close()
    os.set_blocking(reader, False)
    assert os.read(reader, 100) == b"event=stopped\n"
    os.close(reader)
    os.close(writer)


async def test_reader_that_stands_still_holds_nothing_up():
    """Whoever reads the log stops reading. The pipe fills up; the process must neither
    wait nor hold ever more text.
    """
    reader, writer = os.pipe()
    output = LineOutput(fd=writer)
    for _ in range(20_000):
        output.write("event=x " + "y" * 100 + "\n")
        output.flush()
    output._write_out()
    assert output.dropped_lines > 10_000
    assert output._held_bytes <= MAX_BUFFERED_BYTES
    assert os.read(reader, 7) == b"event=x"
    os.close(reader)
    output._write_out()
    os.close(writer)
