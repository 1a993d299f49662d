"""Plots of the bench."""

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from sassafraswinch_standins.figures import Timeline  # noqa: E402

BIN = 5
"""Intervals of a time series that a plot joins: half a second."""

PANEL_INCHES = (8.0, 2.4)


def _binned(series: Sequence[float], series_ms: float) -> list[float]:
    """Return rates per second over joined intervals."""
    scale = 1000 / (BIN * series_ms)
    whole = len(series) - len(series) % BIN
    return [sum(series[i : i + BIN]) * scale for i in range(0, whole, BIN)]


def _median_rates(runs: Sequence[dict[str, Any]], traffic: str) -> list[float]:
    rates = [_binned(run["good_series"][traffic], run["series_ms"]) for run in runs]
    return [statistics.median(values) for values in zip(*rates, strict=False)]


def plot_goodput(
    runs: Sequence[dict[str, Any]], timeline: Timeline, path: Path
) -> None:
    """Draw the median goodput of each kind of traffic over time, an arm a panel."""
    arms = list(dict.fromkeys(run["arm"] for run in runs))
    width, height = PANEL_INCHES
    figure, panels = pyplot.subplots(
        len(arms), 1, sharex=True, sharey=True, squeeze=False
    )
    figure.set_size_inches(width, height * len(arms))
    for arm, panel in zip(arms, panels[:, 0], strict=True):
        of_arm = [run for run in runs if run["arm"] == arm]
        for traffic in of_arm[0]["good_series"]:
            rates = _median_rates(of_arm, traffic)
            step_s = BIN * of_arm[0]["series_ms"] / 1000
            panel.plot([i * step_s for i in range(len(rates))], rates, label=traffic)
        panel.axvspan(timeline.from_ms / 1000, timeline.until_ms / 1000, alpha=0.15)
        panel.set_title(arm)
        panel.set_ylabel("whole requests/s")
    panels[0, 0].legend(fontsize="small", ncols=2)
    panels[-1, 0].set_xlabel("s")
    _save(figure, path)


def plot_latency(figures: dict[str, Any], path: Path) -> None:
    """Draw p50 and p99 of each arm against the rate."""
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
    _save(figure, path)


def _save(figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
