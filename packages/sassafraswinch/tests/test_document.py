"""Tests of document parsing and validation."""

import json
from pathlib import Path

import pytest
import yaml
from hypothesis import given, settings, strategies as st

from sassafraswinch.document import MAX_DOCUMENT_BYTES, digest, parse_document
from sassafraswinch.document_text import MAX_FAULTS, WHOLE_FILE
from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch.yaml_events import read_yaml

PROPERTY = settings(derandomize=True, deadline=None)
EXAMPLES = Path(__file__).parents[3] / "examples"
VALID = """
version: 12
organisations: {acme: {labels: {tier: paying}}}
callers: {buyer-17: {organisation: acme, labels: {role: buyer}}}
services: {schvaleni: {slots: 120, connections: 800}}
operations:
  - {name: show, service: schvaleni, method: GET, path: "/orders/{order}"}
  - {name: approve, service: schvaleni, method: POST, path: "/orders/{order}/approval",
     labels: {action: approval}}
classes:
  - {name: paying, organisations: "tier=paying", deadline_ms: 4000,
     objective: {answered_percent: 99.5, latency_ms: 1500}}
  - {name: rest, deadline_ms: 2000}
non_repeatable: ["action=approval"]
"""


def faults_of(body):
    if isinstance(body, str):
        body = body.encode()
    with pytest.raises(InvalidFieldsError) as caught:
        parse_document(body, source="platform")
    assert {fault.source for fault in caught.value.exceptions} == {"platform"}
    return [(fault.field, fault.reason) for fault in caught.value.exceptions]


def test_valid_document():
    document = parse_document(VALID.encode(), source="platform")
    assert document.version == 12
    assert document.digest == digest(VALID.encode())
    assert [entry.order for entry in document.classes] == [0, 1]
    assert document.retry.allowance == 3
    assert document.identity.caller_header == "x-caller-id"
    assert document.callers["buyer-17"].organisation == "acme"


@pytest.mark.parametrize(
    ("old", "new", "field", "reason"),
    [
        ("version: 12", "version: 0", "version", "greater than or equal to 1"),
        ("version: 12", "version: 9007199254740993", "version", "less than"),
        ("version: 12", "version: '12'", "version", "valid integer"),
        ("version: 12", "version: yes", "version", "valid integer"),
        ("version: 12", "version: 12\nversion: 13", "version", "duplicate key"),
        ("version: 12", "", "version", "missing"),
        ("version: 12", "version: 12\nclases: []", "clases", "unknown field"),
        ("{tier: paying}", "{tier: yes}", "organisations.acme.labels.tier", "quote"),
        ("{tier: paying}", "{in: a}", "organisations.acme.labels.in", "operator"),
        ("{tier: paying}", "{tier: a b}", "organisations.acme.labels.tier", "letters"),
        ("{acme: ", "{no: {}, acme: ", "organisations.no", "quote"),
        ("organisation: acme", "organisation: akme", "callers.buyer-17.organisation",
         "'akme' is not in organisations"),
        ("{schvaleni: {", "{Schvaleni: {slots: 1, connections: 1}, schvaleni: {",
         "services.Schvaleni", "does not match"),
        ("slots: 120", "slots: 0", "services.schvaleni.slots", "greater"),
        ("slots: 120", "slots: 120, slot: 1", "services.schvaleni.slot", "unknown"),
        ("show, service: schvaleni", "show, service: archiv", "operations.0.service",
         "'archiv' is not in services"),
        ("name: show", "name: approve", "operations.1.name", "operations.0"),
        ("method: GET", "method: get", "operations.0.method", "does not match"),
        ("POST, path: \"/orders/{order}/approval\"", "GET, path: \"/{x}/7\"",
         "operations.1.path", "ambiguous with operations.0"),
        ("path: \"/orders/{order}\"", "path: \"orders\"", "operations.0.path", "'/'"),
        ("name: paying, ", "name: rest, ", "classes.1.name", "classes.0"),
        ("name: rest, ", "name: rest, callers: a, ", "classes.1", "last class must"),
        ("organisations: \"tier=paying\", ", "", "classes.0", "no later class"),
        ("\"tier=paying\"", "\"tier=(\"", "classes.0.organisations", "character 5"),
        ("\"tier=paying\"", "7", "classes.0.organisations", "quote"),
        ("99.5", "100", "classes.0.objective.answered_percent", "less than 100"),
        ("99.5", ".nan", "classes.0.objective.answered_percent", "finite"),
        ("4000", "4000.5", "classes.0.deadline_ms", "valid integer"),
        ("action=approval\"", "action=aproval\"", "non_repeatable.0", "no operation"),
        ("action=approval\"", "action\", \"(\"", "non_repeatable.1", "character 0"),
        ("version: 12", "version: 12\nretry: {allowance: 101}", "retry.allowance",
         "less than or equal"),
        ("version: 12", "version: 12\nidentity: {caller_header: Traceparent}",
         "identity.caller_header", "is reserved"),
        ("version: 12", "version: 12\nidentity: {caller_header: X-Organisation-Id}",
         "identity", "the same header"),
        ("version: 12", "version: 12\nretry: &r {}\nidentity: *r", "identity", "alias"),
        ("version: 12", "version: !!int 12", "version", "tag"),
        ("version: 12", "version: 12\n? [a]\n: 1", WHOLE_FILE, "a key is not text"),
    ],
)  # fmt: skip
def test_invalid_field_is_reported_with_its_reason(old, new, field, reason):
    assert VALID.count(old) == 1
    found = faults_of(VALID.replace(old, new))
    assert any(path == field and reason in text for path, text in found), found


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b"a: [", "not YAML"),
        (b"\xff", "not UTF-8 at byte 0"),
        (b"a: \0", "not YAML"),
        (b"", "expected a map"),
        (b"- a", "expected a map"),
        (b"a: 1\n---\na: 1", "more than one document"),
        (b"{" * 500_000, "nest"),
        (b"a: " + b"[" * 500_000, "nest"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), "1000001 bytes"),
    ],
)
def test_unparsable_text_is_reported_as_one_fault(body, reason):
    (fault,) = faults_of(body)
    assert fault[0] == WHOLE_FILE
    assert reason in fault[1]


