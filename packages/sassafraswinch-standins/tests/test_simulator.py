"""Overloads replayed over the sidecars' own decisions, on a simulated clock."""

import pytest

from sassafraswinch_standins.simulator import play
from sassafraswinch_standins.simulator_load import PATTERNS


def test_same_seed_plays_the_same():
    assert play("surge", 3, 2) == play("surge", 3, 2)


@pytest.mark.parametrize("name", PATTERNS)
def test_paying_requests_are_served_first_under_each_pattern(name):
    """Whatever is full, slow or out of reach: the most important trees are served at
    least as well as the least important ones that need the same.
    """
    figures = play(name, 1, 6)
    first, last = ("approve", "history") if "approve" in figures else ("book", "view")
    assert figures[first] >= figures[last] - 0.05
