"""Tests of adding and serializing the slot times of a call tree."""

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.slot_times import (
    add_slot_times,
    parse_slot_times,
    serialize_slot_times,
)

times = st.dictionaries(st.text(max_size=5), st.floats(0.0, 1e6), max_size=5)


@settings(derandomize=True, deadline=None)
@given(times)
def test_slot_times_survive_serialization(times_ms):
    assert parse_slot_times(serialize_slot_times(times_ms)) == times_ms


@settings(derandomize=True, deadline=None)
@given(times, times)
def test_parts_add_up_by_service(first_ms, second_ms):
    total_ms = {}
    add_slot_times(total_ms, first_ms)
    add_slot_times(total_ms, second_ms)
    assert total_ms.keys() == first_ms.keys() | second_ms.keys()
    assert all(
        total_ms[service] == first_ms.get(service, 0.0) + second_ms.get(service, 0.0)
        for service in total_ms
    )
