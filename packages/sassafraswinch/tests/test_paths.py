"""Tests of path templates and of the matching of request targets."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.paths import (
    AmbiguityIndex,
    PathTable,
    ambiguous,
    parse_path_template,
    split_target,
)

PROPERTY = settings(derandomize=True, deadline=None)
SEGMENTS = st.lists(st.sampled_from(("a", "b", "c", None)), max_size=4).map(tuple)


def matches(template, path):
    return len(template) == len(path) and all(
        segment in (None, part) for segment, part in zip(template, path, strict=True)
    )


@PROPERTY
@given(st.lists(SEGMENTS, max_size=12, unique=True), SEGMENTS)
def test_index_finds_a_template_exactly_when_one_is_ambiguous(templates, wanted):
    index = AmbiguityIndex()
    for template in templates:
        index.add(template, template)
    found = index.find(wanted)
    others = [template for template in templates if ambiguous(template, wanted)]
    assert (found in others) if others else (found is None)


@PROPERTY
@given(
    st.lists(SEGMENTS, max_size=20),
    st.lists(st.sampled_from("abcd"), max_size=4).map(tuple),
)
def test_most_specific_template_wins(templates, path):
    table, index = PathTable(), AmbiguityIndex()
    accepted = []
    for template in templates:
        if index.find(template) is None:
            index.add(template, template)
            table.add(template, template)
            accepted.append(template)
    matching = [template for template in accepted if matches(template, path)]
    expected = min(matching, key=lambda t: t.count(None), default=None)
    assert table.find(path) == expected


@PROPERTY
@given(SEGMENTS, SEGMENTS)
def test_templates_are_ambiguous_if_some_path_has_no_clear_winner(one, other):
    paths = [()]
    for _ in one:
        paths = [(*path, part) for path in paths for part in "abcd"]
    shared = any(matches(one, path) and matches(other, path) for path in paths)
    only = [
        any(matches(x, path) and not matches(y, path) for path in paths)
        for x, y in ((one, other), (other, one))
    ]
    assert ambiguous(one, other) == (shared and only[0] == only[1])


@pytest.mark.parametrize(
    "target",
    [
        "/orders/7%2Fapproval",
        "/orders/7%5Capproval",
        "/orders/7\\approval",
        "/orders/x/../7/approval",
        "/orders/x/%2e%2E/7/approval",
        "/orders//7",
        "/orders/7/approval/",
        "/orders/7;v=1",
        "/orders/7%3Bv=1",
        "/orders/7/%2561pproval",
        "/orders/7%00",
        "/orders/%ff",
        "/orders/%zz",
        "/orders/é",
        "/orders/7#x",
        "orders/7",
        "http://host/orders/7",
        "/a" * 33,
        "",
    ],
)
def test_target_that_servers_interpret_differently_matches_nothing(target):
    """A trial caller sends an approval whose path is encoded in an unusual way.

    If the node classified it as a repeatable lookup and retried it, the backend
    server would decode the path and approve the order twice. Such a path must match
    no template.
    """
    assert split_target(target) is None


def test_encoded_letters_are_compared_decoded():
    assert split_target("/orders/7/%61pproval?x=/a") == ("orders", "7", "approval")
    assert split_target("/orders/a%20b%C3%A9") == ("orders", "a bé")
    assert split_target("/") == ()


@pytest.mark.parametrize(
    "text",
    ["", "orders", "/orders/", "//", "/a/{b", "/a/x{b}", "/{b}/{b}", "/..", "/a%20b"]
    + ["/a" * 33, "/é", "/{}", "/a?b"],
)
def test_invalid_template_is_refused(text):
    with pytest.raises(ValueError, match="."):
        parse_path_template(text)
