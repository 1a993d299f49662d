"""Overloads replayed over the sidecars' own decisions, on a simulated clock."""

from dataclasses import replace

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


def test_short_requests_are_not_starved_by_a_few_important_trees(monkeypatch):
    """Guards against approvals that take the room of five status checks each."""
    strict = replace(PATTERNS["leading"], worths=())
    monkeypatch.setitem(PATTERNS, "leading-strict", strict)
    by_worth, by_rank = play("leading", 1, 8), play("leading-strict", 1, 8)
    assert by_worth["whole"] > by_rank["whole"] + 0.05
    assert by_worth["check"] > 2 * by_rank["check"]
    assert by_worth["approve"] >= by_worth["check"]


def test_cheap_requests_are_not_starved_by_trees_of_their_priority():
    """Views' trees fill the small office that forms need alone, both of the least
    priority. Forms take 2.5 times less of it, so they are served at least as often;
    they were the worst served kind, at 0.32 beside 0.48 for views.
    """
    figures = play("from-nothing", 1, 8)
    assert figures["file"] > figures["view"]
    assert figures["file"] > 0.5


def test_important_trees_end_at_a_service_that_refuses_half():
    """The office refuses 0.55 of all it gets for eight seconds. Bookings make eight
    calls there; with repeats spread over all trees hardly any booking ended, and 0.50
    of their credit was earned over the sixteen seconds.
    """
    figures = play("part-shed", 1)
    assert figures["book"] > 0.6
    assert figures["whole"] > 0.67


def test_slots_are_filled_soon_after_a_service_was_slow():
    """The office was four times slower for six seconds. Its slots stood half empty for
    three seconds after that, since requests were still thought to take as long.
    """
    figures = play("slower", 1, 16)
    assert figures["view"] > 0.54


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
