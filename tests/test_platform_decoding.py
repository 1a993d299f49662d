"""Tests of the decoder of the platform's values."""

import contextlib
import json

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_platform.decoding import PlatformDecoder, parse_json_object

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


def encode_value(value, **changes):
    return json.dumps(value | changes).encode()


def test_health_paths_that_can_be_requested_are_decoded():
    paths = {"a": "/health", "b": "", "c": "/x\r\nHost: y", "d": "no-slash"}
    services = [{"name": name, "health_path": path} for name, path in paths.items()]
    table = PlatformDecoder().parse_route_table(encode_value(CONFIG, services=services))
    assert table.health_paths == {"a": "/health"}


def test_server_registration_is_parsed_to_an_instance():
    found = PlatformDecoder().parse_instance("i-7", encode_value(SERVER))
    assert (found.id, found.service, found.ip) == ("i-7", "huvo11a", "10.128.0.9")
    assert (found.slots, found.leaving, found.cold_ms) == (108, False, 1_500.0)
    drained = PlatformDecoder().parse_instance(
        "i-7", encode_value(SERVER, state="draining")
    )
    assert drained.leaving


def test_config_is_parsed_to_a_route_table():
    table = PlatformDecoder().parse_route_table(encode_value(CONFIG))
    assert table.version == 12
    found = table.find("hulo84.example", "/leny950/2f")
    assert (found.timeout_ms, found.target_latency_ms) == (1_200.0, 1_500.0)
    assert found.idempotent
    assert [(s.service, s.weight) for s in found.shares] == [
        ("huvo11a", 90),
        ("lovo22d", 10),
    ]
    assert table.limits.idle_timeout_ms == 15_000.0


TENANT = {
    "name": "pulo780",
    "api_keys": ["gjy5", "3nax"],
    "priority": 1,
    "rate_per_s": 163,
    "burst": 20,
}


def with_tenants(*tenants):
    return encode_value(CONFIG, tenants=list(tenants))


def test_tenants_are_parsed_to_organisations():
    table = PlatformDecoder().parse_route_table(with_tenants(TENANT))
    found = table.organisations.find("3nax")
    assert (found.name, found.priority) == ("pulo780", 1)
    assert (found.limit.rate_per_s, found.limit.burst) == (163, 20)


def test_missing_tenants_accept_requests_without_a_key():
    assert (
        PlatformDecoder().parse_route_table(encode_value(CONFIG)).organisations is None
    )


def test_empty_list_of_tenants_is_not_a_missing_one():
    table = PlatformDecoder().parse_route_table(with_tenants())
    assert table.organisations is not None


@pytest.mark.parametrize("rates", [{"rate_per_s": 0}, {}])
def test_zero_or_missing_rate_is_no_limit(rates):
    tenant = {"name": "a", "api_keys": ["k"]} | rates
    table = PlatformDecoder().parse_route_table(with_tenants(tenant))
    assert table.organisations.find("k").limit is None


def test_route_may_be_public():
    config = CONFIG | {"hosts": [{"host": "a", "paths": [PATH | {"public": True}]}]}
    (found,) = PlatformDecoder().parse_route_table(encode_value(config)).routes
    assert found.public


@pytest.mark.parametrize(
    "tenants",
    [
        [TENANT | {"name": ""}],
        [TENANT | {"api_keys": [""]}],
        [TENANT | {"rate_per_s": -1}],
        [TENANT | {"burst": -1}],
        [TENANT | {"priority": -1}],
        [TENANT, TENANT | {"name": "other"}],
        [TENANT, TENANT | {"api_keys": ["other"]}],
    ],
)
def test_invalid_tenants_are_rejected_without_disclosing_a_key(tenants):
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_route_table(with_tenants(*tenants))
    texts = [str(error) for error in caught.value.exceptions]
    assert any("tenants" in text for text in texts)
    assert not any("gjy5" in text for text in texts)


def test_single_service_is_parsed_to_one_share():
    path = {k: v for k, v in PATH.items() if k != "traffic_split"}
    config = CONFIG | {"hosts": [{"host": "a", "paths": [path | {"service": "x"}]}]}
    (found,) = PlatformDecoder().parse_route_table(encode_value(config)).routes
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
def test_error_names_the_invalid_field_of_the_config(changes, field):
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_route_table(encode_value(CONFIG, **changes))
    assert any(field in error.field for error in caught.value.exceptions)


def test_error_names_the_invalid_field_of_a_registration():
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_instance("i-7", encode_value(SERVER, slots=0))
    assert [error.field for error in caught.value.exceptions] == ["slots"]


