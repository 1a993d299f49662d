"""Tests of the status of a node and its JSON form."""

import pytest

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch.messages import Rank
from sassafraswinch.status import (
    HostStatus,
    LinkStatus,
    Status,
    parse_status,
    serialize_status,
)

STATUS = Status(
    host="brno-a-1",
    availability_zone="brno-a",
    service="schvaleni",
    incarnation=2**63 - 1,
    state="serving",
    threshold=Rank(2, 17),
    links=(LinkStatus(host="brno-b-1", state="up", session=3, silent_ms=1.5),),
    hosts=(
        HostStatus(
            name="brno-b-1",
            service="vydej",
            availability_zone="brno-b",
            leaving=True,
            linked=True,
            in_flight=4,
            queue_delay_ms=2.5,
        ),
    ),
    counters={"retries": 3},
)


def test_status_survives_a_json_round_trip():
    assert parse_status(serialize_status(STATUS), source="node") == STATUS


def test_unknown_field_is_ignored():
    text = serialize_status(STATUS).replace(b"{", b'{"unheard_of": 1,', 1)
    assert parse_status(text, source="node") == STATUS


def test_every_invalid_field_is_named():
    with pytest.raises(InvalidFieldsError) as caught:
        parse_status('{"host": 1, "links": [{"host": "x"}]}', source="node")
    fields = {error.field for error in caught.value.exceptions}
    assert {"host", "state", "links.0.state"} <= fields
