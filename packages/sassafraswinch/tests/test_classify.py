"""Tests of request classification, caller identities and explanations."""

import collections
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.classify import Classifier, admission_level
from sassafraswinch.document import parse_document
from sassafraswinch.identities import IdentityState
from sassafraswinch.messages import LEVELS

PROPERTY = settings(derandomize=True, deadline=None)
EXAMPLES = Path(__file__).parents[3] / "examples"
DOCUMENTS = {
    name: parse_document((EXAMPLES / f"{name}.yaml").read_bytes(), source=name)
    for name in ("brno", "reykjavik")
}
NAMES = [
    name
    for document in DOCUMENTS.values()
    for name in (*document.callers, *document.organisations)
]
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(("", "made-up", *NAMES)),
        st.sampled_from(("", "made-up", *NAMES)),
        st.integers(0, 10),
    ),
    max_size=20,
)


def find(classifier, request):
    service, method, target = request.split(" ")
    operation = classifier.find_operation(service, method, target)
    assert operation is not None, request
    return operation


@PROPERTY
@given(st.sampled_from(sorted(DOCUMENTS)), REQUESTS)
def test_class_depends_only_on_the_request_and_matches_its_explanation(name, requests):
    """Two nodes classify the same request after different earlier requests.

    If a cached result changed the class of another request, a paying approval would
    be refused at one hop and admitted at the next.
    """
    document = DOCUMENTS[name]
    reused_classifier = Classifier(document=document)
    for caller, organisation, index in requests:
        facts = {
            "caller": caller,
            "organisation": organisation,
            "operation": document.operations[index],
        }
        classification = reused_classifier.classify(**facts)
        assert classification == Classifier(document=document).classify(**facts)
        explanation = reused_classifier.explain(**facts)
        assert (
            explanation.class_name
            == classification.class_name
            == explanation.classes[-1].name
        )
        assert [class_result.matched for class_result in explanation.classes[:-1]] == (
            [False] * classification.class_order
        )
        assert explanation.classes[-1].matched
        assert (
            explanation.repeatable,
            explanation.deadline_ms,
            explanation.allowance,
            explanation.identity,
        ) == (
            classification.repeatable,
            classification.deadline_ms,
            classification.allowance,
            classification.identity,
        )


REQUESTS_BY_CLASS_ORDER = {
    "brno": [
        ("approver-morava-1", "schvaleni POST /orders/7/approval"),
        ("approver-morava-1", "schvaleni GET /orders/7"),
        ("buyer-morava-1", "schvaleni PUT /orders/7"),
        ("buyer-morava-1", "schvaleni GET /orders?page=2"),
        ("approver-jihlava-1", "schvaleni POST /orders/7/approval"),
        ("buyer-jihlava-1", "prehled GET /search?q=mouka"),
        ("month-end-report", "prehled GET /months/2026-11"),
    ],
    "reykjavik": [
        ("inspector-1", "compliance GET /drivers/5/remaining-hours"),
        ("dispatcher-nordurleid-1", "rest-desk POST /drivers/5/rests"),
        ("inspector-1", "logbook GET /drivers/5/days/2026-12-01"),
        ("tablet-nordurleid-7", "cab-clock GET /drivers/5/clock"),
        ("dispatcher-nordurleid-1", "compliance GET /drivers/5/remaining-hours"),
        ("tablet-selfoss-2", "rest-desk POST /drivers/5/rests"),
        ("dispatcher-selfoss-1", "logbook GET /fleets/3/days/2026-12-01"),
        ("stranger", "rest-desk GET /drivers/5/rests"),
    ],
}


@pytest.mark.parametrize("name", sorted(REQUESTS_BY_CLASS_ORDER))
def test_examples_order_trial_lookups_after_paying_actions(name):
    classifier = Classifier(document=DOCUMENTS[name])
    orders = [
        classifier.classify(
            caller=caller, organisation="", operation=find(classifier, request)
        ).class_order
        for caller, request in REQUESTS_BY_CLASS_ORDER[name]
    ]
    assert orders == sorted(set(orders))


@pytest.mark.parametrize(
    ("name", "actions"),
    [
        ("brno", {"approve-order", "release-order"}),
        ("reykjavik", {"declare-rest", "issue-notice"}),
    ],
)
def test_examples_mark_non_repeatable_operations(name, actions):
    classifier = Classifier(document=DOCUMENTS[name])
    assert actions == {
        operation.name
        for operation in DOCUMENTS[name].operations
        if not classifier.classify(
            caller="", organisation="", operation=operation
        ).repeatable
    }


def test_caller_with_another_organisation_gets_the_last_class():
    """A trial buyer names a paying organisation in the header.

    If the header were trusted, every trial user would be served as a paying one at
    month-end.
    """
    classifier = Classifier(document=DOCUMENTS["brno"])
    operation = find(classifier, "schvaleni POST /orders/7/approval")
    for claimed in ("distribuce-morava", "made-up"):
        classification = classifier.classify(
            caller="approver-jihlava-1", organisation=claimed, operation=operation
        )
        assert classification.identity is IdentityState.MISMATCHED
        assert (classification.class_name, classification.organisation) == (
            "rest",
            None,
        )
        assert not classification.repeatable


def test_unlisted_names_share_one_cached_classification():
    """A flood of requests, each with another invented caller name, fills no cache."""
    classifier = Classifier(document=DOCUMENTS["brno"])
    operation = DOCUMENTS["brno"].operations[0]
    results = {
        id(
            classifier.classify(
                caller=f"x{n}", organisation=f"y{n}", operation=operation
            )
        )
        for n in range(100)
    }
    assert len(results) == 1


def test_lowest_is_the_last_class_without_retries():
    classifier = Classifier(document=DOCUMENTS["brno"])
    approval = find(classifier, "schvaleni POST /orders/7/approval")
    lowest = classifier.lowest_classification(approval)
    assert (lowest.class_name, lowest.allowance, lowest.repeatable) == (
        "rest",
        0,
        False,
    )


def test_unlisted_request_has_no_operation():
    classifier = Classifier(document=DOCUMENTS["brno"])
    for request in (
        ("schvaleni", "DELETE", "/orders/7"),
        ("schvaleni", "post", "/orders/7/approval"),
        ("schvaleni", "GET", "/orders/7/approval/8"),
        ("nowhere", "GET", "/orders/7"),
    ):
        assert classifier.find_operation(*request) is None


def test_percent_encoded_path_matches_the_same_operation():
    """A client percent-encodes a letter of the path; the backend server decodes it.

    If the request matched another operation, the approval would need no ticket and
    could run twice.
    """
    classifier = Classifier(document=DOCUMENTS["brno"])
    plain = find(classifier, "schvaleni POST /orders/7/approval")
    assert find(classifier, "schvaleni POST /orders/%37/%61pprova%6c") is plain


def test_admission_level_is_stable_across_nodes_and_versions():
    assert admission_level("distribuce-morava", "0" * 32) == 33
    assert admission_level("", "f" * 32) == 43


def test_admission_levels_are_evenly_distributed():
    """An uneven hash would make threshold steps refuse unequal shares of requests.

    64,000 requests over 128 levels give 500 a level, with a standard deviation of 22.
    """
    counts = collections.Counter(
        admission_level("nakup-jihlava", f"{n:032x}") for n in range(500 * LEVELS)
    )
    assert set(counts) == set(range(LEVELS))
    assert all(400 < count < 600 for count in counts.values())
