"""Tests of the operators' endpoint through a real listener."""

import dataclasses
import json
from xml.etree import ElementTree

import pytest
from prometheus_client.parser import text_string_to_metric_families

from sassafraswinch.burn import BurnRecorder, parse_report
from sassafraswinch.document import Objective
from sassafraswinch.messages import Rank
from sassafraswinch.status import HostStatus, LinkStatus, Status, parse_status
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.burn_page import burn_page, burn_picture
from sassafraswinch_node.http_client import HttpClient
from sassafraswinch_node.listeners import HttpListener
from sassafraswinch_node.operators import operators_app
from sassafraswinch_node.settings import parse_address

STATUS = Status(
    host="brno-a-1",
    availability_zone="brno-a",
    service="schvaleni",
    incarnation=7,
    state="serving",
    queue_delay_ms=2.5,
    threshold=Rank(1, 64),
    links=(
        LinkStatus(host="brno-b-1", state="up", session=1, silent_ms=3.0),
        LinkStatus(host="brno-b-2", state="down: refused", session=0, silent_ms=0),
    ),
    hosts=tuple(
        HostStatus(
            name=f"brno-b-{number}",
            service="vydej",
            availability_zone="brno-b",
            leaving=number == 2,
            linked=True,
            in_flight=1,
            queue_delay_ms=0.5,
        )
        for number in (1, 2, 3)
    ),
    counters={"retries": 3},
)
HOSTILE = '<script>alert("1")</script>'


class FakeNode:
    """Source of status and burn snapshots that counts the burn reports."""

    def __init__(self):
        self.status = STATUS
        self.recorder = BurnRecorder(host="brno-a-1", now_ms=0)
        objective = Objective(answered_percent=99.0, latency_ms=100.0)
        self.recorder.set_objectives({"paying": objective}, document_version=4)
        self.snapshots = 0

    def burn(self):
        self.snapshots += 1
        return self.recorder.report(10.0)

    def record(self, operation, reason=None, latency_ms=50.0):
        verdict = Verdict.NOT_RUN if reason else Verdict.ANSWERED
        self.recorder.record(
            class_name="paying",
            operation=operation,
            verdict=verdict,
            reason=reason,
            latency_ms=latency_ms,
            now_ms=5.0,
        )


class Endpoint(FakeNode):
    """An operators' listener and a client connected to it."""

    def __init__(self):
        super().__init__()
        app = operators_app(status=lambda: self.status, burn=self.burn)
        self.listener = HttpListener(app=app, address=parse_address("127.0.0.1:0"))
        self.client = HttpClient(
            ip="127.0.0.1", port=self.listener.address.port, max_connections=2
        )

    async def get(self, target):
        return await self.client.request(method="GET", target=target, timeout_ms=5000)


@pytest.fixture
async def endpoint():
    endpoint = Endpoint()
    await endpoint.listener.start()
    yield endpoint
    await endpoint.client.close()
    await endpoint.listener.stop()


async def samples(endpoint):
    page = (await endpoint.get("/metrics")).body.decode()
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
    }


async def test_status_is_complete(endpoint):
    response = await endpoint.get("/status")
    assert parse_status(response.body, source="node") == STATUS


async def test_metrics_come_from_one_snapshot_for_each_scrape(endpoint):
    endpoint.record("approve")
    endpoint.record("approve", Reason.OVERLOADED)
    assert endpoint.snapshots == 0
    values = await samples(endpoint)
    assert endpoint.snapshots == 1
    assert values["sassafraswinch_queue_delay_seconds",] == 0.0025
    assert values["sassafraswinch_retries_total",] == 3
    assert values["sassafraswinch_links", "down"] == 1
    assert values["sassafraswinch_hosts", "leaving", "vydej"] == 1
    assert values["sassafraswinch_hosts", "linked", "vydej"] == 2
    assert values["sassafraswinch_calls_total", "approve", "good", "paying"] == 1
    assert (
        values["sassafraswinch_not_answered_total", "approve", "overloaded", "paying"]
        == 1
    )
    assert values["sassafraswinch_burn_rate", "1m", "approve", "paying"] == 50
    assert values[
        "sassafraswinch_latency_seconds", "0.99", "5m", "approve", "paying"
    ] == pytest.approx(0.05, rel=0.01)


async def test_metric_labels_are_escaped(endpoint):
    name = 'a"b\\c\nd{} 1'
    endpoint.record(name)
    values = await samples(endpoint)
    assert (
        values[("sassafraswinch_calls_total", *sorted([name, "good", "paying"]))] == 1
    )


async def test_burn_report_as_json_and_html(endpoint):
    endpoint.record(HOSTILE, Reason.EVICTED)
    report = parse_report((await endpoint.get("/burn")).body, source="node")
    assert report.series[0].operation == HOSTILE
    page = await endpoint.get("/burn?format=html")
    assert b"<svg" in page.body and HOSTILE.encode() not in page.body
    assert (await endpoint.get("/burn?format=pdf")).status == 400


@pytest.mark.parametrize(
    ("state", "status"), [("serving", 200), ("syncing", 503), ("leaving", 503)]
)
async def test_health_follows_the_state(endpoint, state, status):
    endpoint.status = dataclasses.replace(STATUS, state=state)
    response = await endpoint.get("/health")
    assert (response.status, json.loads(response.body)) == (status, {"state": state})


async def test_endpoint_is_read_only(endpoint):
    for path in ("/status", "/burn", "/metrics", "/health"):
        response = await endpoint.client.request(
            method="POST", target=path, timeout_ms=5000
        )
        assert response.status == 405


def test_chart_shows_shares_and_rates_of_each_series():
    node = FakeNode()
    for _ in range(3):
        node.record("approve")
    node.record("approve", Reason.OVERLOADED)
    chart = burn_picture(node.burn())
    widths = [
        float(box.get("width"))
        for box in chart.iter("rect")
        if box.find("title") is not None
    ]
    assert widths == [195.0, 65.0]
    texts = [element.text for element in chart.iter("text")]
    assert texts.count("25.0") == 5
    assert ElementTree.tostring(chart, encoding="unicode", method="html") in burn_page(
        node.burn()
    )
