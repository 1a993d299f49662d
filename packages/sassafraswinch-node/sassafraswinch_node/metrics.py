"""Prometheus metrics of a node, computed from status and burn snapshots."""

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.exposition import choose_encoder
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    InfoMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from sassafraswinch.burn_report import BurnReport, SeriesBurn
from sassafraswinch.burn_windows import window_name
from sassafraswinch.status import Status

PREFIX = "sassafraswinch"
SERIES_LABELS = ("class", "operation")
OUTCOMES = ("good", "late", "refused", "unknown", "not_counted")
MS_PER_S = 1000.0

STATUS_GAUGES = {
    "document_version": "Version of the document in force; 0 for none.",
    "in_flight": "Calls on the local backend server.",
    "queued": "Calls that wait for the local backend server.",
    "limit": "Calls that the node lets onto the local backend server at once.",
    "owned_calls": "Calls that this node owns and that have no outcome yet.",
    "cpu_percent": "Share of one core that the process uses.",
    "control_bytes_per_s": "Bytes sent for control.",
}
"""Fields of ``Status`` that are exported unchanged as gauges, with their help text."""


class MetricsPage:
    """Renderer of the metrics page of one node."""

    def __init__(
        self, *, status: Callable[[], Status], burn: Callable[[], BurnReport]
    ) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(SnapshotCollector(status=status, burn=burn))

    def render(self, accept: str) -> tuple[bytes, str]:
        """Return the page and its content type.

        Args:
            accept: the client's ``Accept`` header, which selects the text format.
        """
        encode, content_type = choose_encoder(accept)
        return encode(self._registry), content_type


class SnapshotCollector(Collector):
    """Collector that converts a status and a burn report to metrics on each scrape.

    It keeps no counters of its own, so metrics add no cost to a call.
    """

    def __init__(
        self, *, status: Callable[[], Status], burn: Callable[[], BurnReport]
    ) -> None:
        self._status = status
        self._burn = burn

    def describe(self) -> list[Metric]:
        """Return nothing, so that registration takes no snapshot."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yield the current value of all metrics."""
        status, report = self._status(), self._burn()
        yield from status_metrics(status)
        yield from peer_metrics(status)
        yield from outcome_metrics(report)
        yield from burn_metrics(report)


def status_metrics(status: Status) -> Iterator[Metric]:
    """Yield the metrics of a node's status."""
    info_fields = ("host", "availability_zone", "service", "state", "document_digest")
    yield InfoMetricFamily(
        f"{PREFIX}_node",
        "The node and its state.",
        {field_name: str(getattr(status, field_name)) for field_name in info_fields},
    )
    for field, text in STATUS_GAUGES.items():
        yield GaugeMetricFamily(f"{PREFIX}_{field}", text, getattr(status, field))
    durations = {
        "document_age": ("Time since the document was taken.", status.document_age_ms),
        "queue_delay": ("Delay of the local queue.", status.queue_delay_ms),
    }
    for name, (text, value_ms) in durations.items():
        yield GaugeMetricFamily(f"{PREFIX}_{name}_seconds", text, value_ms / MS_PER_S)
    memory_bytes = status.memory_mb * 1_000_000
    yield GaugeMetricFamily(f"{PREFIX}_memory_bytes", "Resident memory.", memory_bytes)
    faults = len(status.document_faults)
    yield GaugeMetricFamily(f"{PREFIX}_document_faults", "Faults reported.", faults)
    for name, value in sorted(status.counters.items()):
        yield CounterMetricFamily(
            f"{PREFIX}_{name}", f"{name.replace('_', ' ')} since the start.", value
        )


def peer_metrics(status: Status) -> Iterator[Metric]:
    """Yield the numbers of links and hosts by state, instead of a series for each.

    With 560 nodes, a series for each pair would add 300,000 to the monitoring database.
    """
    links = _gauge("links", "Links to other nodes.", ("state",))
    states = [link.state.partition(":")[0] for link in status.links]
    for state in sorted(set(states)):
        links.add_metric([state], states.count(state))
    yield links
    hosts = _gauge("hosts", "Other hosts known, by service.", ("service", "state"))
    groups = [(host.service, _host_state(host)) for host in status.hosts]
    for group in sorted(set(groups)):
        hosts.add_metric(group, groups.count(group))
    yield hosts


def _host_state(host) -> str:
    if host.leaving:
        return "leaving"
    return "linked" if host.linked else "not_linked"


def outcome_metrics(report: BurnReport) -> Iterator[Metric]:
    """Yield counters of outcomes and of their reasons."""
    calls = CounterMetricFamily(
        f"{PREFIX}_calls", "Calls by outcome.", labels=(*SERIES_LABELS, "outcome")
    )
    reasons = CounterMetricFamily(
        f"{PREFIX}_not_answered",
        "Calls that got no whole answer.",
        labels=(*SERIES_LABELS, "reason"),
    )
    for series in report.series:
        for outcome in OUTCOMES:
            calls.add_metric(
                [*_labels(series), outcome], getattr(series.total, outcome)
            )
        for reason, count in series.reasons.items():
            reasons.add_metric([*_labels(series), reason], count)
    yield calls
    yield reasons


def burn_metrics(report: BurnReport) -> Iterator[Metric]:
    """Yield burn rates, alerts and the latency quantiles of the HDR histograms."""
    rates = _gauge("burn_rate", "Burn rate.", (*SERIES_LABELS, "window"))
    alerts = _gauge("alerts", "Alerts raised now.", (*SERIES_LABELS, "severity"))
    latencies = _gauge(
        "latency_seconds",
        "Quantiles of the time to a whole answer.",
        (*SERIES_LABELS, "window", "quantile"),
    )
    for series in report.series:
        labels = _labels(series)
        for window in series.windows:
            if window.burn_rate is not None:
                rates.add_metric(
                    [*labels, window_name(window.window_ms)], window.burn_rate
                )
        for severity in sorted({alert.severity.value for alert in series.alerts}):
            alerts.add_metric([*labels, severity], 1)
        for window in series.latencies:
            for quantile, value_ms in (
                ("0.5", window.p50_ms),
                ("0.9", window.p90_ms),
                ("0.99", window.p99_ms),
                ("1", window.max_ms),
            ):
                latencies.add_metric(
                    [*labels, window_name(window.window_ms), quantile],
                    value_ms / MS_PER_S,
                )
    yield from (rates, alerts, latencies)


def _gauge(name: str, text: str, labels: tuple[str, ...]) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"{PREFIX}_{name}", text, labels=labels)


def _labels(series: SeriesBurn) -> tuple[str, str]:
    return series.class_name, series.operation
