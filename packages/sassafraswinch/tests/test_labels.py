"""Tests of label selectors: parsing, matching and syntax errors."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.errors import SelectorSyntaxError
from sassafraswinch.labels import (
    Operator,
    Requirement,
    Selector,
    label_key_fault,
    parse_selector,
    serialize_selector,
)

PROPERTY = settings(derandomize=True, deadline=None)
KEYS = st.sampled_from(("tier", "kind", "team.example/role", "a-b_c.d", "not", "x1"))
VALUES = st.sampled_from(("", "paying", "trial", "in", "notin", "v1.2", "A_b"))
VALUE_SETS = st.frozensets(VALUES, min_size=1)
REQUIREMENTS = st.one_of(
    st.builds(
        Requirement,
        key=KEYS,
        operator=st.sampled_from((Operator.IN, Operator.NOT_IN)),
        values=VALUE_SETS,
    ),
    st.builds(
        Requirement,
        key=KEYS,
        operator=st.sampled_from((Operator.EXISTS, Operator.ABSENT)),
    ),
)
SELECTORS = st.builds(
    Selector, requirements=st.lists(REQUIREMENTS, max_size=4).map(tuple)
)
LABEL_SETS = st.dictionaries(KEYS, VALUES)


@PROPERTY
@given(SELECTORS)
def test_serialized_selector_parses_to_an_equal_one(selector):
    assert parse_selector(serialize_selector(selector)) == selector


@PROPERTY
@given(SELECTORS, LABEL_SETS)
def test_selector_matches_if_all_requirements_match(selector, labels):
    results = [
        Selector(requirements=(requirement,)).matches(labels)
        for requirement in selector.requirements
    ]
    assert selector.matches(labels) == all(results)


@PROPERTY
@given(KEYS, VALUE_SETS, LABEL_SETS)
def test_notin_negates_in(key, values, labels):
    requirement_in, requirement_notin = (
        Requirement(key=key, operator=operator, values=values)
        for operator in (Operator.IN, Operator.NOT_IN)
    )
    assert requirement_in.matches(labels) != requirement_notin.matches(labels)


@PROPERTY
@given(st.text(alphabet="ab1=!(),- \tinot/._é"))
def test_any_text_parses_or_raises_a_positioned_syntax_error(text):
    try:
        parsed = parse_selector(text)
    except SelectorSyntaxError as error:
        assert 0 <= error.position <= len(text)
        assert error.reason
    else:
        assert parse_selector(str(parsed)) == parsed


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        (" ", {"tier": "trial"}, True),
        ("tier=trial", {"tier": "trial"}, True),
        ("tier == trial", {"tier": "paying"}, False),
        ("tier=trial", {}, False),
        ("tier!=trial", {}, True),
        ("tier in (trial, partner)", {"tier": "partner"}, True),
        ("tier notin (trial)", {}, True),
        ("internal", {"internal": ""}, True),
        ("!internal", {"internal": "yes"}, False),
        ("tier=,kind", {"tier": "", "kind": "x"}, True),
        ("a=in,b=notin", {"a": "in", "b": "notin"}, True),
    ],
)
def test_selector_matches_as_in_kubernetes(text, labels, expected):
    assert parse_selector(text).matches(labels) is expected


@pytest.mark.parametrize(
    ("text", "position"),
    [
        ("tier in (trial", 14),
        ("tier in ()", 9),
        ("tier in trial", 8),
        (",tier", 0),
        ("tier,", 5),
        ("tier=a b", 7),
        ("tier=a=b", 6),
        ("tier>3", 4),
        ("=trial", 0),
        ("!", 1),
        ("tier=-a", 5),
        ("tier=a-", 5),
        ("in (a)", 0),
        ("!tier=a", 5),
        ("a/b/c", 0),
        ("tier=" + "x" * 64, 5),
    ],
)
def test_syntax_error_has_the_position_of_the_wrong_character(text, position):
    with pytest.raises(SelectorSyntaxError) as caught:
        parse_selector(text)
    assert caught.value.position == position
    assert caught.value.selector == text


def test_label_key_length_limits():
    assert label_key_fault("a" * 63) is None
    assert label_key_fault("a" * 64)
    assert label_key_fault("p" * 253 + "/a") is None
    assert label_key_fault("p" * 254 + "/a")
