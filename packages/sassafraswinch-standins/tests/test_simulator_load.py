"""Load patterns of which each guards against one way to waste a full service."""

from dataclasses import replace

from sassafraswinch_standins.simulator import play
from sassafraswinch_standins.simulator_load import PATTERNS


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
