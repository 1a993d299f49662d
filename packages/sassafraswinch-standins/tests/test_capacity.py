"""Tests of what a graph could answer at best."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch_standins.capacity import (
    capacity_per_s,
    ideal_rates,
    traffic_demands,
)
from sassafraswinch_standins.graph import brno

GRAPH = brno()
NAMES = [traffic.name for traffic in GRAPH.traffic]


def test_demand_adds_up_the_tree():
    release = traffic_demands(GRAPH, slow={})["release"]
    assert release.calls == 4
    assert release.hold_ms == 20 + (10 + 40) + 40
    assert release.slot_ms == {"vydej": 110, "schvaleni": 50, "archiv": 80}
    slow = traffic_demands(GRAPH, slow={"archiv": 5})["paying-lookup"]
    assert slow.hold_ms == 15 + 10 + 200


def test_capacity_is_the_bottleneck_of_the_mix():
    calls = sum(
        traffic.weight
        / 100
        * traffic_demands(GRAPH, slow={})[traffic.name].slot_ms["archiv"]
        for traffic in GRAPH.traffic
    )
    assert capacity_per_s(GRAPH) == pytest.approx(12_000 / calls)


@settings(derandomize=True, deadline=None)
@given(
    st.fixed_dictionaries({name: st.floats(0, 500) for name in NAMES}),
    st.floats(1, 10),
)
def test_ideal_fits_the_slots_and_serves_the_higher_class_first(offered, factor):
    slow = {"archiv": factor}
    ideal = ideal_rates(GRAPH, offered_per_s=offered, slow=slow)
    demands = traffic_demands(GRAPH, slow=slow)
    for service in GRAPH.services:
        used = sum(
            ideal[name] * demands[name].slot_ms.get(service.name, 0) for name in NAMES
        )
        assert used <= service.servers * service.slots * 1000 * 1.0001
    assert all(ideal[name] <= offered[name] for name in NAMES)
    more = ideal_rates(GRAPH, offered_per_s=offered | {"trial-lookup": 1000}, slow=slow)
    paying = [name for name in NAMES if name != "trial-lookup"]
    assert all(more[name] == pytest.approx(ideal[name]) for name in paying)
