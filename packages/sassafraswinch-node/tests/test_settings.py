"""Tests of settings: every fault is reported with file, field and reason."""

import pytest
import yaml

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.settings import Address, load_settings, parse_settings

GOOD = {
    "host": "schvaleni-1",
    "availability_zone": "brno-a",
    "service": "schvaleni",
    "entry": "127.0.0.1:0",
    "egress": "127.0.0.1:0",
    "operators": "127.0.0.1:0",
    "link": "127.0.0.1:0",
    "backend": "127.0.0.1:8000",
    "platform": ["http://127.0.0.1:9000"],
}


def faults_of(fields) -> dict[str, str]:
    with pytest.raises(InvalidFieldsError) as caught:
        parse_settings(yaml.safe_dump(fields), source="node.yaml")
    return {error.field: error.reason for error in caught.value.exceptions}


def test_good_settings():
    settings = parse_settings(yaml.safe_dump(GOOD), source="node.yaml")
    assert settings.backend == Address(ip="127.0.0.1", port=8000)
    assert settings.platform == ("http://127.0.0.1:9000",)
    assert settings.gate == "adaptive"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("host", ""),
        ("availability_zone", 7),
        ("entry", "127.0.0.1"),
        ("link", "127.0.0.1:99999"),
        ("backend", "127.0.0.1:http"),
        ("gate", "magic"),
        ("slots_hint", 0),
        ("max_connections", "many"),
        ("max_body_bytes", 1),
        ("log_level", "loud"),
        ("stop_timeout_ms", -1),
    ],
)
def test_invalid_field_is_reported(field, value):
    assert list(faults_of(GOOD | {field: value})) == [field]


@pytest.mark.parametrize("field", list(GOOD))
def test_missing_field_is_reported(field):
    fields = {name: value for name, value in GOOD.items() if name != field}
    assert list(faults_of(fields)) == [field]


def test_all_faults_are_reported():
    found = faults_of(GOOD | {"host": "", "gate": "magic", "colour": "red"})
    assert set(found) == {"host", "gate", "colour"}


@pytest.mark.parametrize(
    "url", ["nonsense", "https://127.0.0.1:1", "http://platform:1", "http://127.0.0.1?"]
)
def test_invalid_platform_url_is_reported_by_index(url):
    found = faults_of(GOOD | {"platform": ["http://127.0.0.1:9000", url + "x=1"]})
    assert list(found) == ["platform.1"]


def test_listeners_with_the_same_address_are_refused():
    found = faults_of(GOOD | {"entry": "127.0.0.1:80", "link": "127.0.0.1:80"})
    assert "must have different addresses" in found["(file)"]


@pytest.mark.parametrize("text", ["- a\n- b\n", "host: [", ""])
def test_file_that_is_not_a_mapping_is_refused(text):
    with pytest.raises(InvalidFieldsError) as caught:
        parse_settings(text, source="node.yaml")
    assert caught.value.exceptions[0].source == "node.yaml"


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(InvalidFieldsError) as caught:
        load_settings(tmp_path / "none.yaml")
    assert "can't be read" in caught.value.exceptions[0].reason
