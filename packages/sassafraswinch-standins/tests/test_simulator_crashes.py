"""Servers that end, by themselves and under one request, on a simulated clock."""

import pytest

from sassafraswinch_standins.simulator import play


@pytest.mark.parametrize("name", ["fatal", "crashes", "fatal-and-crashes"])
def test_hardly_anybody_is_held_back_for_servers_that_end(name):
    """Servers of the front end, by themselves, under one request that comes four times
    a second, or both. That request may end three, and three more before all know of
    it. Each end loses dozens of other requests, of which fewer are held back than
    servers end, and none where servers end by themselves.
    """
    figures = play(name, 1)
    assert figures["view"] > 0.8
    if name == "fatal":
        assert figures["servers ended"] <= 6
    if name == "crashes":
        assert not figures["innocent held"]
    else:
        assert figures["innocent held"] < figures["servers ended"]
