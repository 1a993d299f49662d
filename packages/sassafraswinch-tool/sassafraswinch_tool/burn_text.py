"""A burn report as text."""

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
"""Window of the counts in the table."""

HEADS = (
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


def render_burn(report: BurnReport, *, most: int | None = None) -> list[str]:
    """Return alerts and a table of series.

    Args:
        report: of one node or of many.
        most: show only so many series, those that burn fastest; None for all.
    """
    series = list(report.series)
    if most is not None:
        series = sorted(series, key=burn_now, reverse=True)[:most]
    lines = list(map(printable, describe_alerts(report)))
    if not series:
        return [*lines, "no calls in the last 6 hours"]
    return lines + format_table(HEADS, map(_row, series))


def burn_now(series: SeriesBurn) -> float:
    """Return the burn rate of the shortest window; 0 where there is none."""
    return (series.windows[0].burn_rate or 0.0) if series.windows else 0.0


def _row(series: SeriesBurn) -> tuple[object, ...]:
    windows = {window.window_ms: window for window in series.windows}
    rates = [
        format_rate(windows[ms].burn_rate) if ms in windows else "-"
        for ms in BURN_WINDOWS_MS
    ]
    share = windows.get(SHARE_WINDOW_MS)
    counts = share.counts if share else series.total
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
