"""Plots of goodput and latency for the benchmarks."""

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from sassafraswinch_standins.figures import Timeline  # noqa: E402

BIN_INTERVALS = 5
"""Time series intervals in one plotted point: half a second."""

PANEL_INCHES = (8.0, 2.4)


def _binned_rates(series: Sequence[float], series_ms: float) -> list[float]:
    """Return the rate per second of each full bin of a time series."""
    per_s = 1000 / (BIN_INTERVALS * series_ms)
    full_bins_end = len(series) - len(series) % BIN_INTERVALS
    return [
        sum(series[i : i + BIN_INTERVALS]) * per_s
        for i in range(0, full_bins_end, BIN_INTERVALS)
    ]


def _median_rates(runs: Sequence[dict[str, Any]], traffic: str) -> list[float]:
    rates = [
        _binned_rates(run["good_series"][traffic], run["series_ms"]) for run in runs
    ]
    return [statistics.median(values) for values in zip(*rates, strict=False)]


def plot_goodput(
    runs: Sequence[dict[str, Any]], timeline: Timeline, path: Path
) -> None:
    """Plot the median goodput of each kind of traffic over time, one panel per arm."""
    arms = list(dict.fromkeys(run["arm"] for run in runs))
    width, height = PANEL_INCHES
    figure, panels = pyplot.subplots(
        len(arms), 1, sharex=True, sharey=True, squeeze=False
    )
    figure.set_size_inches(width, height * len(arms))
    for arm, panel in zip(arms, panels[:, 0], strict=True):
        arm_runs = [run for run in runs if run["arm"] == arm]
        for traffic in arm_runs[0]["good_series"]:
            rates = _median_rates(arm_runs, traffic)
            step_s = BIN_INTERVALS * arm_runs[0]["series_ms"] / 1000
            panel.plot([i * step_s for i in range(len(rates))], rates, label=traffic)
        panel.axvspan(
            timeline.disturbance_start_ms / 1000,
            timeline.disturbance_end_ms / 1000,
            alpha=0.15,
        )
        panel.set_title(arm)
        panel.set_ylabel("completed requests/s")
    panels[0, 0].legend(fontsize="small", ncols=2)
    panels[-1, 0].set_xlabel("s")
    _save_figure(figure, path)


def plot_latency(figures: dict[str, Any], path: Path) -> None:
    """Plot the p50 and p99 latency of each arm against the rate."""
    figure, panels = pyplot.subplots(1, 2, squeeze=False)
    figure.set_size_inches(PANEL_INCHES[0], PANEL_INCHES[1] * 1.4)
    rates = figures["rates_per_s"]
    for panel, quantile in zip(panels[0], ("p50_ms", "p99_ms"), strict=True):
        for name, by_rate in figures["arms"].items():
            values = [by_rate[f"{rate:g}"][quantile] for rate in rates]
            panel.plot(rates, values, marker="o", label=name)
        panel.set_xlabel("calls/s")
        panel.set_ylabel(quantile.replace("_ms", ", ms"))
        panel.set_ylim(bottom=0)
    panels[0][0].legend(fontsize="small")
    _save_figure(figure, path)


def _save_figure(figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
