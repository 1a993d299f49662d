"""The platform's values, read once into the product's types."""

import json

import pytest

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_platform.decoding import PlatformDecoder, parse_json

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "brno-a",
    "version": "v1",
    "slots": 108,
    "state": "ready",
    "cold_left_s": 1.5,
    "seq": 4,
}
PATH = {
    "name": "r-1",
    "path_prefix": "/leny950/",
    "kind": "idempotent",
    "timeout_s": 1.2,
    "target_latency_s": 1.5,
    "priority": 2,
    "traffic_split": [
        {"service": "huvo11a", "weight": 90},
        {"service": "lovo22d", "weight": 10},
    ],
    "max_attempts": 2,
}
CONFIG = {
    "version": "0000000c",
    "services": [{"name": "huvo11a", "health_path": "/health", "max_conns": 748}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "hosts": [{"host": "Hulo84.example", "paths": [PATH]}],
}


def coded(value, **changes):
    return json.dumps(value | changes).encode()


def test_server_becomes_an_instance():
    found = PlatformDecoder().parse_instance("i-7", coded(SERVER))
    assert (found.id, found.service, found.ip) == ("i-7", "huvo11a", "10.128.0.9")
    assert (found.slots, found.leaving, found.cold_ms) == (108, False, 1_500.0)
    drained = PlatformDecoder().parse_instance("i-7", coded(SERVER, state="draining"))
    assert drained.leaving


def test_config_becomes_a_route_table():
    table = PlatformDecoder().parse_route_table(coded(CONFIG))
    assert table.version == 12
    found = table.find("hulo84.example", "/leny950/2f")
    assert (found.timeout_ms, found.target_latency_ms) == (1_200.0, 1_500.0)
    assert found.idempotent
    assert [(s.service, s.weight) for s in found.shares] == [
        ("huvo11a", 90),
        ("lovo22d", 10),
    ]
    assert table.limits.idle_timeout_ms == 15_000.0


def test_one_service_is_a_split_of_one_part():
    path = {k: v for k, v in PATH.items() if k != "traffic_split"}
    config = CONFIG | {"hosts": [{"host": "a", "paths": [path | {"service": "x"}]}]}
    (found,) = PlatformDecoder().parse_route_table(coded(config)).routes
    assert [share.service for share in found.shares] == ["x"]


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"version": "xyz"}, "version"),
        ({"limits": {}}, "limits.max_header_bytes"),
        ({"hosts": [{"host": "a", "paths": [PATH | {"kind": "odd"}]}]}, "kind"),
        ({"hosts": [{"host": "a", "paths": [PATH | {"timeout_s": 0}]}]}, "timeout_s"),
    ],
)
def test_wrong_config_names_its_field(changes, field):
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_route_table(coded(CONFIG, **changes))
    assert any(field in error.field for error in caught.value.exceptions)


def test_wrong_server_names_its_field():
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_instance("i-7", coded(SERVER, slots=0))
    assert [error.field for error in caught.value.exceptions] == ["slots"]


def test_keys_are_told_apart():
    decoder = PlatformDecoder()
    assert decoder.instance_id("servers/i-7") == "i-7"
    assert decoder.instance_id("op/config") is None
    assert decoder.is_route_table("op/config")


def test_list_is_no_object():
    with pytest.raises(ValueError, match="object"):
        parse_json(b"[]")