def test_registration_and_config_keys_are_distinguished():
    decoder = PlatformDecoder()
    assert decoder.instance_id("servers/i-7") == "i-7"
    assert decoder.instance_id("op/config") is None
    assert decoder.is_route_table("op/config")


def test_json_list_is_rejected():
    with pytest.raises(ValueError, match="object"):
        parse_json_object(b"[]")


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "unknown"},
        {"service": 7},
        {"slots": "108"},
        {"slots": float("inf")},
        {"slots": 10**400},
        {"cold_left_s": -5},
        {"cold_left_s": float("nan")},
        {"born": 1.5},
        {"born": "1790000000000"},
        {"born": 2**63},
        {"born": 2**64},
        {"born": 10**400},
        {"address": "999.1.1.1:8080"},
        {"address": "10.128.0.9:99999999"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:8080\n"},
        {"address": "0.0.0.0:8080"},
        {"address": "255.255.255.255:8080"},
        {"address": "224.0.0.1:8080"},
        {"service": "orders\r\nX-Other: 1"},
        {"zone": "brno-a\0"},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_malformed_registration_of_another_writer_is_rejected(changes):
    """Another writer stores a value whose fields resemble a server's. If it were
    accepted, requests would go to an address that doesn't exist, or the sidecar's
    process would exit.
    """
    with pytest.raises(InvalidFieldsError):
        PlatformDecoder().parse_instance("i-7", encode_value(SERVER, **changes))


@pytest.mark.parametrize("instance_id", ["", "i 7", "i\r\nX-Other: 1", "ž", "\ud800"])
def test_id_that_no_header_field_can_hold_is_rejected(instance_id):
    """Guards against fields of another writer's choice in each request."""
    with pytest.raises(InvalidFieldsError):
        PlatformDecoder().parse_instance(instance_id, encode_value(SERVER))


def test_name_of_an_organisation_that_no_header_field_can_hold_is_rejected():
    """Guards against fields of a name's choice in each request."""
    tenants = [{"name": "a\r\nX-Other: 1", "api_keys": ["k"]}]
    with pytest.raises(InvalidFieldsError):
        PlatformDecoder().parse_route_table(encode_value(CONFIG, tenants=tenants))


def test_start_time_distinguishes_incarnations_of_a_server():
    decoder = PlatformDecoder()
    first = decoder.parse_instance("i-7", encode_value(SERVER, born=1_790_000_000_000))
    restarted = decoder.parse_instance(
        "i-7", encode_value(SERVER, born=1_790_000_009_000)
    )
    assert first.id == restarted.id
    assert first.identity != restarted.identity
    assert decoder.parse_instance("i-7", encode_value(SERVER)).incarnation == 0


@pytest.mark.parametrize("version", [31, None, "", "0x1f", "1_0", "-1", "123456789"])
def test_error_names_a_malformed_version(version):
    with pytest.raises(InvalidFieldsError) as caught:
        PlatformDecoder().parse_route_table(encode_value(CONFIG, version=version))
    assert [error.field for error in caught.value.exceptions] == ["version"]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None)
@given(
    value=st.one_of(
        st.binary(max_size=200),
        JSON.map(lambda data: json.dumps(data).encode()),
        st.dictionaries(st.sampled_from([*SERVER, "born"]), JSON).map(
            lambda changes: encode_value(SERVER, **changes)
        ),
        st.dictionaries(st.sampled_from([*CONFIG]), JSON).map(
            lambda changes: encode_value(CONFIG, **changes)
        ),
        st.dictionaries(st.sampled_from([*PATH]), JSON).map(
            lambda changes: encode_value(
                CONFIG, hosts=[{"host": "a", "paths": [PATH | changes]}]
            )
        ),
    )
)
def test_decoder_raises_declared_errors_only(value):
    """An unexpected exception would end the task that follows the platform, and with it
    the sidecar, which would restart and read the same value again.
    """
    decoder = PlatformDecoder()
    for parse in (
        decoder.parse_route_table,
        lambda value: decoder.parse_instance("i-7", value),
        parse_json_object,
    ):
        with contextlib.suppress(InvalidFieldsError, ValueError):
            parse(value)


def test_json_nested_too_deeply_is_rejected():
    deep = b"[" * 200_000
    with pytest.raises(ValueError, match="deep"):
        parse_json_object(deep)
    with pytest.raises(InvalidFieldsError):
        PlatformDecoder().parse_instance("i-7", deep)
