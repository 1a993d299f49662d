"""Tests of the live view."""

import io

from sassafraswinch_tool.watch import CLEAR, FleetWatch, View, watch


async def test_view_outlives_an_outage_of_the_platform(fleet):
    """The platform goes down while an operator watches the fleet.

    The nodes it had listed serve on, and that is what the operator wants to see.
    """
    fleet_watch = FleetWatch(texts=(), platform_url=fleet.platform, timeout_ms=5000)
    before = await fleet_watch.take()
    fleet.list_status = 500
    after = await fleet_watch.take()
    assert "platform unreachable" in after.lines[0]
    for line in before.lines:
        assert line in after.lines
    assert not after.complete


async def test_a_terminal_is_cleared_before_each_view_and_a_file_is_not():
    async def take():
        return View(lines=["one", "two"], complete=True)

    class Terminal(io.StringIO):
        def isatty(self):
            return True

    for stream, text in (
        (Terminal(), f"{CLEAR}one\ntwo\n" * 2),
        (io.StringIO(), "one\ntwo\n\none\ntwo\n"),
    ):
        await watch(take, stream=stream, count=2, interval_ms=100)
        assert stream.getvalue() == text