def test_all_faults_of_a_document_are_reported_together():
    """All faults come in one report, as each publication costs an operator minutes.

    The report holds faults of the text, of fields and between entries, also if one
    entry has several.
    """
    body = VALID.replace("version: 12", "version: 0\nversion: 1")
    body = body.replace("show, service: schvaleni", "approve, service: archiv, x: 1")
    body = body.replace("deadline_ms: 2000", "callers: a")
    assert {field for field, _ in faults_of(body)} == {
        "version",
        "operations.0.service",
        "operations.0.x",
        "operations.1.name",
        "classes.1",
        "classes.1.deadline_ms",
    }


def test_nested_aliases_are_not_expanded():
    """A few hundred bytes of nested aliases expand to ten billion entries.

    If aliases were expanded, all nodes of the fleet would run out of memory at the
    same time.
    """
    nested_aliases = "a0: &a0 [x]\n" + "\n".join(
        f"a{n}: &a{n} [{','.join([f'*a{n - 1}'] * 10)}]" for n in range(1, 11)
    )
    assert len(faults_of(nested_aliases)) < MAX_FAULTS
    assert ("a1.0", "aliases are not supported (line 2)") in faults_of(nested_aliases)


def test_base_60_number_is_not_parsed():
    """YAML 1.1 parses 1:1:1 in base 60, in time quadratic in the length."""
    body = VALID.replace("version: 12", "version: 1" + ":1" * 300_000)
    assert ("version", "should be a valid integer") in faults_of(body)


def test_number_of_reported_faults_is_bounded():
    body = "operations: [" + "{}," * 300_000 + "]"
    found = faults_of(body)
    assert len(found) == MAX_FAULTS + 1
    assert "more than" in found[-1][1]


@pytest.mark.parametrize("name", ["brno", "reykjavik"])
def test_json_and_yaml_of_one_document_parse_equal(name):
    body = (EXAMPLES / f"{name}.yaml").read_bytes()
    from_yaml = parse_document(body, source="platform")
    from_json = parse_document(
        json.dumps(yaml.safe_load(body)).encode(), source="platform"
    )
    assert (from_yaml.classes, from_yaml.operations) == (
        from_json.classes,
        from_json.operations,
    )
    assert (from_yaml.callers, from_yaml.services) == (
        from_json.callers,
        from_json.services,
    )


def test_duplicate_json_key_is_reported():
    assert ("version", "duplicate key (line 1)") in faults_of(
        '{"version":1,"version":2}'
    )


PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**9), 10**9) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@PROPERTY
@given(PLAIN)
def test_yaml_parses_as_with_the_library(data):
    text = yaml.safe_dump(json.loads(json.dumps(data)))
    faults = []
    found = read_yaml(text, report=lambda path, reason: faults.append(reason))
    assert (found, faults) == (yaml.safe_load(text), [])


SECTIONS = st.dictionaries(
    st.sampled_from(("version", "operations", "classes", "callers", "non_repeatable")),
    st.recursive(
        st.none() | st.integers() | st.text(max_size=3) | st.floats(),
        lambda inner: (
            st.lists(inner)
            | st.dictionaries(
                st.sampled_from(("name", "service", "path", "labels", "callers")), inner
            )
        ),
    ),
)


@PROPERTY
@given(st.binary() | SECTIONS.map(lambda data: json.dumps(data).encode()))
def test_invalid_body_raises_invalid_fields_error_only(body):
    """The platform publishes an invalid body; no node may crash on it."""
    assert faults_of(body)
