"""Tests of the link plan: the hosts that a node links to, given its calls."""

from sassafraswinch.link_plan import (
    DEMAND_RETENTION_MS,
    GOSSIP_LINKS,
    LINKS_PER_SERVICE,
    LinkPlan,
)
from sassafraswinch.membership import HostRecord, HostState


def make_records(count=100, services=5):
    return [
        HostRecord(
            name=f"host-{number}",
            service=f"service-{number % services}",
            availability_zone=f"zone-{number % 3}",
            state=HostState.LIVE,
            link="127.0.0.1:1",
            entry="127.0.0.1:2",
            operators="127.0.0.1:3",
        )
        for number in range(count)
    ]


def make_plan():
    return LinkPlan(host="host-0", availability_zone="zone-0")


def test_small_fleet_links_to_all():
    assert len(make_plan().choose(make_records(count=20), 0.0)) == 19


def test_called_services_get_links_in_own_availability_zone_first():
    plan, records = make_plan(), make_records()
    assert len(plan.choose(records, 0.0)) == GOSSIP_LINKS
    assert plan.record_service_demand("service-2", 0.0)
    assert not plan.record_service_demand("service-2", 1.0)
    chosen = plan.choose(records, 1.0)
    of_service = [r for r in records if r.name in chosen and r.service == "service-2"]
    same_zone = [r for r in of_service if r.availability_zone == "zone-0"]
    assert len(same_zone) >= LINKS_PER_SERVICE


def test_links_are_stable_until_the_demand_expires():
    plan, records = make_plan(), make_records()
    plan.record_service_demand("service-2", 0.0)
    plan.record_host_demand("host-50", 0.0)
    chosen = plan.choose(records, 0.0)
    assert "host-50" in chosen
    assert plan.choose(records[::-1], DEMAND_RETENTION_MS - 1) == chosen
    assert len(plan.choose(records, DEMAND_RETENTION_MS)) == GOSSIP_LINKS
