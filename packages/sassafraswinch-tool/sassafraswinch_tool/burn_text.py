"""Text rendering of a burn report for the terminal."""

from sassafraswinch.burn_format import (
    describe_alerts,
    format_objective,
    format_rate,
    format_reasons,
    series_name,
)
from sassafraswinch.burn_report import BurnReport, SeriesBurn
from sassafraswinch.burn_windows import BURN_WINDOWS_MS, MINUTE_MS, window_name
from sassafraswinch_tool.tables import format_table, printable

SHARE_WINDOW_MS = 5 * MINUTE_MS
"""Time window that the outcome counts in the table cover."""

HEADERS = (
    "class / operation",
    "objective",
    *(f"burn {window_name(window_ms)}" for window_ms in BURN_WINDOWS_MS),
    "good 5m",
    "late",
    "refused",
    "unknown",
    "p50 ms 5m",
    "p99 ms 5m",
    "reasons since the start",
)


def render_burn(report: BurnReport, *, max_series: int | None = None) -> list[str]:
    """Return a line per alert, followed by a table of the series.

    Args:
        report: Report of one node, or the merged report of several.
        max_series: Maximum number of series to show, those with the highest burn rates
            first; None shows all in the order of the report.
    """
    series = list(report.series)
    if max_series is not None:
        series = sorted(series, key=current_burn_rate, reverse=True)[:max_series]
    lines = list(map(printable, describe_alerts(report)))
    if not series:
        return [*lines, "no calls in the last 6 hours"]
    return lines + format_table(HEADERS, map(_row, series))


def current_burn_rate(series: SeriesBurn) -> float:
    """Return the burn rate over the shortest window, or 0 if it has none."""
    return (series.windows[0].burn_rate or 0.0) if series.windows else 0.0


def _row(series: SeriesBurn) -> tuple[object, ...]:
    windows = {window.window_ms: window for window in series.windows}
    rates = [
        format_rate(windows[ms].burn_rate) if ms in windows else "-"
        for ms in BURN_WINDOWS_MS
    ]
    share_window = windows.get(SHARE_WINDOW_MS)
    counts = share_window.counts if share_window else series.total
    latency = next(iter(series.latencies), None)
    quantiles = (
        (f"{latency.p50_ms:.1f}", f"{latency.p99_ms:.1f}") if latency else ("-", "-")
    )
    return (
        series_name(series),
        format_objective(series),
        *rates,
        counts.good,
        counts.late,
        counts.refused,
        counts.unknown,
        *quantiles,
        format_reasons(series),
    )
