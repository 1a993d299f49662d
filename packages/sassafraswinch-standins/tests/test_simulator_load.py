"""Tests of load patterns, each against one way to waste an overloaded service."""

from dataclasses import replace

from sassafraswinch_standins.simulator import play
from sassafraswinch_standins.simulator_load import PATTERNS


def test_short_requests_are_not_starved_by_few_important_call_trees(monkeypatch):
    """Guards against approvals that each use the capacity of five status checks."""
    strict = replace(PATTERNS["leading"], worths=())
    monkeypatch.setitem(PATTERNS, "leading-strict", strict)
    by_worth, by_priority = play("leading", 1, 8), play("leading-strict", 1, 8)
    assert by_worth["whole"] > by_priority["whole"] + 0.05
    assert by_worth["check"] > 2 * by_priority["check"]
    assert by_worth["approve"] >= by_worth["check"]


def test_cheap_requests_are_not_starved_by_call_trees_of_same_priority():
    """Guards against admission that ignores the cost of requests of equal priority.

    Call trees of ``view`` fill the small service ``office``, the only one that ``file``
    uses; both have the lowest priority. ``file`` requests cost 2.5 times less there, so
    they must be served more often. Admission that ignored the cost earned them 0.32 of
    their credit, and ``view`` 0.48.
    """
    figures = play("from-nothing", 1, 8)
    assert figures["file"] > figures["view"]
    assert figures["file"] > 0.5


def test_important_call_trees_complete_at_a_service_that_refuses_half():
    """Guards against retries that are spread over all call trees, so that few complete.

    ``office`` refuses 0.55 of its requests for eight seconds, and each ``book`` makes
    eight calls there. With evenly spread retries hardly any ``book`` completed, and
    they earned 0.50 of their credit over the sixteen seconds.
    """
    figures = play("part-shed", 1)
    assert figures["book"] > 0.6
    assert figures["whole"] > 0.67


def test_slots_are_filled_soon_after_a_slow_service_recovers():
    """Guards against cost estimates that stay high after a service has recovered.

    ``office`` is four times slower for six seconds. With outdated estimates half of its
    slots stayed empty for three more seconds, since requests were still expected to
    take as long.
    """
    figures = play("slower", 1, 16)
    assert figures["view"] > 0.54
