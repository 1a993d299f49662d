"""Prometheus metrics of a sidecar: request counters, latency quantiles and gauges."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from sassafraswinch.latencies import counted_quantiles_ms
from sassafraswinch_sidecar.relay_counters import RelayCounters

PREFIX = "sassafraswinch_sidecar"
PERCENTS = (50.0, 90.0, 99.0, 100.0)


class SidecarMetrics(Collector):
    """Renders the metrics page in the Prometheus text format.

    Args:
        counts: counters of request outcomes.
        gauges: returns the current gauge values by name.
    """

    def __init__(
        self, *, counts: RelayCounters, gauges: Callable[[], Mapping[str, float]]
    ):
        self._counts = counts
        self._gauges = gauges
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> bytes:
        """Return the metrics page."""
        return generate_latest(self._registry)

    def describe(self) -> list[Metric]:
        """Return no metrics, so that registering doesn't collect them."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        counts = self._counts
        answers = CounterMetricFamily(
            f"{PREFIX}_answers", "Answers passed on.", labels=("route", "status")
        )
        for (route, status), count in counts.responses.items():
            answers.add_metric([route, str(status)], count)
        ends = CounterMetricFamily(
            f"{PREFIX}_not_served", "Requests without an answer.", labels=("reason",)
        )
        for reason, count in counts.unserved.items():
            ends.add_metric([reason], count)
        repeats = CounterMetricFamily(
            f"{PREFIX}_repeats", "Requests sent once more.", labels=("service",)
        )
        for service, count in counts.retries.items():
            repeats.add_metric([service], count)
        yield from (answers, ends, repeats, self._latencies())
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f"{PREFIX}_{name}", name.replace("_", " "), value)

    def _latencies(self) -> Metric:
        family = GaugeMetricFamily(
            f"{PREFIX}_latency_seconds",
            "Quantiles of the time to an answer since the start.",
            labels=("route", "quantile"),
        )
        for route, counts in self._counts.latencies.items():
            values = counted_quantiles_ms(counts, PERCENTS)
            for percent, value_ms in zip(PERCENTS, values, strict=True):
                family.add_metric([route, str(percent / 100)], value_ms / 1000)
        return family
