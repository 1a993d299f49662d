"""Tests of crashing backend servers in the simulator."""

import pytest

from sassafraswinch_standins.simulator import play


@pytest.mark.parametrize("name", ["fatal", "crashes", "fatal-and-crashes"])
def test_few_innocent_requests_are_held_back_after_crashes(name):
    """Guards against holding back requests that only ran beside a fatal one.

    Servers of ``front`` crash by themselves, under one fatal request that is sent four
    times per second, or both. The fatal request may crash three servers, and three more
    before all hosts have received the reports. Each crash interrupts dozens of other
    requests; fewer of them are held back than servers crash, and none where servers
    crash by themselves.
    """
    figures = play(name, 1)
    assert figures["view"] > 0.8
    if name == "fatal":
        assert figures["servers ended"] <= 6
    if name == "crashes":
        assert not figures["innocent held"]
    else:
        assert figures["innocent held"] < figures["servers ended"]
