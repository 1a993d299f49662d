"""Tests of the upper bound of a graph's throughput."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch_standins.capacity import (
    capacity_per_s,
    ideal_rates,
    traffic_demands,
)
from sassafraswinch_standins.graph import brno

GRAPH = brno()
TRAFFIC_NAMES = [traffic.name for traffic in GRAPH.traffic]


def test_demand_includes_the_call_tree():
    release = traffic_demands(GRAPH, slow={})["release"]
    assert release.calls == 4
    assert release.hold_ms == 20 + (10 + 40) + 40
    assert release.slot_ms == {"vydej": 110, "schvaleni": 50, "archiv": 80}
    slow = traffic_demands(GRAPH, slow={"archiv": 5})["paying-lookup"]
    assert slow.hold_ms == 15 + 10 + 200


def test_capacity_is_limited_by_the_bottleneck():
    archiv_slot_ms = sum(
        traffic.weight
        / 100
        * traffic_demands(GRAPH, slow={})[traffic.name].slot_ms["archiv"]
        for traffic in GRAPH.traffic
    )
    assert capacity_per_s(GRAPH) == pytest.approx(12_000 / archiv_slot_ms)


@settings(derandomize=True, deadline=None)
@given(
    st.fixed_dictionaries({name: st.floats(0, 500) for name in TRAFFIC_NAMES}),
    st.floats(1, 10),
)
def test_ideal_rates_respect_slots_and_class_priority(offered, factor):
    slow = {"archiv": factor}
    ideal = ideal_rates(GRAPH, offered_per_s=offered, slow=slow)
    demands = traffic_demands(GRAPH, slow=slow)
    for service in GRAPH.services:
        used = sum(
            ideal[name] * demands[name].slot_ms.get(service.name, 0)
            for name in TRAFFIC_NAMES
        )
        assert used <= service.servers * service.slots * 1000 * 1.0001
    assert all(ideal[name] <= offered[name] for name in TRAFFIC_NAMES)
    higher_trial_load = ideal_rates(
        GRAPH, offered_per_s=offered | {"trial-lookup": 1000}, slow=slow
    )
    paying = [name for name in TRAFFIC_NAMES if name != "trial-lookup"]
    assert all(higher_trial_load[name] == pytest.approx(ideal[name]) for name in paying)
