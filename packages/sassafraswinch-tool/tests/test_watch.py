"""Tests of the live view."""

import io

from sassafraswinch_tool.watch import CLEAR, FleetWatch, View, watch


async def test_view_keeps_its_nodes_during_a_platform_outage(fleet):
    """Nodes that the platform listed stay in the view if the platform fails.

    The nodes still serve during the outage, and operators need to see them then.
    """
    fleet_watch = FleetWatch(
        address_texts=(), platform_url=fleet.platform_url, timeout_ms=5000
    )
    before = await fleet_watch.fetch_view()
    fleet.host_list_http_status = 500
    after = await fleet_watch.fetch_view()
    assert "platform unreachable" in after.lines[0]
    for line in before.lines:
        assert line in after.lines
    assert not after.complete


async def test_terminal_is_cleared_before_each_view_and_file_is_not():
    async def fetch_view():
        return View(lines=["one", "two"], complete=True)

    class Terminal(io.StringIO):
        def isatty(self):
            return True

    for stream, text in (
        (Terminal(), f"{CLEAR}one\ntwo\n" * 2),
        (io.StringIO(), "one\ntwo\n\none\ntwo\n"),
    ):
        await watch(fetch_view, stream=stream, count=2, interval_ms=100)
        assert stream.getvalue() == text
